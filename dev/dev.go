// Package dev runs all roles of guavahitch and small fake upstreams in one process on loopback, for trying
// it out and for tests of the whole path.
package dev

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
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
	// DefaultListen is where callers are served unless the settings say otherwise.
	DefaultListen = "127.0.0.1:8600"
	// DefaultOperators is where operators are served unless the settings say otherwise.
	DefaultOperators = "127.0.0.1:8601"
	// loopback lets the system choose the port.
	loopback = "127.0.0.1:0"
	// readyTimeout bounds the start.
	readyTimeout = 20 * time.Second
	// readyPause is the pause between two looks at whether a request would be answered.
	readyPause = 5 * time.Millisecond
	// stepTime and stepPerRequest are the decode steps of the fake engines.
	stepTime       = 10 * time.Millisecond
	stepPerRequest = time.Millisecond
	// slots is the number of requests that a fake upstream runs at once.
	slots = 16
	// queued is the number of requests that wait at a fake upstream.
	queued = 16
	// ledgerDelay is the time that a call of the fake ledger takes.
	ledgerDelay = 5 * time.Millisecond
	// rankStep is the step of the fake ranks, and popularityDrift the time in which their experts' popularity moves
	// on by one place.
	rankStep        = 20 * time.Millisecond
	popularityDrift = 90 * time.Second
	// deadlyWord in a prompt kills a fake engine.
	deadlyWord = "crash-the-engine"
	// engineRestart is how long a dead fake engine stays down.
	engineRestart = 500 * time.Millisecond
)

//go:embed sample_inventory.json
var sampleInventory []byte

type (
	// Settings are the settings of the dev verb.
	Settings struct {
		// Listen is the IP address and port for callers.
		Listen string
		// Operators is the IP address and port for operators.
		Operators string
		// Routed is the IP address and port for routed requests.
		Routed string
		// Inventory is the path of an inventory; empty for the sample.
		Inventory string
		// Folder holds the control replica's files; empty for a folder that is removed at the end.
		Folder string
		Log    settings.Log
	}

	// fakeGroup is the fake ranks of a group, and the first of them that no upstream has yet.
	fakeGroup struct {
		ranks *fake.Ranks
		next  int
	}

	// Dev is a whole small system in one process.
	Dev struct {
		settings  Settings
		log       *logrus.Logger
		owned     *inventory.Inventory
		text      []byte
		folder    string
		authority *keys.Authority
		control   *daemon.Process
		entry     *daemon.Process
		sidecars  []*daemon.Process
		groups    map[string]*fakeGroup
		engines   []*fake.Engine
		services  []*fake.Service
		processes []*daemon.Process
		routed    *routed
	}
)

// ReadSettings reads the settings file of the dev verb; an empty path gives the defaults.
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

// New assembles the system. Nothing runs before Run.
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
	owned, err := inventory.Parse(name, d.text)
	if err != nil {
		return nil, err
	}
	d.owned = owned
	return d, d.assemble()
}

func (d *Dev) assemble() error {
	d.folder = d.settings.Folder
	if d.folder == "" {
		folder, err := os.MkdirTemp("", "guavahitch-dev-")
		if err != nil {
			return eris.Wrap(err, "folder of the control replica")
		}
		d.folder = folder
	}
	if err := os.MkdirAll(d.folder, 0o700); err != nil {
		return eris.Wrap(err, "folder of the control replica")
	}
	authority, err := keys.NewAuthority(d.folder)
	if err != nil {
		return err
	}
	d.authority = authority
	if err := d.writeToken(); err != nil {
		return err
	}
	address, err := freeAddress()
	if err != nil {
		return err
	}
	replicas := []settings.Replica{{Name: "control-1", Address: address}}
	if d.control, err = d.process(&settings.Settings{
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
	d.entry, err = d.process(&settings.Settings{
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

// writeToken makes the operators' token.
func (d *Dev) writeToken() error {
	file := filepath.Join(d.folder, "token")
	return eris.Wrapf(os.WriteFile(file, []byte(uuid.NewString()+"\n"), 0o600), "token file %s", file)
}

// OperatorSettingsFile returns the path of a settings file for the operators' verbs.
func (d *Dev) OperatorSettingsFile() string { return filepath.Join(d.folder, "operator.json") }

func (d *Dev) writeOperatorSettings() error {
	text, err := json.MarshalIndent(operator.ClientSettings{
		Addresses: []string{d.control.OperatorsAddress()}, TokenFile: filepath.Join(d.folder, "token"),
		Authority: filepath.Join(d.folder, "authority.pem"),
	}, "", "  ")
	if err != nil {
		return eris.Wrap(err, "operators' settings")
	}
	return eris.Wrap(os.WriteFile(d.OperatorSettingsFile(), text, 0o600), "operators' settings")
}

func (d *Dev) process(s *settings.Settings) (*daemon.Process, error) {
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

// CallerAddress returns the address that callers are served on.
func (d *Dev) CallerAddress() string { return d.entry.CallerAddress() }

// RoutedAddress returns the address that routed requests are served on.
func (d *Dev) RoutedAddress() string { return d.routed.listener.Addr().String() }

// Run runs the system until the context ends. When a request would be answered it prints the ready line and
// a request to try.
func (d *Dev) Run(ctx context.Context, out io.Writer) error {
	ends := make(chan error, len(d.processes))
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	for _, p := range d.processes {
		end := ctx
		if p == d.control {
			end = controlCtx
		}
		go func() { ends <- p.Run(end) }()
	}
	go d.reviveEngines(ctx)
	go d.routed.serve(ctx)
	err := d.start(ctx)
	if err == nil {
		fmt.Fprintf(out, "ready http://%s\n%s%s", d.CallerAddress(), d.hint(), d.routed.hint())
		<-ctx.Done()
	}
	return d.stop(ends, stopControl, err)
}

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

// start submits the inventory and waits until every service would answer.
func (d *Dev) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.submit(ctx); err != nil {
		return err
	}
	for !d.isReady() {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "not ready in time")
		case <-time.After(readyPause):
		}
	}
	return nil
}

// submit proposes the inventory unless it is accepted already. Until a leader is elected it is asked again.
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
		case <-time.After(readyPause):
		}
	}
}

func (d *Dev) isReady() bool {
	now := time.Now()
	for _, up := range d.owned.Upstreams {
		for _, service := range up.Services {
			if !d.entry.Dispatcher().Picker().HasRoom(now, service) {
				return false
			}
		}
	}
	return true
}

func (d *Dev) hint() string {
	if len(d.owned.Models) == 0 || len(d.owned.Organisations) == 0 {
		return ""
	}
	return fmt.Sprintf(`try:
  curl -N http://%s/v1/chat/completions -H 'Guavahitch-Organisation: %s' \
    -d '{"model":"%s","messages":[{"role":"user","content":"Who can mend a roof?"}],"max_tokens":8,"stream":true}'
`, d.entry.CallerAddress(), d.owned.Organisations[0].Name, d.owned.Models[0].Name)
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "no free port")
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
