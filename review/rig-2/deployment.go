package main

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The roles of the deploy file.
const (
	roleEntry   = "entry"
	roleControl = "control"
	roleSidecar = "sidecar"
)

// The first port of those between the processes, and the ports of the other listeners. They are the same on all machines,
// which differ by their loopback addresses.
const (
	innerPort   = 7340
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
)

const (
	// controls is the number of control machines, tolerance that of the disks that may be lost at once.
	controls  = 5
	tolerance = 2
	// startTimeout bounds the wait for something that a sound deployment does soon after its start.
	startTimeout = 20 * time.Second
)

type (
	// deploymentSettings are what a case sets of a deployment. The other bounds are those of the pages.
	deploymentSettings struct {
		zones   []string
		entries int
		// sidecars holds the address of the worker beside each sidecar.
		sidecars []string
		// contracts are added to those of all deployments.
		contracts []string
		// bounds replace those of the small deployments or are added to them, requireFence is the bound of that name.
		bounds       map[string]string
		requireFence bool
	}

	// deployment is a small deployment on loopback addresses.
	deployment struct {
		settings deploymentSettings
		record   *record
		folder   string
		root     string
		commands map[string][]string
		network  string
		nextHost int
		controls []*machine
		entries  []*machine
		sidecars []*machine
	}

	// machine is one process of the system with its own loopback address.
	machine struct {
		deployment *deployment
		name       string
		role       string
		zone       string
		ip         string
		isFounding bool
		worker     string
		process    *exec.Cmd
		ended      chan struct{}
	}
)

// newDeployment reads the commands of the deploy file, chooses free addresses and writes the settings of all machines.
func newDeployment(settings deploymentSettings, r *record) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{settings: settings, record: r, folder: folder, root: root, nextHost: 10}
	if d.commands, err = readCommands(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	if d.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	for i := range controls {
		d.controls = append(d.controls, d.newMachine(roleControl, i, ""))
	}
	for i := range settings.entries {
		d.entries = append(d.entries, d.newMachine(roleEntry, i, ""))
	}
	for i, worker := range settings.sidecars {
		d.sidecars = append(d.sidecars, d.newMachine(roleSidecar, i, worker))
	}
	return d, nil
}

// readCommands returns the command of each role in the deploy file.
func readCommands(path string) (map[string][]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	commands := map[string][]string{}
	for _, match := range regexp.MustCompile(`(?s)\[roles\.(\w+)\]\s*run = "([^"]+)"`).FindAllStringSubmatch(string(text), -1) {
		commands[match[1]] = strings.Fields(match[2])
	}
	if len(commands[roleEntry]) == 0 || len(commands[roleControl]) == 0 || len(commands[roleSidecar]) == 0 {
		return nil, errors.New("the deploy file has no commands")
	}
	return commands, nil
}

