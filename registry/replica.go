package registry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/peer"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

const (
	// foundingPatience is how long a leader waits for the wanted number of voters before it accepts changes
	// with fewer.
	foundingPatience = 9 * time.Second
	// reopenPause is the time between two attempts to open the log of a replica that stepped aside.
	reopenPause = 500 * time.Millisecond
	// dialTimeout bounds the opening of a connection to another replica.
	dialTimeout = 400 * time.Millisecond
	// rosterLimit is the silence after which an upstream is forgotten.
	rosterLimit = 30 * time.Second
	// maintenanceInterval is the time between two looks at the log and the roster.
	maintenanceInterval = 250 * time.Millisecond
)

type (
	// Settings configure a Replica.
	Settings struct {
		// ID is the inner address of the replica, which names it among the others.
		ID string
		// Seeds are inner addresses of replicas to begin with.
		Seeds []string
		// Folder holds the replica's files.
		Folder string
		// IsFounding tells that the whole system starts for the first time.
		IsFounding bool
		// Tolerance is the number of replicas whose disks may be lost at the same moment.
		Tolerance int
		// Parse reads a submitted configuration. It returns an error for one that must not come into force.
		Parse func(source []byte) (*route.Configuration, error)
		// Scope counts, nil for nowhere.
		Scope tally.Scope
		Log   *logrus.Entry
	}

	// Replica is one replica of control. Its methods are safe for concurrent use.
	Replica struct {
		settings Settings
		state    state
		client   *http.Client
		sender   *peer.Sender
		receiver *peer.Receiver
		node     atomic.Pointer[consensus.Node]
		// led is when this replica saw itself lead first, in its present leadership.
		led atomic.Pointer[time.Time]
		// table is the configuration in force, read.
		table atomic.Pointer[route.Table]

		mutex  sync.Mutex
		roster *roster.Roster
		// changed is closed when the configuration, the roster or the members changed.
		changed chan struct{}
		members []string
		entries int
		// loads holds what the upstreams of each group have to do, and loadsNumber the number of the last change.
		loads       map[string][]Load
		loadsNumber uint64
		ctx         context.Context
		cancel      context.CancelFunc
		done        sync.WaitGroup
	}
)

// Load is what an upstream has to do.
type Load struct {
	ID string
	// Running are the requests in its batch, Waiting those that wait for a place in it.
	Running, Waiting int
	// Pace is the time of its steps over that of a healthy upstream.
	Pace float64
}

// ErrNoQuorum tells that the replica can't be sure to know the newest configuration.
var ErrNoQuorum = errors.New("no quorum of replicas answers")

// Open opens the replica's folder and starts it.
func Open(settings Settings) (*Replica, error) {
	r := &Replica{settings: settings, roster: roster.New(), changed: make(chan struct{}), loads: map[string][]Load{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if r.settings.Scope == nil {
		r.settings.Scope = tally.NoopScope
	}
	r.state.onChange = r.noteConfiguration
	dialer := &net.Dialer{Timeout: dialTimeout}
	r.client = &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true,
	}}
	r.sender = peer.NewSender(peer.Settings{
		URL: func(id string) string { return "http://" + id }, Client: r.client,
	})
	r.receiver = peer.NewReceiver(r.step)
	if err := os.MkdirAll(settings.Folder, 0o755); err != nil {
		return nil, eris.Wrapf(err, "make folder %s", settings.Folder)
	}
	if err := r.openLog(); err != nil {
		settings.Log.WithError(err).Error("replicated log not opened")
	}
	follower := NewFollower(FollowerSettings{
		Seeds: func() []string { return settings.Seeds }, Self: settings.ID, OnUpstreams: r.merge, Log: settings.Log,
	})
	r.done.Go(r.maintain)
	r.done.Go(func() { _ = follower.Run(r.ctx) })
	return r, nil
}

func (r *Replica) openLog() error {
	var members []consensus.Member
	for _, seed := range r.settings.Seeds {
		members = append(members, consensus.Member{ID: seed, Address: seed, IsVoter: true})
	}
	node, err := consensus.Open(consensus.Settings{
		ID: r.settings.ID, Address: r.settings.ID, Members: members, Folder: r.settings.Folder,
		IsAutoReplacing: true, IsJoining: !r.settings.IsFounding, Voters: r.voters(),
		Apply:    func(e consensus.Entry) []byte { return r.state.apply(e.Command) },
		Snapshot: r.state.snapshot, Restore: r.state.restore,
		Send: r.sender.Send, OnStatusChange: r.noteStatus,
	})
	if err != nil {
		return err
	}
	r.node.Store(node)
	return nil
}

