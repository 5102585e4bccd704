package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/daemon"
	"guavahitch.example/guavahitch/fake"
	"guavahitch.example/guavahitch/keys"
	"guavahitch.example/guavahitch/settings"
	"guavahitch.example/guavahitch/wire"
)

const (
	loopback = "127.0.0.1:0"
	chatPath = "/v1/chat/completions"
	// waitTimeout bounds the wait for an expected condition.
	waitTimeout = 20 * time.Second
)

const clusterInventory = `{
  "Models": [{"Name": "m"}],
  "Services": [{"Name": "ledger", "Routes": [
    {"Path": "/ledger/entries", "Method": "POST"}, {"Path": "/ledger/status/", "Repeatable": true}]}],
  "Organisations": [{"Name": "north"}, {"Name": "south"}],
  "Rules": {"AdmitUnlisted": true, "DefaultDeadline": "15s"},
}`

type (
	// cluster is a small system of real guavahitch processes that run inside the test process.
	cluster struct {
		t        testing.TB
		log      *logrus.Logger
		replicas []settings.Replica
		controls []*daemon.Process
		folders  []string
		// authority issues keys to every process; nil runs them without TLS.
		authority *keys.Authority
		engines   []*fake.Engine
		services  []*fake.Service
		cancels   map[string]context.CancelFunc
		ended     map[string]chan struct{}
	}

	// answer is the response that a caller received.
	answer struct {
		status int
		// request is the ID that the entry gave the request.
		request string
		body    string
		err     error
	}
)

func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := fake.FreeAddress()
	require.NoError(t, err)
	return address
}

func newCluster(t testing.TB, replicas int) *cluster {
	return newClusterWith(t, replicas, clusterInventory)
}

func newClusterWith(t testing.TB, replicas int, inventory string) *cluster {
	return newKeyedCluster(t, replicas, inventory, nil)
}

func newKeyedCluster(t testing.TB, replicas int, inventory string, authority *keys.Authority) *cluster {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &cluster{
		t: t, log: log, cancels: map[string]context.CancelFunc{}, ended: map[string]chan struct{}{}, authority: authority,
	}
	for n := range replicas {
		c.replicas = append(c.replicas, settings.Replica{Name: fmt.Sprintf("control-%d", n+1), Address: freeAddress(t)})
		c.folders = append(c.folders, t.TempDir())
	}
	t.Cleanup(c.stop)
	for n := range replicas {
		c.controls = append(c.controls, c.startControl(n))
	}
	c.submit(inventory)
	return c
}

func (c *cluster) startControl(n int) *daemon.Process {
	return c.start(&settings.Settings{
		Name: c.replicas[n].Name, Listen: c.replicas[n].Address, Replicas: c.replicas,
		Control: &settings.Control{Folder: c.folders[n]},
	})
}

// leader waits for a control replica that leads and returns its index.
func (c *cluster) leader() int {
	found := -1
	require.Eventually(c.t, func() bool {
		for n, p := range c.controls {
			reply, err := p.ControlServer().Records(context.Background(), &wire.RecordsRequest{Limit: 1})
			if err == nil && reply.Failure == nil {
				found = n
				return true
			}
		}
		return false
	}, waitTimeout, 10*time.Millisecond)
	return found
}

