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

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/http1"
	"guavahitch.example/guavahitch/item"
	"guavahitch.example/guavahitch/journal"
	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/peer"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/quota"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

const (
	// voterWaitTimeout is how long a new leader waits for the required number of voters before it accepts changes with
	// fewer.
	voterWaitTimeout = 9 * time.Second
	// reopenDelay is the pause after a failed attempt to open the replicated log.
	reopenDelay = 500 * time.Millisecond
	// dialTimeout bounds the opening of a connection to another replica.
	dialTimeout = 400 * time.Millisecond
	// upstreamTimeout is the time without an announcement after which an upstream is removed.
	upstreamTimeout = 30 * time.Second
	// maintenanceInterval is the time between two checks of the log and the roster.
	maintenanceInterval = 250 * time.Millisecond
	// maxMessageBytes bounds a message of another process.
	maxMessageBytes = 24 << 20
)

type (
	// Settings configures a Replica.
	Settings struct {
		// ID identifies the replica in its group. It is the internal address, where the other processes reach it.
		ID string
		// Seeds are the internal addresses of the replicas to contact first. They are the initial members of a new
		// group.
		Seeds []string
		// Folder holds the files of the replica.
		Folder string
		// Disk replaces the files in Folder in tests.
		Disk *journal.Disk
		// IsFounding reports that the whole system starts for the first time, so that this replica forms a new group
		// rather than joining one.
		IsFounding bool
		// Tolerance is the number of replicas that may lose their disks at the same time.
		Tolerance int
		// Parse decodes and checks a submitted configuration. It returns an error for one that must not come into
		// force: a *route.Invalid, which Submit passes on as the final refusal.
		Parse func(source []byte) (*route.Configuration, error)
		// Cold bounds the requests that cold upstreams get.
		Cold quota.ColdRule
		// Clients is the account of what the other processes hold. Open makes one if it is nil.
		Clients *limit.Account
		// Scope receives the metrics. If it is nil, they are discarded.
		Scope tally.Scope
		Log   *logrus.Entry
	}

	// Replica is one replica of the control group. Its methods are safe for concurrent use.
	Replica struct {
		settings Settings
		state    state
		client   *http.Client
		sender   *peer.Sender
		receiver *peer.Receiver
		// log is the replicated log.
		log *consensus.Restarter
		// leadingSince is when this replica became leader, nil while it does not lead.
		leadingSince atomic.Pointer[time.Time]
		// memory holds what entries know of requests that end upstreams.
		memory *quarantine.Memory
		// departures stores departures of upstreams in the replicated log.
		departures *departureWriter
		// streams records the streams to followers, items the items that are left out of messages.
		streams *streamLog
		items   *item.Log
		// caughtUp is the node that has applied what was acknowledged before it was opened, nil before there is one.
		caughtUp atomic.Pointer[consensus.Node]
		// allocator grants requests at upstreams that name rate limits, while this replica leads.
		allocator *quota.Allocator
		// table is the lookup table of the configuration in force.
		table atomic.Pointer[route.Table]

		mutex  sync.Mutex
		roster *roster.Roster
		// changed is closed and replaced at each change that followers receive: the configuration, the roster, the
		// members, the loads or the number of entries.
		changed    chan struct{}
		members    []string
		entryCount int
		// roll holds the entries that are or were connected, started is the start of the replica.
		roll    *quota.Roll
		started time.Time
		// loads holds the loads of the upstreams by group. loadsRevision is incremented with each change.
		loads         map[string]groupLoads
		loadsRevision uint64
		ctx           context.Context
		cancel        context.CancelFunc
		done          sync.WaitGroup
	}
)

// Load is the load that the engine of an upstream reports.
type Load struct {
	ID string
	// Running is the number of requests in its batch, Waiting that of requests queued for a slot in it.
	Running, Waiting int
	// Pace is the pass time of the upstream divided by that of a healthy one.
	Pace float64
}

// groupLoads holds the loads of one group and the revision at which they changed last.
type groupLoads struct {
	loads    []Load
	revision uint64
}

// ErrNoQuorum reports that a replica can neither store a configuration nor tell which one is the newest, because its
// log is not open, it knows no leader, or another replica called it as the leader and it does not lead. A leader that
// lacks the required voters returns it for submissions only.
var ErrNoQuorum = errors.New("no quorum of replicas answers")

// ErrUnknownService reports that a replica cannot tell whether an announcement names an upstream, because the service is not in
// the configuration that the replica holds.
var ErrUnknownService = errors.New("the service is not in the configuration")

