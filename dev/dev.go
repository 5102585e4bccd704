// Package dev runs a whole system in one process on loopback: a control replica, an entry, a sidecar for each upstream
// of the inventory, and fake upstreams. It serves for trying guavahitch out and for end-to-end tests. A second server
// shows routed requests over fixed routes.
package dev

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/daemon"
	"guavahitch.example/guavahitch/document"
	"guavahitch.example/guavahitch/fake"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/keys"
	"guavahitch.example/guavahitch/operator"
	"guavahitch.example/guavahitch/settings"
	"guavahitch.example/guavahitch/wire"
)

const (
	// DefaultListen is the default address for callers.
	DefaultListen = "127.0.0.1:8600"
	// DefaultOperators is the default address for operators.
	DefaultOperators = "127.0.0.1:8601"
	// loopback is a loopback address on which the operating system chooses the port.
	loopback = "127.0.0.1:0"
	// readyTimeout bounds the time until the system can serve requests. The routed interface also uses it to bound
	// reading a request header.
	readyTimeout = 20 * time.Second
	// readyPollInterval is the time between two checks whether the system is ready, and between two attempts to submit
	// the inventory.
	readyPollInterval = 5 * time.Millisecond
	// stepTime is the decode step time of a fake engine with one request; each further request adds stepPerRequest.
	stepTime       = 10 * time.Millisecond
	stepPerRequest = time.Millisecond
	// slots is the number of requests that a fake upstream runs at the same time.
	slots = 16
	// queued is the number of requests that may wait at a fake upstream.
	queued = 16
	// ledgerDelay is the duration of a call to the fake ledger.
	ledgerDelay = 5 * time.Millisecond
	// rankStep is the step time of the fake ranks. After each popularityDrift the popularity of their experts moves on
	// by one expert.
	rankStep        = 20 * time.Millisecond
	popularityDrift = 90 * time.Second
	// crashWord is a word that crashes a fake engine when a prompt contains it.
	crashWord = "crash-the-engine"
	// engineRestartInterval is the interval at which crashed fake engines are restarted.
	engineRestartInterval = 500 * time.Millisecond
)

//go:embed sample_inventory.json
var sampleInventory []byte

type (
	// Settings are the settings of the verb dev.
	Settings struct {
		// Listen is the IP address and port for callers.
		Listen string
		// Operators is the IP address and port for operators.
		Operators string
		// Routed is the IP address and port for routed requests.
		Routed string
		// Inventory is the path of an inventory; empty for the embedded sample.
		Inventory string
		// Folder is the path of the data folder; empty for a temporary folder that is removed at the end.
		Folder string
		Log    settings.Log
	}

	// fakeGroup holds the fake ranks of a group. nextSlot is the slot of the first engine that has no upstream yet.
	fakeGroup struct {
		ranks    *fake.Ranks
		nextSlot int
	}

	// Dev is a whole system in one process.
	Dev struct {
		settings Settings
		log      *logrus.Logger
		// parsedInventory is the inventory, and text its source.
		parsedInventory *inventory.Inventory
		text            []byte
		folder          string
		authority       *keys.Authority
		control         *daemon.Process
		entry           *daemon.Process
		sidecars        []*daemon.Process
		groups          map[string]*fakeGroup
		engines         []*fake.Engine
		services        []*fake.Service
		processes       []*daemon.Process
		routed          *routed
	}
)

// ReadSettings reads the settings file of the verb dev; an empty path gives the defaults.
func ReadSettings(path string) (Settings, error) {
	s := Settings{Listen: DefaultListen, Operators: DefaultOperators, Routed: DefaultRouted}
	if path == "" {
		return s, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return s, eris.Wrapf(err, "settings %s", path)
	}
	return s, document.Decode(path, data, &s).Err()
}

// New creates the processes and starts the fake upstreams. The processes do not run before Run is called.
func New(s Settings, log *logrus.Logger) (*Dev, error) {
	if s.Routed == "" {
		s.Routed = loopback
	}
	d := &Dev{settings: s, log: log, text: sampleInventory, groups: map[string]*fakeGroup{}}
	name := "sample_inventory.json"
	if s.Inventory != "" {
		text, err := os.ReadFile(s.Inventory)
		if err != nil {
			return nil, eris.Wrapf(err, "inventory %s", s.Inventory)
		}
		d.text, name = text, s.Inventory
	}
	parsedInventory, err := inventory.Parse(name, d.text)
	if err != nil {
		return nil, err
	}
	d.parsedInventory = parsedInventory
	return d, d.assemble()
}

func (d *Dev) assemble() error {
	d.folder = d.settings.Folder
	if d.folder == "" {
		folder, err := os.MkdirTemp("", "guavahitch-dev-")
		if err != nil {
			return eris.Wrap(err, "create data folder")
		}
		d.folder = folder
	}
	if err := os.MkdirAll(d.folder, 0o700); err != nil {
		return eris.Wrap(err, "create data folder")
	}
	authority, err := keys.NewAuthority(d.folder)
	if err != nil {
		return err
	}
	d.authority = authority
	if err := d.writeToken(); err != nil {
		return err
	}
	address, err := fake.FreeAddress()
	if err != nil {
		return err
	}
	replicas := []settings.Replica{{Name: "control-1", Address: address}}
	if d.control, err = d.newProcess(&settings.Settings{
		Name: "control-1", Listen: address, Replicas: replicas, Control: &settings.Control{
			Folder: filepath.Join(d.folder, "control-1"), Operators: d.settings.Operators, TokenFile: filepath.Join(d.folder, "token"),
		},
	}); err != nil {
		return err
	}
	if err := d.writeOperatorSettings(); err != nil {
		return err
	}
	if err := d.addUpstreams(replicas); err != nil {
		return err
	}
	d.entry, err = d.newProcess(&settings.Settings{
		Name: "entry-1", Listen: loopback, FailureDomain: "levis", Replicas: replicas,
		Entry: &settings.Entry{
			Listen: d.settings.Listen, Connections: settings.DefaultConnections, BodyBytes: settings.DefaultBodyBytes,
		},
	})
	if err != nil {
		return err
	}
	d.routed, err = newRouted(d.settings.Routed)
	return err
}