func (c *cluster) submit(inventory string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request := &wire.SubmitRequest{ChangeId: fmt.Sprintf("change-%d", time.Now().UnixNano()), Inventory: []byte(inventory)}
	for {
		for _, p := range c.controls {
			status, err := p.ControlServer().Submit(ctx, request)
			if err == nil && status.Failure == nil {
				require.NotEqual(c.t, "refused", status.State, status.Reason)
				return
			}
		}
		require.NoError(c.t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
}

// start runs a process until it is drained or aborted or the test ends.
func (c *cluster) start(s *settings.Settings) *daemon.Process {
	s.DrainTimeout = waitTimeout
	if c.authority != nil {
		files, err := c.authority.Issue(s.Name)
		require.NoError(c.t, err)
		s.Keys = &settings.Keys{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}
	}
	p, err := daemon.NewProcess(s, c.log)
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	c.cancels[s.Name] = cancel
	ended := make(chan struct{})
	c.ended[s.Name] = ended
	go func() {
		defer close(ended)
		_ = p.Run(ctx)
	}()
	return p
}

// abort ends a process like a crash and waits until it has stopped.
func (c *cluster) abort(p *daemon.Process, name string) {
	p.Abort()
	<-c.ended[name]
}

// drain stops a process in the planned way and waits until it has stopped.
func (c *cluster) drain(name string) {
	c.cancels[name]()
	<-c.ended[name]
}

func (c *cluster) stop() {
	isControl := map[string]bool{}
	for _, replica := range c.replicas {
		isControl[replica.Name] = true
	}
	for _, controls := range []bool{false, true} {
		for name := range c.cancels {
			if isControl[name] == controls {
				c.cancels[name]()
			}
		}
		for name := range c.cancels {
			if isControl[name] == controls {
				<-c.ended[name]
			}
		}
	}
	for _, e := range c.engines {
		e.Stop()
	}
	for _, s := range c.services {
		s.Stop()
	}
}

func (c *cluster) addEntry(name string) *daemon.Process {
	return c.start(&settings.Settings{
		Name: name, Listen: loopback, Replicas: c.replicas,
		Entry: &settings.Entry{Listen: loopback, Connections: 4096, BodyBytes: 64 << 20},
	})
}

// addModel starts a fake engine and its sidecar.
func (c *cluster) addModel(name string, s fake.EngineSettings) (*fake.Engine, *daemon.Process) {
	s.Name, s.Model = name, "m"
	e := fake.NewEngine(s)
	require.NoError(c.t, e.Start(loopback))
	c.engines = append(c.engines, e)
	return e, c.addSidecar(name, e.Address(), "model", "m", s.Slots)
}

func (c *cluster) addLedger(name string, s fake.ServiceSettings) (*fake.Service, *daemon.Process) {
	s.Name = name
	service := fake.NewService(s)
	require.NoError(c.t, service.Start(loopback))
	c.services = append(c.services, service)
	return service, c.addSidecar(name, service.Address(), "service", "ledger", 16)
}

func (c *cluster) addSidecar(name, engine, kind, service string, running int) *daemon.Process {
	return c.start(c.sidecarSettings(name, engine, kind, service, running))
}

func (c *cluster) sidecarSettings(name, engine, kind, service string, running int) *settings.Settings {
	return &settings.Settings{
		Name: name, Listen: loopback, Replicas: c.replicas,
		Sidecar: &settings.Sidecar{Engine: engine, Kind: kind, Services: []string{service}, Running: running, Queued: running},
	}
}

// awaitRoom waits until an entry has at least this many upstreams that accept work, and room for the service.
func (c *cluster) awaitRoom(entry *daemon.Process, service string, upstreams int) {
	require.Eventually(c.t, func() bool {
		open := 0
		for _, up := range entry.Dispatcher().Picker().Table().Upstreams() {
			if up.AcceptsWork(time.Now()) {
				open++
			}
		}
		return open >= upstreams && entry.Dispatcher().Picker().HasRoom(time.Now(), service)
	}, waitTimeout, time.Millisecond)
}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
}

func send(client *http.Client, address, path, key, body string) answer {
	return sendAs(client, address, path, "north", key, body)
}

func sendAs(client *http.Client, address, path, organisation, key, body string) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Guavahitch-Organisation", organisation)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, request: response.Header.Get("Guavahitch-Request"), body: string(text), err: err,
	}
}

// eventsOf returns all events in a process's ring.
func eventsOf(p *daemon.Process) []*wire.Event {
	var all []*wire.Event
	after := uint64(0)
	for {
		reply, err := p.Events().List(context.Background(), &wire.EventsRequest{After: after})
		if err != nil || len(reply.Events) == 0 {
			return all
		}
		all = append(all, reply.Events...)
		after = all[len(all)-1].Sequence
	}
}