// voters returns the number of voters of which a majority outlives the loss of the tolerated disks.
func (r *Replica) voters() int { return 2*r.settings.Tolerance + 1 }

// Handler serves the other replicas and entries.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, r.receiver.Handler())
	mux.Handle(wire.RegistryPathPrefix, wire.NewRegistryServer(inner{r}))
	mux.HandleFunc(watchPath, r.serveWatch)
	mux.HandleFunc(documentPath, r.serveDocument)
	return mux
}

// Close stops the replica; it hands leadership over first.
func (r *Replica) Close() {
	r.cancel()
	r.done.Wait()
	if node := r.node.Load(); node != nil {
		if err := node.Close(); err != nil {
			r.settings.Log.WithError(err).Error("replicated log not closed")
		}
	}
	r.sender.Close()
	r.receiver.Close()
}

func (r *Replica) step(m *wire.ReplicaMessage) {
	if node := r.node.Load(); node != nil {
		node.Step(m)
	}
}

// noteStatus is told of each change of role, leader or members.
func (r *Replica) noteStatus(status consensus.Status) {
	r.settings.Log.WithFields(logrus.Fields{
		"role": status.Role, "term": status.Term, "leader": status.Leader, "members": len(status.Members),
		"fault": status.Fault,
	}).Info("replica changed")
	r.settings.Scope.Gauge("term").Update(float64(status.Term))
	r.settings.Scope.Gauge("members").Update(float64(len(status.Members)))
	if status.Leader != r.settings.ID {
		r.led.Store(nil)
	} else if r.led.Load() == nil {
		now := time.Now()
		r.led.Store(&now)
	}
	members := make([]string, 0, len(status.Members))
	for _, member := range status.Members {
		members = append(members, member.ID)
	}
	r.mutex.Lock()
	r.members = members
	r.signal()
	r.mutex.Unlock()
}

func (r *Replica) noteConfiguration(document *wire.RoutingDocument) {
	r.settings.Log.WithField("version", document.Version).Info("configuration in force")
	r.settings.Scope.Gauge("configuration_version").Update(float64(document.Version))
	if err := r.index(document); err != nil {
		r.settings.Log.WithError(err).WithField("version", document.Version).Error("configuration not read")
	}
	r.mutex.Lock()
	r.signal()
	r.mutex.Unlock()
}

// index makes the table of a configuration.
func (r *Replica) index(document *wire.RoutingDocument) error {
	source, err := Source(document)
	if err != nil {
		return err
	}
	configuration, err := r.settings.Parse(source)
	if err != nil {
		return err
	}
	r.table.Store(route.NewTable(configuration))
	return nil
}

// signal wakes the streams to entries; the mutex is held.
func (r *Replica) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// maintain opens the log again after a fault and forgets silent upstreams.
func (r *Replica) maintain() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		r.mutex.Lock()
		r.roster.Expire(time.Now(), rosterLimit)
		r.mutex.Unlock()
		r.reopen()
	}
}

// reopen opens the log of a replica that stepped aside because of its disk.
func (r *Replica) reopen() {
	node := r.node.Load()
	if node != nil && node.Status().Fault == "" {
		return
	}
	if node != nil {
		r.settings.Log.WithField("fault", node.Status().Fault).Warn("replicated log opened again")
		r.node.Store(nil)
		if err := node.Close(); err != nil {
			r.settings.Log.WithError(err).Error("replicated log not closed")
		}
	}
	if err := r.openLog(); err != nil {
		r.settings.Log.WithError(err).Error("replicated log not opened")
		wait.For(r.ctx, reopenPause)
	}
}

// Submit makes a configuration durable. A version that is not newer than the held one changes nothing. The
// error is a *route.Invalid, or tells that the outcome is not known.
func (r *Replica) Submit(ctx context.Context, source []byte) error {
	err := r.submitSource(ctx, source)
	r.count("submissions", err)
	return err
}

// count counts a call by whether it failed.
func (r *Replica) count(name string, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	r.settings.Scope.Tagged(map[string]string{"result": result}).Counter(name).Inc(1)
}

