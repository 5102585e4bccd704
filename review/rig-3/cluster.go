package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	frontPort, readyPort, controlPort, internalPort, workerPort = 21427, 21420, 21429, 21440, 21428

	controls = 5
	entries  = 2
	// callTimeout is how long an operator or a worker waits for control.
	callTimeout = time.Second
	// heartbeatInterval is heartbeatMs of the small deployments.
	heartbeatInterval = 1200 * time.Millisecond
	// leadTime is the time after the start at which traffic begins.
	leadTime = 10 * time.Second
)

// cluster is the system under test with the stand-in of its operator.
type cluster struct {
	folder   string
	block    string
	record   *record
	controls []*process
	entries  []*process
	sides    []*process
	client   *http.Client
	// requiresFence is the setting requireFence.
	requiresFence bool
	// hasEvacuations is set if operators may order evacuations.
	hasEvacuations bool
	isFirstStart   bool
}

// newCluster starts five control processes, two entries and a number of sidecars on free loopback addresses.
func newCluster(r *record, sides int, requiresFence, hasEvacuations bool) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		folder: folder, record: r, client: &http.Client{Timeout: callTimeout}, requiresFence: requiresFence,
		hasEvacuations: hasEvacuations, isFirstStart: true,
	}
	if c.block, err = freeBlock(); err != nil {
		return nil, err
	}
	for n := range controls {
		c.controls = append(c.controls, c.newProcess("control", c.ip(10+n)))
	}
	for n := range entries {
		p := c.newProcess("entry", c.ip(30+n))
		p.zone = []string{"z1", "z2"}[n%2]
		c.entries = append(c.entries, p)
	}
	for n := range sides {
		c.sides = append(c.sides, c.newProcess("sidecar", c.ip(50+n)))
	}
	for _, p := range c.processes() {
		p.settings = c.settings(p)
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	c.isFirstStart = false
	for _, p := range c.processes() {
		p.settings = c.settings(p)
	}
	return c, nil
}

// freeBlock returns the first three bytes of loopback addresses on which the ports of the rig are free.
func freeBlock() (string, error) {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", block, controlPort))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return block, nil
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (c *cluster) ip(n int) string { return fmt.Sprintf("%s.%d", c.block, n) }

func (c *cluster) newProcess(role, ip string) *process {
	return &process{role: role, ip: ip, zone: "z1", folder: filepath.Join(c.folder, role+"-"+ip)}
}

func (c *cluster) processes() []*process {
	return append(append(append([]*process{}, c.controls...), c.entries...), c.sides...)
}

// settings returns the settings file of a process, with the fields and bounds of a small deployment.
func (c *cluster) settings(p *process) string {
	var seeds strings.Builder
	for _, seed := range c.controls[:min(3, len(c.controls))] {
		fmt.Fprintf(&seeds, "  - \"%s:%d\"\n", seed.ip, controlPort)
	}
	listen, data, memory, extra := "listen: {}", "null", 152, ""
	switch p.role {
	case "entry":
		listen = fmt.Sprintf("listen:\n  front: \"%s:%d\"\n  readinessAddress: \"%s:%d\"", p.ip, frontPort, p.ip, readyPort)
		memory = 284
	case "control":
		listen = fmt.Sprintf("listen:\n  control: \"%s:%d\"", p.ip, controlPort)
		data, memory = "\""+filepath.Join(p.folder, "data")+"\"", 280
	default:
		extra = fmt.Sprintf("app: \"%s:%d\"\nbackend: \"llm\"\n", p.ip, workerPort)
	}
	contracts, more := "", ""
	if c.hasEvacuations {
		contracts, more = `, "places"`, ", coldOverage: 1.5, coldSlack: 5, evacuationMs: 5000"
	}
	return fmt.Sprintf(`node: "%s-%s"
role: "%s"
ip: "%s"
zone: "%s"
region: "r1"
zones:
  z1: "r1"
  z2: "r1"
%s
internalPortRange:
  - %d
  - %d
seeds:
%sbootstrap: %v
faultCounted: %v
limits:
  memoryMb: %d
  maxFds: 4096
dataDir: %s
discovery: "registry"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "experts"%s]
faultTolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200,
  configApplyMs: 2000, downgradeMs: 250, outerBoundMs: 5000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.2,
  budgetWindowS: 10, retryBudgetSlack: 90, recoverS: 12, passMs: 120, retryAfterS: 0, stall_ms: 1500, requireFence: %v%s}
configSource: "highest"
%s`, p.role, p.ip, p.role, p.ip, p.zone, listen, internalPort, internalPort+15, seeds.String(), c.isFirstStart, p.role == "control",
		memory, data, contracts, c.requiresFence, more, extra)
}

// call sends a JSON request to control and returns the status, 0 without a complete answer.
func (c *cluster) call(method, url string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, read
}

// controlURL returns the URL of one control process.
func (c *cluster) controlURL(n int) string {
	return fmt.Sprintf("http://%s:%d", c.controls[n%len(c.controls)].ip, controlPort)
}

// configure sends a configuration, to one control process after the other, until it is acknowledged.
func (c *cluster) configure(configuration map[string]any, within time.Duration) error {
	last := 0
	for until := time.Now().Add(within); time.Now().Before(until); {
		status, _ := c.call(http.MethodPost, c.controlURL(rand.IntN(controls))+"/config/replace", configuration)
		if status == http.StatusOK {
			return nil
		}
		last = status
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged, last status %d", last)
}

// leader returns the control process that leads, by the logs of the control processes.
func (c *cluster) leader() *process {
	var found string
	var newest float64
	for _, p := range c.controls {
		if leader, term := p.lastLeader(); leader != "" && term >= newest {
			found, newest = leader, term
		}
	}
	for _, p := range c.controls {
		if found == fmt.Sprintf("%s:%d", p.ip, internalPort) {
			return p
		}
	}
	return nil
}

// stop kills all processes and removes the folder.
func (c *cluster) stop() {
	var group sync.WaitGroup
	for _, p := range c.processes() {
		group.Go(p.kill)
	}
	group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// crashes returns the processes that ended by themselves.
func (c *cluster) crashes() []string {
	var list []string
	for _, p := range c.processes() {
		p.mutex.Lock()
		if p.crashes > 0 {
			list = append(list, p.describe())
		}
		p.mutex.Unlock()
	}
	return list
}
