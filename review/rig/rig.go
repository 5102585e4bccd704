package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Bounds of the small deployments, from their pages.
const (
	ContactTime     = 3 * time.Second
	DrainTime       = 2 * time.Second
	AckTime         = 4 * time.Second
	ConfigApplyTime = 2 * time.Second
	Grace           = 8 * time.Second
	HeartbeatTime   = 1200 * time.Millisecond
)

type (
	// Rig is a deployment on loopback.
	Rig struct {
		Record   *Record
		Controls []*Process
		Entries  []*Process
		Sidecars []*Process
		// RequireFence is the setting requireFence.
		RequireFence bool

		root       string
		binary     string
		folder     string
		ports      ports
		network    int
		nextHost   int
		appService string
		client     *http.Client
	}

	ports struct{ front, ready, control, internal int }
)

// New prepares a deployment of the program that the build of the deploy file has made in the repository at root.
func New(root string, record *Record, controls, entries int) (*Rig, error) {
	binary := filepath.Join(root, "target", "guavahitch")
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Record: record, RequireFence: true, root: root, binary: binary, folder: folder, nextHost: 1,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := r.chooseNetwork(); err != nil {
		return nil, err
	}
	for n := range controls {
		r.Controls = append(r.Controls, r.add(Control, n))
	}
	for n := range entries {
		r.Entries = append(r.Entries, r.add(Entry, n))
	}
	return r, nil
}

// chooseNetwork draws a block of loopback addresses, and ports that are free there.
func (r *Rig) chooseNetwork() error {
	for range 50 {
		r.network = 1<<14 + rand.IntN(1<<15)
		base := 15000 + 40*rand.IntN(400)
		r.ports = ports{front: base, ready: base + 1, control: base + 2, internal: base + 3}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.host(250), base))
		if err == nil {
			return listener.Close()
		}
	}
	return errors.New("no free loopback addresses")
}

func (r *Rig) host(n int) string { return fmt.Sprintf("127.%d.%d.%d", r.network>>8, r.network&255, n) }

// NewHost returns a loopback address that no other machine of the deployment has.
func (r *Rig) NewHost() string {
	r.nextHost++
	return r.host(r.nextHost)
}

func (r *Rig) add(role string, n int) *Process {
	name := fmt.Sprintf("%s-%d", role, n+1)
	p := &Process{rig: r, Name: name, Role: role, IP: r.NewHost(), folder: filepath.Join(r.folder, name), bootstrap: true}
	_ = os.MkdirAll(p.folder, 0o700)
	return p
}

// AddSidecar adds the machine of a worker, whose address must be on the host of the machine.
func (r *Rig) AddSidecar(host, app, service string) *Process {
	p := r.add(Sidecar, len(r.Sidecars))
	p.IP, p.app, r.appService = host, app, service
	r.Sidecars = append(r.Sidecars, p)
	return p
}

// AddControl adds a control machine with an empty disk at a new address to a system that was started before.
func (r *Rig) AddControl() *Process {
	p := r.add(Control, len(r.Controls))
	p.bootstrap = false
	r.Controls = append(r.Controls, p)
	return p
}

// Processes returns all processes of the system.
func (r *Rig) Processes() []*Process {
	return append(append(append([]*Process{}, r.Controls...), r.Entries...), r.Sidecars...)
}

// Start starts all processes. Later starts of a process are not the first one of the system.
func (r *Rig) Start() error {
	for _, p := range r.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range r.Processes() {
		p.bootstrap = false
	}
	return nil
}

// Close ends all processes and removes their files. The logs stay if KEEP is set.
func (r *Rig) Close() {
	for _, p := range r.Processes() {
		p.Kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("files of the processes:", r.folder)
		return
	}
	_ = os.RemoveAll(r.folder)
}

// ControlAddress returns the address of a control process for the operator and the workers.
func (r *Rig) ControlAddress(n int) string {
	return fmt.Sprintf("%s:%d", r.Controls[n].IP, r.ports.control)
}

// FrontAddress returns the address of an entry for clients.
func (r *Rig) FrontAddress(n int) string { return fmt.Sprintf("%s:%d", r.Entries[n].IP, r.ports.front) }

// IsReady reports whether an entry answers that it is ready.
func (r *Rig) IsReady(n int) bool {
	response, err := r.client.Get(fmt.Sprintf("http://%s:%d/readiness", r.Entries[n].IP, r.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all entries are ready, and reports whether they are.
func (r *Rig) AwaitReady(limit time.Duration) bool {
	return Await(limit, func() bool {
		for n := range r.Entries {
			if !r.IsReady(n) {
				return false
			}
		}
		return true
	})
}

// Await polls a condition until it holds or the time is over, and reports whether it holds.
func Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Folder returns the folder of the files of the processes.
func (r *Rig) Folder() string { return r.folder }
