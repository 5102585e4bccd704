package registry

import (
	"bufio"
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/encoding/protodelim"

	"guavahitch.example/guavahitch/evacuation"
	"guavahitch.example/guavahitch/http1"
	"guavahitch.example/guavahitch/item"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

const (
	// streamIdleTimeout is the time without a frame after which a stream is reopened.
	streamIdleTimeout = 1500 * time.Millisecond
	// fetchTimeout bounds the fetch of a configuration from one replica. After it, another replica is tried.
	fetchTimeout = 600 * time.Millisecond
	// reconnectDelay is the time between two attempts to open a stream.
	reconnectDelay = 250 * time.Millisecond
	// unlistedReplicaTimeout is how long a replica is still followed after it was last a seed or listed by a connected
	// replica.
	unlistedReplicaTimeout = 20 * time.Second
	// quotaIdleTimeout is how long an unused connection for quota is kept.
	quotaIdleTimeout = 10 * time.Second
	// maxFrameBytes bounds one frame or configuration.
	maxFrameBytes = 16 << 20
)

type (
	// FollowerSettings configures a Follower. Its functions are called from several goroutines.
	FollowerSettings struct {
		// Seeds returns the internal addresses of the replicas to contact first.
		Seeds func() []string
		// Self is the internal address of the replica that runs the follower, and is not followed. It is empty in an
		// entry.
		Self string
		// Name identifies the process among the followers, also after a restart. NewFollower draws one if it is empty.
		Name string
		// IsEntry reports that the follower is an entry and counts among those that share the limits of services.
		IsEntry bool
		// OnDocument receives each configuration that is newer than the ones before. OnDocument, OnLoads and OnEntries
		// may be nil.
		OnDocument func(*wire.RoutingDocument)
		// OnEvacuations receives the set of evacuated domains of each frame that has one, before OnDocument is called for
		// the frame. It may be nil.
		OnEvacuations func(evacuation.Set)
		// OnUpstreams receives announcements and renewals.
		OnUpstreams func(announced, renewals []roster.Entry)
		// OnLoads receives the loads of upstreams.
		OnLoads func([]Load)
		// Memory receives the evidence of the replicas; an entry sends its own to them. NewFollower makes one if it is
		// nil.
		Memory *quarantine.Memory
		// OnVerdicts receives the verdicts that evidence of other processes changed. It may be nil.
		OnVerdicts func([]*wire.Quarantine)
		// Quota is served with quota by the leader. Its functions are nil in a replica.
		Quota QuotaClient
		// OnEntries receives the number of entries, which is the largest that a connected replica counts.
		OnEntries func(int)
		// Scope receives the metrics. If it is nil, they are discarded.
		Scope tally.Scope
		Log   *logrus.Entry
	}

	// Follower keeps a stream to every replica that it knows of.
	Follower struct {
		settings FollowerSettings
		name     string
		client   *http.Client
		// quotaClient keeps its connection between two requests for quota.
		quotaClient *http.Client
		// runContext is the context of Run. All replicas are followed under it, so that following one does not depend
		// on the stream of the replica that listed it.
		runContext context.Context
		// items records the items that are left out of messages.
		items *item.Log
		// freshness records how recent the received frames are.
		freshness *freshness
		mutex     sync.Mutex
		replicas  map[string]*followedReplica
		// newest is the version of the newest configuration passed to OnDocument. fetchStarted is the start of the fetch
		// under way, zero if there is none.
		newest       heldVersion
		fetchStarted time.Time
		done         sync.WaitGroup
	}

	// followedReplica is the state of the stream to one replica.
	followedReplica struct {
		cancel context.CancelFunc
		// lastListed is when the seeds or a connected replica listed it last.
		lastListed time.Time
		// listedReplicas are the replicas that it listed last.
		listedReplicas []string
		entries        int
		// leadingTerm is the term that it leads, 0 if it does not lead.
		leadingTerm uint64
		connected   bool
		// isFailing reports whether it was logged that no stream to the replica can be opened.
		isFailing bool
	}
)

// NewFollower returns a follower, which Run starts.
func NewFollower(settings FollowerSettings) *Follower {
	if settings.Memory == nil {
		settings.Memory = quarantine.NewMemory()
	}
	if settings.Scope == nil {
		settings.Scope = tally.NoopScope
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Follower{
		settings: settings, replicas: map[string]*followedReplica{},
		items:     item.NewLog(settings.Log, settings.Scope),
		freshness: newFreshness(time.Now(), settings.OnDocument != nil, settings.Log, settings.Scope),
		name:      cmp.Or(settings.Name, strconv.FormatUint(rand.Uint64(), 36)),
		client: http1.NewClient(&http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: true,
		}),
		quotaClient: http1.NewClient(&http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: quotaIdleTimeout,
		}),
	}
}

