// Package soak_test runs the real programs as separate processes on loopback, injects faults from outside them,
// and checks what callers and upstreams see.
//
// world_test.go sets the processes up, upstream_test.go stands in for upstreams, proxy_test.go disturbs connections,
// caller_test.go sends requests and checks answers, soak_test.go draws what goes wrong and runs it.
package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// process is one program, which faults stop and start.
type process struct {
	t      *testing.T
	binary string
	role   string
	ip     string
	folder string
	isDisk bool
	world  *world

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// planned tells that the present process was told to stop.
	planned bool
	// exits holds the ends that nobody asked for.
	exits []string
}

// start starts the program with the settings in effect.
func (p *process) start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	path := filepath.Join(p.folder, "node.yaml")
	require.NoError(p.t, os.WriteFile(path, []byte(p.settings()), 0o600))
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	command := exec.Command(p.binary, "platform", p.role)
	command.Env = append(os.Environ(), "GUAVAHITCH_BOOT="+path)
	command.Stdout, command.Stderr = log, log
	endWithParent(command)
	require.NoError(p.t, command.Start())
	_ = log.Close()
	ended := make(chan struct{})
	p.command, p.ended, p.planned = command, ended, false
	go func() {
		err := command.Wait()
		p.mutex.Lock()
		if !p.planned {
			p.exits = append(p.exits, fmt.Sprintf("%s %s ended by itself: %v", p.role, p.ip, err))
		}
		p.mutex.Unlock()
		close(ended)
	}()
}

// settings returns the settings file in the platform's format.
func (p *process) settings() string {
	data := "null"
	if p.isDisk {
		data = filepath.Join(p.folder, "data")
	}
	var seeds strings.Builder
	for _, control := range p.world.controls[:3] {
		fmt.Fprintf(&seeds, "  - \"%s:%d\"\n", control.ip, controlPort)
	}
	return fmt.Sprintf(`node: "%s"
ip: "%s"
zone: "z"
listen:
  front: "%s:%d"
  readinessAddress: "%s:%d"
  control: "%s:%d"
internalPortRange:
  - %d
  - %d
seeds:
%sbootstrap: %v
limits:
  memoryMb: 256
dataDir: "%s"
faultTolerance:
  machines: 2
bounds:
  graceS: 8
  retryBudgetRatio: 0.2
  retryBudgetSlack: 90
`, p.ip, p.ip, p.ip, frontPort, p.ip, readyPort, p.ip, controlPort, innerPort, innerPort+1, seeds.String(),
		p.world.isFounding, data)
}

// signal sends a signal to the process that start made, and to no other.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.planned = p.planned || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.command.Process.Signal(s)
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// wipe removes the files of a process that has ended.
func (p *process) wipe() { require.NoError(p.t, os.RemoveAll(filepath.Join(p.folder, "data"))) }

// stop stops the process as planned; it is killed when it outlasts the grace time.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		p.kill()
	}
}