// ErrTooManyDepartures reports that a departure is not stored, because the replica does not know the upstream and too many
// departures of unknown upstreams are stored.
var ErrTooManyDepartures = errors.New("too many departures of unknown upstreams are stored")

// Open opens the folder of a replica and starts it. If the replicated log cannot be opened, the replica retries in the
// background.
func Open(settings Settings) (*Replica, error) {
	r := &Replica{
		settings: settings, roster: roster.New(), changed: make(chan struct{}), loads: map[string]groupLoads{},
		memory: quarantine.NewMemory(), allocator: quota.NewAllocator(), roll: quota.NewRoll(), started: time.Now(),
	}
	r.roster.SetServices(r.isServed)
	r.departures = &departureWriter{write: r.writeDepartures}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if r.settings.Scope == nil {
		r.settings.Scope = tally.NoopScope
	}
	if r.settings.Clients == nil {
		r.settings.Clients = limit.NewAccount(limit.Settings{})
	}
	r.streams = newStreamLog(r.settings.Log, r.settings.Scope)
	r.items = item.NewLog(r.settings.Log, r.settings.Scope)
	r.state.items = r.items
	r.settings.Scope.Gauge("evacuated_domains").Update(0)
	r.state.onChange, r.state.onEvacuations, r.state.onDepartures = r.onConfiguration, r.onEvacuations, r.onDepartures
	dialer := &net.Dialer{Timeout: dialTimeout}
	r.client = http1.NewClient(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true,
	})
	r.sender = peer.NewSender(peer.Settings{
		URL: func(id string) string { return "http://" + id }, Client: r.client,
	})
	r.receiver = peer.NewReceiver(r.step, r.settings.Clients)
	if err := os.MkdirAll(settings.Folder, 0o755); err != nil {
		return nil, eris.Wrapf(err, "create folder %s", settings.Folder)
	}
	r.log = &consensus.Restarter{ID: settings.ID, Open: r.openNode}
	if err := r.checkLog(); err != nil {
		settings.Log.WithError(err).Error("cannot open the replicated log")
	}
	follower := NewFollower(FollowerSettings{
		Seeds: func() []string { return settings.Seeds }, Self: settings.ID, Name: settings.ID, OnUpstreams: r.merge,
		Memory: r.memory, Scope: r.settings.Scope, Log: settings.Log,
	})
	r.done.Go(r.maintain)
	r.done.Go(func() { _ = follower.Run(r.ctx) })
	return r, nil
}

// openNode opens the folder of the replica with an empty state, which the log restores.
func (r *Replica) openNode() (*consensus.Node, error) {
	r.state.reset()
	var members []consensus.Member
	for _, seed := range r.settings.Seeds {
		members = append(members, consensus.Member{ID: seed, Address: seed, IsVoter: true})
	}
	return consensus.Open(consensus.Settings{
		ID: r.settings.ID, Address: r.settings.ID, Members: members, Folder: r.settings.Folder, Disk: r.settings.Disk,
		IsAutoReplacing: true, IsJoining: !r.settings.IsFounding, Voters: r.requiredVoters(),
		Apply:    r.state.apply,
		Snapshot: r.state.snapshot, Restore: r.state.restore,
		Send: r.sender.Send, OnStatusChange: r.onStatusChange,
	})
}

// checkLog opens the replicated log if it is not open or has stopped because of a fault, for example of its disk. The replica then
// catches up again.
func (r *Replica) checkLog() error {
	if fault := r.log.Status().Fault; fault != "" {
		r.settings.Log.WithField("fault", fault).Warn("reopening the replicated log after a fault")
	}
	isOpened, err := r.log.Check()
	if isOpened {
		node := r.log.Node()
		r.done.Go(func() { r.catchUp(node) })
	}
	return err
}

// requiredVoters returns the number of voters of which a majority survives the loss of the tolerated disks.
func (r *Replica) requiredVoters() int { return 2*r.settings.Tolerance + 1 }

// Handler returns the handler that serves the other replicas and the entries on the internal address.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, r.receiver.Handler())
	mux.Handle(wire.RegistryPathPrefix, limit.Buffer(wire.NewRegistryServer(replicaService{r}), r.settings.Clients, maxMessageBytes))
	mux.HandleFunc(watchPath, r.serveWatch)
	mux.HandleFunc(documentPath, r.serveDocument)
	return mux
}