// Run follows the replicas until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.runContext = ctx
	if f.settings.Quota.Next != nil {
		f.done.Go(func() { f.askForQuota(ctx) })
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		f.refresh(time.Now())
		f.freshness.check(time.Now())
		select {
		case <-ctx.Done():
			f.done.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// refresh follows the seeds and all replicas that connected replicas list. It stops following those that have not been
// listed for unlistedReplicaTimeout.
func (f *Follower) refresh(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	listed := f.settings.Seeds()
	for _, r := range f.replicas {
		if r.connected {
			listed = append(listed, r.listedReplicas...)
		}
	}
	for _, address := range listed {
		f.startFollowing(address, now)
	}
	for address, r := range f.replicas {
		if now.Sub(r.lastListed) > unlistedReplicaTimeout {
			r.cancel()
			delete(f.replicas, address)
		}
	}
}

// startFollowing starts to follow a replica, unless it is already followed. The caller holds the mutex.
func (f *Follower) startFollowing(address string, now time.Time) {
	if address == f.settings.Self {
		return
	}
	if known := f.replicas[address]; known != nil {
		known.lastListed = now
		return
	}
	inner, cancel := context.WithCancel(f.runContext)
	f.replicas[address] = &followedReplica{cancel: cancel, lastListed: now}
	f.done.Go(func() { f.followReplica(inner, address) })
}

// followReplica keeps a stream to one replica and reopens it until the context ends.
func (f *Follower) followReplica(ctx context.Context, address string) {
	for ctx.Err() == nil {
		isOpened, err := f.readStream(ctx, address)
		if ctx.Err() == nil {
			f.freshness.recordLoss(err)
		}
		f.logLoss(address, err)
		if isOpened {
			f.fetchWithoutFrame(ctx, address)
		}
		wait.For(ctx, reconnectDelay)
	}
}

// readStream opens one stream and handles its frames until it fails. It reports whether the replica opened the stream.
func (f *Follower) readStream(ctx context.Context, address string) (isOpened bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(streamIdleTimeout, cancel)
	defer idleTimer.Stop()
	url := "http://" + address + watchPath + "?" + f.query(time.Now())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false, eris.Wrap(err, "create watch request")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return false, eris.Wrap(err, "open watch stream")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false, eris.Errorf("open watch stream: replica answered %s", response.Status)
	}
	if f.settings.IsEntry {
		f.done.Go(func() { f.sendEvidence(ctx, address) })
	}
	reader := bufio.NewReader(response.Body)
	for {
		frame := &wire.WatchFrame{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}).UnmarshalFrom(reader, frame); err != nil {
			return true, eris.Wrap(err, "read watch frame")
		}
		idleTimer.Reset(streamIdleTimeout)
		f.freshness.recordFrame(time.Now(), versionOf(frame.Version))
		f.handleFrame(ctx, address, frame)
	}
}

// handleFrame passes the contents of a frame to the functions of the settings.
func (f *Follower) handleFrame(ctx context.Context, address string, frame *wire.WatchFrame) {
	now := time.Now()
	if frame.Evacuations != nil && f.settings.OnEvacuations != nil {
		f.settings.OnEvacuations(decodeEvacuations(frame.Evacuations, now))
	}
	if f.settings.OnDocument != nil && f.claimFetch(versionOf(frame.Version), now) {
		f.done.Go(func() { f.fetchDocument(ctx, address) })
	}
	announced := decodeEntries(f.items, address, frame.Upstreams, now)
	renewals := decodeRenewals(f.items, address, frame.Renewals, now)
	if len(announced) > 0 || len(renewals) > 0 {
		f.settings.OnUpstreams(announced, renewals)
	}
	if len(frame.Loads) > 0 && f.settings.OnLoads != nil {
		f.settings.OnLoads(decodeLoads(f.items, address, frame.Loads))
	}
	if len(frame.Limits) > 0 && f.settings.Quota.OnLimits != nil {
		f.settings.Quota.OnLimits(now, decodeLimits(f.items, address, frame.Limits, now))
	}
	f.mergeEvidence(decodeEvidence(f.items, address, frame.Evidence), now)
	f.hearCount(frame, now)
	f.recordFrame(address, frame, now)
}

func decodeLoads(l *item.Log, origin string, items [][]byte) []Load {
	loads := make([]Load, 0, len(items))
	for _, m := range item.DecodeAll[wire.UpstreamLoad](l, kindLoad, origin, items) {
		loads = append(loads, Load{ID: m.Id, Running: int(m.Running), Waiting: int(m.Waiting), Pace: float64(m.Pace)})
	}
	return loads
}

// recordFrame records the replicas and the number of entries that a frame lists.
func (f *Follower) recordFrame(address string, frame *wire.WatchFrame, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.replicas[address]
	if r == nil {
		return
	}
	if !r.connected {
		r.connected, r.isFailing = true, false
		f.settings.Log.WithField("replica", address).Info("stream to replica opened")
	}
	r.entries, r.leadingTerm = int(frame.Entries), frame.LeadingTerm
	if len(frame.Replicas) > 0 {
		r.listedReplicas = frame.Replicas
		for _, name := range frame.Replicas {
			f.startFollowing(name, now)
		}
	}
	if f.settings.OnEntries != nil {
		f.settings.OnEntries(f.countEntries())
	}
}

// countEntries returns the largest number of entries that a connected replica counts. The caller holds the mutex.
func (f *Follower) countEntries() int {
	entries := 0
	for _, r := range f.replicas {
		if r.connected {
			entries = max(entries, r.entries)
		}
	}
	return entries
}

// logLoss records that a stream ended. It logs the end of one that had received a frame, and the first of several attempts
// without a frame.
func (f *Follower) logLoss(address string, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.replicas[address]
	if r == nil {
		return
	}
	line := f.settings.Log.WithError(err).WithField("replica", address)
	switch {
	case r.connected:
		line.Warn("stream to replica lost")
	case !r.isFailing:
		r.isFailing = true
		line.Warn("no stream to replica")
	}
	r.connected = false
}

// IsConnected reports whether the follower has an open stream to a replica.
func (f *Follower) IsConnected() bool { return f.ConnectedReplicas() > 0 }

// ConnectedReplicas returns the number of replicas to which the follower has an open stream.
func (f *Follower) ConnectedReplicas() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, r := range f.replicas {
		if r.connected {
			count++
		}
	}
	return count
}
