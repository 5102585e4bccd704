package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program that the build line of the deploy file makes.
const program = "target/guavahitch"

// process is one process of the system on its own loopback address.
type process struct {
	role, ip, zone, folder, settings string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// isEnding is set when the rig has signalled the process to end.
	isEnding bool
	// crashes counts the ends that the rig did not cause.
	crashes int
}

// start writes the settings file and starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(p.folder, "node.yaml")
	if err := os.WriteFile(path, []byte(p.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, "platform", p.role)
	command.Env = []string{"GUAVAHITCH_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + p.folder}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.isEnding = command, ended, false
	go func() {
		_ = command.Wait()
		p.mutex.Lock()
		if !p.isEnding {
			p.crashes++
		}
		p.mutex.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	p.isEnding = p.isEnding || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = p.command.Process.Signal(s)
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}

// restartAfter kills the process and starts it again after a pause.
func (p *process) restartAfter(pause time.Duration) error {
	p.kill()
	time.Sleep(pause)
	return p.start()
}

// lastLeader returns the internal address of the leader that the process logged last, and when its log line was written.
func (p *process) lastLeader() (leader string, term float64) {
	file, err := os.Open(filepath.Join(p.folder, "log"))
	if err != nil {
		return "", 0
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), "replica changed") {
			continue
		}
		var line struct {
			Leader string
			Term   float64
		}
		if json.Unmarshal(scanner.Bytes(), &line) == nil {
			leader, term = line.Leader, line.Term
		}
	}
	return leader, term
}

// describe names the process in the record.
func (p *process) describe() string { return fmt.Sprintf("%s %s", p.role, p.ip) }
