// Package settings reads the settings file of a process. The file is JSON with comments, and its field names are those
// of the type Settings. Parse reports all problems of a file together, each with its position.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/document"
)

const (
	// DefaultConnections is the default of Entry.Connections.
	DefaultConnections = 8192
	// DefaultBodyBytes is the default of Entry.BodyBytes.
	DefaultBodyBytes = 256 << 20
	// DefaultRunning is the default of Sidecar.Running.
	DefaultRunning = 8
	// DefaultDrainTimeout is the default of Settings.DrainTimeout.
	DefaultDrainTimeout = 10 * time.Minute
)

type (
	// Settings are the settings of one process. The process has a role for each of the sections Entry, Control and
	// Sidecar that is present.
	Settings struct {
		// Name identifies the process; it is unique in the system.
		Name string `document:"required,min=1,max=64"`
		// Region and FailureDomain are the location of the process.
		Region        string
		FailureDomain string
		// Listen is the IP address and port on which the process serves the other processes of the system.
		Listen string `document:"required"`
		// Advertise is the IP address and port at which other processes reach this one; empty means Listen.
		Advertise string
		// Replicas lists all control replicas.
		Replicas []Replica `document:"required"`
		Entry    *Entry
		Control  *Control
		Sidecar  *Sidecar
		// Keys are the files for mutual TLS; without them the processes use plain connections.
		Keys *Keys
		Log  Log
		// DrainTimeout bounds the wait for requests in flight when the process is stopped gracefully.
		DrainTimeout time.Duration `document:"min=1s,max=24h"`
	}

	// Replica is the name and address of one control replica.
	Replica struct {
		Name    string `document:"required"`
		Address string `document:"required"`
	}

	// Entry is the section of the role that serves callers.
	Entry struct {
		// Listen is the IP address and port on which the entry serves callers.
		Listen string `document:"required"`
		// Subset is the number of upstreams of one service that the entry uses; 0 for the default.
		Subset int `document:"min=0,max=1000"`
		// Connections is the maximum number of open connections from callers.
		Connections int `document:"min=1,max=1000000"`
		// BodyBytes is the memory for the request bodies of all callers together.
		BodyBytes int64 `document:"min=1048576"`
	}

	// Control is the section of the role that stores the durable state.
	Control struct {
		// Folder is the path of the replica's data folder.
		Folder string `document:"required"`
		// Operators is the IP address and port on which the replica serves operators; empty means that it does not.
		Operators string
		// TokenFile is the path of the file with the operators' token; it is required with Operators.
		TokenFile string
	}

	// Sidecar is the section of the role that runs next to one upstream.
	Sidecar struct {
		// Engine is the IP address and port of the upstream.
		Engine string `document:"required"`
		// Kind is "model" for a model engine and "service" for a plain service.
		Kind string `document:"required,oneof=model|service"`
		// Services lists the models and services that the upstream offers.
		Services []string `document:"required,min=1"`
		// Group is the group of ranks that the upstream belongs to, and Ranks the number of engines that it runs.
		Group string
		Ranks int `document:"min=0,max=1024"`
		// RanksEngine is the IP address and port at which the engines of the ranks accept orders; empty means Engine.
		// FirstRank is the slot of the upstream's first engine at that address.
		RanksEngine string
		FirstRank   int `document:"min=0,max=4095"`
		// ChecksFencing is true when the engine itself rejects orders with an outdated fencing token.
		ChecksFencing bool
		// Running is the maximum number of attempts that run at the same time, and Queued of those that wait.
		Running int `document:"min=1,max=100000"`
		Queued  int `document:"min=0,max=100000"`
	}

	// Keys are the paths of the files for mutual TLS between processes.
	Keys struct {
		Certificate string `document:"required"`
		Key         string `document:"required"`
		// Authority is the file with the certificates that verify other processes.
		Authority string `document:"required"`
	}

	// Log holds the log settings.
	Log struct {
		// Level is the lowest level that is logged; empty means info.
		Level string `document:"oneof=|debug|info|warn|error"`
	}
)

// Read reads a settings file, checks it and fills in the defaults.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	return Parse(path, data)
}

// Parse checks the contents of a settings file and fills in the defaults. path appears in the positions of problems.
func Parse(path string, data []byte) (*Settings, error) {
	s := &Settings{}
	d := document.Decode(path, data, s)
	s.checkRoles(d)
	s.checkAddresses(d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s.withDefaults(), nil
}

func (s *Settings) checkRoles(d *document.Document) {
	if s.Entry == nil && s.Control == nil && s.Sidecar == nil && len(d.Problems) == 0 {
		d.Add("", "the process has no role", "at least one of the sections Entry, Control, Sidecar")
	}
	if s.Control == nil {
		return
	}
	if !s.isReplica() {
		d.Add("Name", "Replicas must list a process with the section Control", "")
	}
	if s.Control.Operators != "" && s.Control.TokenFile == "" {
		d.Add("Control.TokenFile", "required field is missing", "the path of a file that holds the operators' token")
	}
}

func (s *Settings) isReplica() bool {
	for _, r := range s.Replicas {
		if r.Name == s.Name {
			return true
		}
	}
	return false
}

func (s *Settings) checkAddresses(d *document.Document) {
	checkAddress(d, "Listen", s.Listen)
	checkAddress(d, "Advertise", s.Advertise)
	for i, r := range s.Replicas {
		checkAddress(d, fmt.Sprintf("Replicas[%d].Address", i), r.Address)
	}
	if s.Entry != nil {
		checkAddress(d, "Entry.Listen", s.Entry.Listen)
	}
	if s.Control != nil {
		checkAddress(d, "Control.Operators", s.Control.Operators)
	}
	if s.Sidecar != nil {
		checkAddress(d, "Sidecar.Engine", s.Sidecar.Engine)
		checkAddress(d, "Sidecar.RanksEngine", s.Sidecar.RanksEngine)
	}
}

func checkAddress(d *document.Document, path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil && d.Has(path) {
		d.Add(path, "not an IP address with a port", `such as "127.0.0.1:8600" or "[::1]:8600"`)
	}
}

func (s Settings) withDefaults() *Settings {
	if s.DrainTimeout == 0 {
		s.DrainTimeout = DefaultDrainTimeout
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Entry != nil {
		s.Entry = s.Entry.withDefaults()
	}
	if s.Sidecar != nil {
		s.Sidecar = s.Sidecar.withDefaults()
	}
	return &s
}

func (e Entry) withDefaults() *Entry {
	if e.Connections == 0 {
		e.Connections = DefaultConnections
	}
	if e.BodyBytes == 0 {
		e.BodyBytes = DefaultBodyBytes
	}
	return &e
}

func (s Sidecar) withDefaults() *Sidecar {
	if s.Running == 0 {
		s.Running = DefaultRunning
	}
	if s.RanksEngine == "" {
		s.RanksEngine = s.Engine
	}
	return &s
}

// ReplicaAddresses returns the addresses of the control replicas in the order of the file.
func (s *Settings) ReplicaAddresses() []string {
	addresses := make([]string, len(s.Replicas))
	for i, r := range s.Replicas {
		addresses[i] = r.Address
	}
	return addresses
}