// Close stops the replica. A leader transfers its leadership first.
func (r *Replica) Close() {
	r.cancel()
	r.done.Wait()
	if err := r.log.Close(); err != nil {
		r.settings.Log.WithError(err).Error("cannot close the replicated log")
	}
	r.sender.Close()
	r.receiver.Close()
}

// step passes a message of another replica to the replicated log.
func (r *Replica) step(m *wire.ReplicaMessage) { r.log.Step(m) }

// onStatusChange records a change of role, leader or members.
func (r *Replica) onStatusChange(status consensus.Status) {
	r.settings.Log.WithFields(logrus.Fields{
		"role": status.Role, "term": status.Term, "leader": status.Leader, "members": len(status.Members),
		"fault": status.Fault,
	}).Info("replica changed")
	r.settings.Scope.Gauge("term").Update(float64(status.Term))
	r.settings.Scope.Gauge("members").Update(float64(len(status.Members)))
	if status.Leader != r.settings.ID {
		r.leadingSince.Store(nil)
	} else if r.leadingSince.Load() == nil {
		now := time.Now()
		r.leadingSince.Store(&now)
	}
	members := make([]string, 0, len(status.Members))
	for _, member := range status.Members {
		members = append(members, member.ID)
	}
	r.mutex.Lock()
	r.members = members
	r.notifyWatchers()
	r.mutex.Unlock()
}

// onConfiguration puts a newer configuration in force. A replica that applies its log again has a newer one already.
func (r *Replica) onConfiguration(document *wire.RoutingDocument) {
	if table := r.Table(); table != nil && table.Version() >= document.Version {
		return
	}
	r.settings.Log.WithField("version", document.Version).Info("configuration in force")
	r.settings.Scope.Gauge("configuration_version").Update(float64(document.Version))
	if err := r.buildTable(document); err != nil {
		r.settings.Log.WithError(err).WithField("version", document.Version).Error("cannot read the configuration")
	}
	r.mutex.Lock()
	r.roster.SetServices(r.isServed)
	r.notifyWatchers()
	r.mutex.Unlock()
}

// buildTable replaces the lookup table by that of a configuration.
func (r *Replica) buildTable(document *wire.RoutingDocument) error {
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

// notifyWatchers wakes the streams to followers. The caller holds the mutex.
func (r *Replica) notifyWatchers() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// maintain periodically removes silent upstreams and expired departures, and reopens the log after a fault.
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
		r.roster.Expire(time.Now(), upstreamTimeout)
		r.roll.Expire(time.Now())
		r.mutex.Unlock()
		r.expireDepartures()
		if err := r.checkLog(); err != nil {
			r.settings.Log.WithError(err).Error("cannot open the replicated log again")
			wait.For(r.ctx, reopenDelay)
		}
	}
}

// registryAt returns a client of the replica with the ID.
func (r *Replica) registryAt(id string) wire.Registry {
	return wire.NewRegistryProtobufClient("http://"+id, r.client)
}

// Seeds returns the internal addresses of the replicas to contact first.
func (r *Replica) Seeds() []string { return r.settings.Seeds }

// Leading returns the current term and whether this replica is its leader.
func (r *Replica) Leading() (term uint64, leads bool) {
	status := r.log.Status()
	return status.Term, status.Leader == r.settings.ID
}

// isServed reports whether the configuration in force has the service.
func (r *Replica) isServed(service string) bool {
	table := r.Table()
	return table != nil && table.Service(service) != nil
}

// isLeader reports whether this replica believes that it leads. Only a barrier or a committed entry proves it.
func (r *Replica) isLeader() bool {
	_, leads := r.Leading()
	return leads
}

// Upstreams returns the last announcement of each upstream, including those that left recently.
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

// Table returns the lookup table of the configuration in force, or nil if there is none.
func (r *Replica) Table() *route.Table { return r.table.Load() }

// UpdateLoads replaces the loads of the upstreams of a group and sends them to the entries.
func (r *Replica) UpdateLoads(group string, loads []Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loadsRevision++
	r.loads[group] = groupLoads{loads: loads, revision: r.loadsRevision}
	r.notifyWatchers()
}

// Members returns the internal addresses of the members of the control group.
func (r *Replica) Members() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.members
}

// LastHeartbeat returns when any replica last received an announcement of an upstream, as far as this replica knows. It
// returns false for an unknown upstream.
func (r *Replica) LastHeartbeat(id string) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry := r.roster.Get(id)
	if entry == nil {
		return time.Time{}, false
	}
	return entry.LastHeartbeat, true
}