func (r *Replica) submitSource(ctx context.Context, source []byte) error {
	configuration, err := r.settings.Parse(source)
	if err != nil {
		return err
	}
	held := r.state.newest()
	if held != nil && held.Version >= configuration.Version {
		return nil
	}
	compressed, err := compress(source)
	if err != nil {
		return err
	}
	return r.submit(ctx, &wire.RoutingDocument{Version: configuration.Version, Compressed: compressed})
}

func (r *Replica) submit(ctx context.Context, document *wire.RoutingDocument) error {
	node := r.node.Load()
	if node == nil {
		return ErrNoQuorum
	}
	leader := node.Status().Leader
	if leader != r.settings.ID {
		return r.forward(ctx, leader, document)
	}
	if !r.isComplete(node.Status()) {
		return ErrNoQuorum
	}
	command, err := proto.Marshal(document)
	if err != nil {
		return eris.Wrap(err, "encode the configuration")
	}
	_, err = node.Propose(ctx, command)
	return err
}

// forward hands a configuration to the leader.
func (r *Replica) forward(ctx context.Context, leader string, document *wire.RoutingDocument) error {
	if leader == "" {
		return ErrNoQuorum
	}
	_, err := r.registryAt(leader).Submit(ctx, &wire.RoutingSubmitRequest{Document: document})
	return eris.Wrapf(err, "submit at %s", leader)
}

// isComplete reports whether the group has the voters that the tolerated losses ask for. A leader that waited
// for long goes on with fewer.
func (r *Replica) isComplete(status consensus.Status) bool {
	voters := 0
	for _, member := range status.Members {
		if member.IsVoter {
			voters++
		}
	}
	led := r.led.Load()
	return voters >= r.voters() || led != nil && time.Since(*led) > foundingPatience
}

// Newest returns the newest configuration that was acknowledged anywhere, nil for none, or an error when the
// replica cannot be sure which it is.
func (r *Replica) Newest(ctx context.Context) (*wire.RoutingDocument, error) {
	document, err := r.readNewest(ctx)
	r.count("reads", err)
	return document, err
}

func (r *Replica) readNewest(ctx context.Context) (*wire.RoutingDocument, error) {
	node := r.node.Load()
	if node == nil {
		return nil, ErrNoQuorum
	}
	leader := node.Status().Leader
	if leader == r.settings.ID {
		if err := node.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return r.state.newest(), nil
	}
	if leader == "" {
		return nil, ErrNoQuorum
	}
	reply, err := r.registryAt(leader).Newest(ctx, &wire.RoutingNewestRequest{})
	if err != nil {
		return nil, eris.Wrapf(err, "read at %s", leader)
	}
	return reply.Document, nil
}

func (r *Replica) registryAt(id string) wire.Registry {
	return wire.NewRegistryProtobufClient("http://"+id, r.client)
}

// Seeds returns the inner addresses that the replica began with.
func (r *Replica) Seeds() []string { return r.settings.Seeds }

// Leading returns the term, and whether this replica leads in it.
func (r *Replica) Leading() (term uint64, leads bool) {
	node := r.node.Load()
	if node == nil {
		return 0, false
	}
	status := node.Status()
	return status.Term, status.Leader == r.settings.ID
}

// Upstreams returns what upstreams announced last; those that left a short time ago are among them.
func (r *Replica) Upstreams() []roster.Instance {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entries := r.roster.Entries()
	list := make([]roster.Instance, 0, len(entries))
	for _, entry := range entries {
		list = append(list, entry.Instance)
	}
	return list
}

// Table returns the configuration in force, or nil.
func (r *Replica) Table() *route.Table { return r.table.Load() }

// UpdateLoads takes what the upstreams of a group have to do, for the entries.
func (r *Replica) UpdateLoads(group string, loads []Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loads[group] = loads
	r.loadsNumber++
	r.signal()
}

// Members returns the inner addresses of the replicas of the group.
func (r *Replica) Members() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.members
}

// LastHeartbeat returns when any replica heard an upstream last, as far as this one knows.
func (r *Replica) LastHeartbeat(id string) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry := r.roster.Get(id)
	if entry == nil {
		return time.Time{}, false
	}
	return entry.LastHeartbeat, true
}