// freeNetwork returns the first three bytes of loopback addresses that no other process listens at.
func freeNetwork() (string, error) {
	for i := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+i)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", network, innerPort))
		if err == nil {
			return network, listener.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

// address returns a loopback address that no machine has.
func (d *deployment) address() string {
	d.nextHost++
	return fmt.Sprintf("%s.%d", d.network, d.nextHost-1)
}

func (d *deployment) newMachine(role string, number int, worker string) *machine {
	zone := d.settings.zones[number%len(d.settings.zones)]
	ip := d.address()
	if worker != "" {
		ip, _, _ = net.SplitHostPort(worker)
	}
	return &machine{
		deployment: d, name: fmt.Sprintf("%s-%s-%d", role, zone, number), role: role, zone: zone, ip: ip, isFounding: true, worker: worker,
	}
}

// start starts all machines.
func (d *deployment) start() error {
	for _, machines := range [][]*machine{d.controls, d.entries, d.sidecars} {
		for _, m := range machines {
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	for _, machines := range [][]*machine{d.entries, d.sidecars, d.controls} {
		for _, m := range machines {
			m.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// controlAddresses returns the control addresses of all control machines.
func (d *deployment) controlAddresses() []string {
	var addresses []string
	for _, m := range d.controls {
		addresses = append(addresses, m.controlAddress())
	}
	return addresses
}

func (m *machine) controlAddress() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }

func (m *machine) frontAddress() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// smallBounds returns the bounds of the small deployments.
func smallBounds() map[string]string {
	return map[string]string{
		"seedLagS": "3", "reuseAfterS": "2", "contactMs": "3000", "ackMs": "4000", "catchUpS": "4", "drainMs": "2000", "graceS": "8",
		"lossSlackMs": "200", "configApplyMs": "2000", "downgradeMs": "250", "outerBoundMs": "5000", "strictRevoke": "false",
		"revokeMs": "5000", "retryBudgetRatio": "0.2", "budgetWindowS": "10", "retryBudgetSlack": "90", "recoverS": "12",
		"passMs": "120", "retryAfterS": "0", "stall_ms": "1500",
	}
}

// settingsText returns the settings file of the machine.
func (m *machine) settingsText() string {
	d := m.deployment
	var text strings.Builder
	fmt.Fprintf(&text, "node: %q\nrole: %q\nip: %q\nzone: %q\nregion: \"region-1\"\nzones:\n", m.name, m.role, m.ip, m.zone)
	for _, zone := range d.settings.zones {
		fmt.Fprintf(&text, "  %s: \"region-1\"\n", zone)
	}
	text.WriteString("listen:\n")
	switch m.role {
	case roleEntry:
		fmt.Fprintf(&text, "  front: \"%s:%d\"\n  readinessAddress: \"%s:%d\"\n", m.ip, frontPort, m.ip, readyPort)
	case roleControl:
		fmt.Fprintf(&text, "  control: \"%s:%d\"\n", m.ip, controlPort)
	case roleSidecar:
		fmt.Fprintf(&text, "  inbound: \"%s:%d\"\n", m.ip, frontPort)
	}
	fmt.Fprintf(&text, "internalPortRange:\n  - %d\n  - %d\nseeds:\n", innerPort, innerPort+15)
	for _, seed := range d.controls[:3] {
		fmt.Fprintf(&text, "  - %q\n", seed.controlAddress())
	}
	fmt.Fprintf(&text, "bootstrap: %v\nfaultCounted: %v\n", m.isFounding, m.role == roleControl)
	text.WriteString("limits:\n  cpuShare: 0.48\n  cores: 1\n  memoryMb: 280\n  maxFds: 4096\n  linkMbps: 170.0\n  diskMb: 128\n")
	if m.role == roleControl {
		fmt.Fprintf(&text, "dataDir: %q\n", filepath.Join(d.folder, m.name))
	} else {
		text.WriteString("dataDir: null\n")
	}
	if m.worker != "" {
		fmt.Fprintf(&text, "app: %q\nbackend: \"model\"\n", m.worker)
	}
	text.WriteString("discovery: \"registry\"\nentry: \"vip\"\nheartbeatMs: 1200\ncontracts:\n")
	for _, contract := range append([]string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "experts"}, d.settings.contracts...) {
		fmt.Fprintf(&text, "  - %q\n", contract)
	}
	fmt.Fprintf(&text, "faultTolerance:\n  machines: %d\n  zones: 0\n  regions: 0\nbounds:\n", tolerance)
	bounds := smallBounds()
	maps.Copy(bounds, d.settings.bounds)
	for _, name := range slices.Sorted(maps.Keys(bounds)) {
		fmt.Fprintf(&text, "  %s: %s\n", name, bounds[name])
	}
	fmt.Fprintf(&text, "  requireFence: %v\nconfigSource: \"highest\"\n", d.settings.requireFence)
	return text.String()
}

// start starts the process of the machine with the command of the deploy file. Its output goes to a file in the folder.
func (m *machine) start() error {
	d := m.deployment
	settings := filepath.Join(d.folder, m.name+".yaml")
	if err := os.WriteFile(settings, []byte(m.settingsText()), 0o644); err != nil {
		return err
	}
	output, err := os.OpenFile(m.outputPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	command := d.commands[m.role]
	m.process = exec.Command(filepath.Join(d.root, command[0]), command[1:]...)
	m.process.Dir = d.root
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVAHITCH_BOOT=" + settings}
	m.process.Stdout, m.process.Stderr = output, output
	m.process.SysProcAttr = parentDeathSignal()
	if err := m.process.Start(); err != nil {
		return err
	}
	m.isFounding = false
	process, ended := m.process, make(chan struct{})
	m.ended = ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	d.record.add("%s starts at %s", m.name, m.ip)
	return nil
}

func (m *machine) outputPath() string { return filepath.Join(m.deployment.folder, m.name+".log") }

// signal sends a signal to the process, if it runs.
func (m *machine) signal(s syscall.Signal) {
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// kill ends the process at once, and waits for its end.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.ended
	m.process = nil
}

// leader returns the control machine that leads, according to the output of all of them, or nil.
func (d *deployment) leader() *machine {
	var newest *machine
	latest := ""
	pattern := regexp.MustCompile(`"leader":"([^"]+)".*"role":"leader".*"term":(\d+)`)
	for _, m := range d.controls {
		text, _ := os.ReadFile(m.outputPath())
		for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
			if term := fmt.Sprintf("%12s", match[2]); term > latest {
				newest, latest = m, term
			}
		}
	}
	return newest
}

// follower returns a control machine that does not lead.
func (d *deployment) follower() *machine {
	leader := d.leader()
	for _, m := range d.controls {
		if m != leader {
			return m
		}
	}
	return nil
}
