// Package settings reads the settings file of a process: JSON with comments, with the field names of these
// types. Every problem is reported at once with its place in the file.
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
	// DefaultConnections is the number of callers' connections that an entry holds open.
	DefaultConnections = 8192
	// DefaultBodyBytes is the memory for request bodies of an entry.
	DefaultBodyBytes = 256 << 20
	// DefaultRunning is the number of attempts that an upstream runs at once.
	DefaultRunning = 8
	// DefaultDrainTimeout bounds a planned stop.
	DefaultDrainTimeout = 10 * time.Minute
)

type (
	// Settings are the settings of one process. The sections that it holds are the roles that it plays.
	Settings struct {
		// Name tells the process from all others.
		Name string `document:"required,min=1,max=64"`
		// Region and FailureDomain are where the process runs.
		Region        string
		FailureDomain string
		// Listen is the IP address and port for the other processes of the system.
		Listen string `document:"required"`
		// Advertise is the IP address and port at which other processes reach this one; empty stands for Listen.
		Advertise string
		// Replicas are the control replicas.
		Replicas []Replica `document:"required"`
		Entry    *Entry
		Control  *Control
		Sidecar  *Sidecar
		Keys     *Keys
		Log      Log
		// DrainTimeout bounds a planned stop.
		DrainTimeout time.Duration `document:"min=1s,max=24h"`
	}

	// Replica is one control replica.
	Replica struct {
		Name    string `document:"required"`
		Address string `document:"required"`
	}

	// Entry is the role that serves callers.
	Entry struct {
		// Listen is the IP address and port for callers.
		Listen string `document:"required"`
		// Subset is the number of upstreams of one service that the entry uses; 0 for the default.
		Subset int `document:"min=0,max=1000"`
		// Connections is the most connections of callers open at once.
		Connections int `document:"min=1,max=1000000"`
		// BodyBytes is the memory for request bodies of all callers together.
		BodyBytes int64 `document:"min=1048576"`
	}

	// Control is the role that keeps the durable state.
	Control struct {
		// Folder holds the replica's files.
		Folder string `document:"required"`
		// Operators is the IP address and port for operators; empty for none.
		Operators string
		// TokenFile holds the token that operators send; it is required with Operators.
		TokenFile string
	}

	// Sidecar is the role beside one upstream.
	Sidecar struct {
		// Engine is the IP address and port of the upstream.
		Engine string `document:"required"`
		// Kind tells a model engine from a plain service.
		Kind string `document:"required,oneof=model|service"`
		// Services are the models and services that the upstream offers.
		Services []string `document:"required,min=1"`
		// Group is the group of ranks that the upstream belongs to, and Ranks the number of its engines.
		Group string
		Ranks int `document:"min=0,max=1024"`
		// RanksEngine is the IP address and port at which the engines of the ranks take orders; empty stands for
		// Engine. FirstRank is the slot of the first of them there.
		RanksEngine string
		FirstRank   int `document:"min=0,max=4095"`
		// ChecksFencing is true when the engine itself refuses orders with an old fencing token.
		ChecksFencing bool
		// Running and Queued are the attempts that run and wait at once.
		Running int `document:"min=1,max=100000"`
		Queued  int `document:"min=0,max=100000"`
	}

	// Keys are the files for mutual authentication between processes.
	Keys struct {
		Certificate string `document:"required"`
		Key         string `document:"required"`
		// Authority holds the certificates that other processes' certificates are checked against.
		Authority string `document:"required"`
	}

	// Log is about the log's lines.
	Log struct {
		Level string `document:"oneof=|debug|info|warn|error"`
	}
)

// Read reads and checks a settings file.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	return Parse(path, data)
}

// Parse checks the text of a settings file.
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
		d.Add("Name", "a process with the section Control must stand among the Replicas", "")
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
