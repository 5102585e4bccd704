package rig

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Roles of the deploy file.
const (
	Entry   = "entry"
	Control = "control"
	Sidecar = "sidecar"
)

// Process is one process of the system on a machine of its own, a loopback address.
type Process struct {
	rig    *Rig
	Name   string
	Role   string
	IP     string
	folder string
	// app is the address of the worker beside a sidecar.
	app string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// isExpected is set once a signal was sent that ends the process.
	isExpected bool
	// OwnExits counts the times that the process ended by itself.
	ownExits int
	// Bootstrap is the setting of the first start.
	bootstrap bool
}

// Start writes the settings file and starts the program.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	path := filepath.Join(p.folder, "node.yaml")
	if err := os.WriteFile(path, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(p.rig.binary, "platform", p.Role, "--metrics", "9464")
	command.Dir = p.rig.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.folder, "GUAVAHITCH_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = childAttributes()
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.isExpected = command, ended, false
	p.rig.Record.Printf("start %s", p.Name)
	go p.wait(command, ended)
	return nil
}

func (p *Process) wait(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.isExpected {
		p.ownExits++
		p.rig.Record.Printf("%s ended by itself: %v", p.Name, err)
	}
	close(ended)
}

// OwnExits returns how often the process has ended by itself.
func (p *Process) OwnExits() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ownExits
}

// Signal sends a signal to the running process.
func (p *Process) Signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	p.isExpected = p.isExpected || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.command.Process.Signal(s)
	p.rig.Record.Printf("%v to %s", s, p.Name)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.AwaitEnd(10 * time.Second)
}

// AwaitEnd reports whether the process has ended within the time.
func (p *Process) AwaitEnd(limit time.Duration) bool {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// PeakMB returns the largest resident memory of the process in MB, 0 if it does not run.
func (p *Process) PeakMB() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes >> 10
		}
	}
	return 0
}

// settings returns the text of the settings file in the platform's format.
func (p *Process) settings() string {
	r := p.rig
	listen, data, class := "{}", "null", "side"
	switch p.Role {
	case Entry:
		class = "edge"
		listen = fmt.Sprintf("\n  front: \"%s:%d\"\n  readinessAddress: \"%s:%d\"", p.IP, r.ports.front, p.IP, r.ports.ready)
	case Control:
		class = "core"
		listen = fmt.Sprintf("\n  control: \"%s:%d\"", p.IP, r.ports.control)
		data = fmt.Sprintf("%q", filepath.Join(p.folder, "data"))
	}
	var seeds strings.Builder
	for _, c := range r.Controls[:min(3, len(r.Controls))] {
		fmt.Fprintf(&seeds, "  - \"%s:%d\"\n", c.IP, r.ports.control)
	}
	text := fmt.Sprintf(`node: "%s"
role: "%s"
machineClass: "%s"
serves:
  - "%s"
ip: "%s"
zone: "z"
region: "r"
zones:
  z: "r"
listen: %s
internalPortRange:
  - %d
  - %d
seeds:
%sbootstrap: %v
faultCounted: %v
limits:
  memoryMb: 284
dataDir: %s
discovery: "registry"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "experts"]
faultTolerance:
  machines: 2
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  downgradeMs: 250
  outerBoundMs: 5000
  strictRevoke: false
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBudgetSlack: 90
  recoverS: 12
  passMs: 120
  retryAfterS: 0
  stall_ms: 1500
  requireFence: %v
configSource: "highest"
`, p.Name, p.Role, class, class, p.IP, listen, r.ports.internal, r.ports.internal+15, seeds.String(), p.bootstrap,
		p.Role == Control, data, r.RequireFence)
	if p.app != "" {
		text += fmt.Sprintf("app: %q\nbackend: %q\n", p.app, r.appService)
	}
	return text
}