// writeToken generates the operators' token and writes it to a file.
func (d *Dev) writeToken() error {
	file := filepath.Join(d.folder, "token")
	return eris.Wrapf(os.WriteFile(file, []byte(uuid.NewString()+"\n"), 0o600), "token file %s", file)
}

// OperatorSettingsFile returns the path of the settings file for the operators' verbs, such as apply.
func (d *Dev) OperatorSettingsFile() string { return filepath.Join(d.folder, "operator.json") }

func (d *Dev) writeOperatorSettings() error {
	text, err := json.MarshalIndent(operator.ClientSettings{
		Addresses: []string{d.control.OperatorsAddress()}, TokenFile: filepath.Join(d.folder, "token"),
		Authority: filepath.Join(d.folder, "authority.pem"),
	}, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode operator settings")
	}
	return eris.Wrap(os.WriteFile(d.OperatorSettingsFile(), text, 0o600), "write operator settings")
}

// newProcess creates a process with the settings and a certificate of its own.
func (d *Dev) newProcess(s *settings.Settings) (*daemon.Process, error) {
	s.DrainTimeout = settings.DefaultDrainTimeout
	files, err := d.authority.Issue(s.Name)
	if err != nil {
		return nil, err
	}
	s.Keys = &settings.Keys{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}
	p, err := daemon.NewProcessWithRebalancing(s, d.log, rebalancing())
	if err == nil {
		d.processes = append(d.processes, p)
	}
	return p, err
}

// CallerAddress returns the address on which the entry serves callers.
func (d *Dev) CallerAddress() string { return d.entry.CallerAddress() }

// RoutedAddress returns the address on which routed requests are served.
func (d *Dev) RoutedAddress() string { return d.routed.listener.Addr().String() }

// Run runs the system until the context ends. When the system can serve requests, it prints the ready line and example
// requests.
func (d *Dev) Run(ctx context.Context, out io.Writer) error {
	ends := make(chan error, len(d.processes))
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	for _, p := range d.processes {
		processCtx := ctx
		if p == d.control {
			processCtx = controlCtx
		}
		go func() { ends <- p.Run(processCtx) }()
	}
	go d.restartEngines(ctx)
	go d.routed.serve(ctx)
	err := d.start(ctx)
	if err == nil {
		fmt.Fprintf(out, "ready http://%s\n%s%s", d.CallerAddress(), d.exampleRequests(), d.routed.exampleRequests())
		<-ctx.Done()
	}
	return d.stop(ends, stopControl, err)
}

// stop waits until all processes have ended, then stops the fake upstreams and removes a temporary data folder. Control
// ends last, because the others deregister from it.
func (d *Dev) stop(ends chan error, stopControl func(), err error) error {
	for range len(d.processes) - 1 {
		if ended := <-ends; err == nil {
			err = ended
		}
	}
	stopControl()
	if ended := <-ends; err == nil {
		err = ended
	}
	d.routed.stop()
	for _, e := range d.engines {
		e.Stop()
	}
	for _, s := range d.services {
		s.Stop()
	}
	for _, g := range d.groups {
		g.ranks.Stop()
	}
	if d.settings.Folder == "" {
		_ = os.RemoveAll(d.folder)
	}
	return err
}

// start submits the inventory and waits until every service can serve a request.
func (d *Dev) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.submit(ctx); err != nil {
		return err
	}
	for !d.isReady() {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "system not ready in time")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// submit submits the inventory unless it is already accepted. It retries, because submissions fail until a leader is
// elected.
func (d *Dev) submit(ctx context.Context) error {
	request := &wire.SubmitRequest{
		ChangeId: "dev-" + uuid.NewString(), Inventory: d.text, Operator: "dev", Reason: "inventory of the dev verb",
	}
	for {
		revision, text := d.control.ControlState().Revision()
		if bytes.Equal(text, d.text) {
			return nil
		}
		request.ExpectedRevision = revision
		status, err := d.control.ControlServer().Submit(ctx, request)
		if err == nil && status.Failure == nil && status.State == control.StateRefused {
			return eris.Errorf("the inventory was refused: %s", status.Reason)
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "the inventory was not accepted in time")
		case <-time.After(readyPollInterval):
		}
	}
}

func (d *Dev) isReady() bool {
	now := time.Now()
	for _, up := range d.parsedInventory.Upstreams {
		for _, service := range up.Services {
			if !d.entry.Dispatcher().Picker().HasRoom(now, service) {
				return false
			}
		}
	}
	return true
}

// exampleRequests returns an example request to the first model, or "" when the inventory has no model or no
// organisation.
func (d *Dev) exampleRequests() string {
	if len(d.parsedInventory.Models) == 0 || len(d.parsedInventory.Organisations) == 0 {
		return ""
	}
	return fmt.Sprintf(`try:
  curl -N http://%s/v1/chat/completions -H 'Guavahitch-Organisation: %s' \
    -d '{"model":"%s","messages":[{"role":"user","content":"Who can mend a roof?"}],"max_tokens":8,"stream":true}'
`, d.entry.CallerAddress(), d.parsedInventory.Organisations[0].Name, d.parsedInventory.Models[0].Name)
}
