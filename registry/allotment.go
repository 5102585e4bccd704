package registry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"guavahitch.example/guavahitch/item"
	"guavahitch.example/guavahitch/quota"
	"guavahitch.example/guavahitch/wire"
)

// This file divides the rate limits of upstreams among the entries. Each entry reports to the leader what it has heard and
// how many requests it has, and is granted some; the leader passes the limits on to all entries.

const (
	// allotInterval is the time between two requests of an entry for quota while upstreams name limits. urgentInterval is
	// the time if its callers lack quota.
	allotInterval  = 200 * time.Millisecond
	urgentInterval = 60 * time.Millisecond
	// allotSpacing is added to both for each entry, which bounds the requests that the leader gets.
	allotSpacing = 3 * time.Millisecond
	// allotTimeout bounds one request for quota.
	allotTimeout = 400 * time.Millisecond
)

// QuotaClient is the part of an entry that sends requests to upstreams with rate limits. Its functions are called from
// several goroutines.
type QuotaClient struct {
	// Next returns the limits to report and the requests to ask for. All limits are reported to a new leader. If both are
	// empty, the leader is not called.
	Next func(now time.Time, isNewLeader bool) ([]quota.Limit, []quota.Demand)
	// OnGrants receives what the leader grants.
	OnGrants func(now time.Time, grants []quota.Grant)
	// OnLimits receives limits that other entries have heard.
	OnLimits func(now time.Time, limits []quota.Limit)
	// Lacking returns a channel that is closed when a caller next lacks quota.
	Lacking func() <-chan struct{}
	// OnCount receives the number of entries that a replica tells, Peak returns the largest that the entry knows. Both may be
	// nil.
	OnCount func(now time.Time, count quota.Count)
	Peak    func() quota.Peak
}

// Allot grants an entry requests. A replica that does not lead returns ErrNoQuorum.
func (i replicaService) Allot(_ context.Context, request *wire.AllotRequest) (*wire.AllotReply, error) {
	term, leads := i.replica.Leading()
	if !leads {
		return nil, ErrNoQuorum
	}
	now := time.Now()
	allocator := i.replica.allocator
	allocator.Lead(now, term)
	items := i.replica.items
	allocator.Hear(now, decodeLimits(items, request.Entry, request.Limits, now))
	var grants []*wire.QuotaGrant
	for _, d := range item.DecodeAll[wire.QuotaDemand](items, kindDemand, request.Entry, request.Demands) {
		if d.Requests > 0 || d.Cold <= 0 {
			// A demand under a cold bound alone must not replace that under a rate limit.
			for _, g := range allocator.Grant(now, request.Entry, d.Service, int(max(d.Requests, 0))) {
				grants = append(grants, encodeGrant(g))
			}
		}
		for _, g := range i.replica.grantCold(now, request.Entry, d) {
			grants = append(grants, encodeGrant(g))
		}
	}
	return &wire.AllotReply{Grants: item.EncodeAll(items, kindGrant, (*wire.QuotaGrant).GetId, grants)}, nil
}

// addLimits adds the rate limits that have changed to a frame if the replica leads, and returns a channel that is closed at the
// next change.
func (w *watchStream) addLimits(frame *wire.WatchFrame, now time.Time) (changed <-chan struct{}) {
	allocator := w.replica.allocator
	term, leads := w.replica.Leading()
	if !leads {
		return nil
	}
	allocator.Lead(now, term)
	var limits []quota.Limit
	limits, w.limitsRevision, changed = allocator.Limits(w.limitsRevision)
	frame.LeadingTerm, frame.Limits = term, encodeLimits(w.replica.items, limits, now)
	return changed
}

// askForQuota asks the leader for quota until the context ends.
func (f *Follower) askForQuota(ctx context.Context) {
	asker := &quotaAsker{follower: f, entry: strconv.FormatUint(rand.Uint64(), 36)}
	for ctx.Err() == nil {
		lacking := f.settings.Quota.Lacking()
		asker.ask(ctx)
		spacing := allotSpacing * time.Duration(f.entryCount())
		timer := time.NewTimer(allotInterval + spacing)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-lacking:
			timer.Reset(urgentInterval + spacing)
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
		}
		timer.Stop()
	}
}

// quotaAsker asks the leader for the quota of one entry.
type quotaAsker struct {
	follower *Follower
	// entry identifies the process among the entries.
	entry string
	// term is that of the leader that has answered last, 0 if it did not answer the last request.
	term uint64
}

// ask asks the leader once, if there is one and something to ask.
func (a *quotaAsker) ask(ctx context.Context) {
	f := a.follower
	address, term := f.leader()
	if term == 0 {
		a.term = 0
		return
	}
	asked := time.Now()
	limits, demands := f.settings.Quota.Next(asked, term != a.term)
	if len(limits) == 0 && len(demands) == 0 {
		return
	}
	reply, err := f.allot(ctx, address, a.newRequest(limits, demands))
	if err != nil {
		f.settings.Log.WithError(err).WithField("replica", address).Warn("no quota from the leader")
		a.term = 0
		return
	}
	if term != a.term {
		f.settings.Log.WithField("replica", address).WithField("term", term).WithField("limits", len(limits)).
			Info("quota comes from the leader")
	}
	a.term = term
	f.settings.Quota.OnGrants(time.Now(), decodeGrants(f.items, address, reply.Grants, asked))
}

func (a *quotaAsker) newRequest(limits []quota.Limit, demands []quota.Demand) *wire.AllotRequest {
	items, messages := a.follower.items, make([]*wire.QuotaDemand, 0, len(demands))
	for _, d := range demands {
		messages = append(messages, &wire.QuotaDemand{Service: d.Service, Requests: int32(d.Requests), Cold: int32(d.Cold)})
	}
	return &wire.AllotRequest{
		Entry: a.entry, Limits: encodeLimits(items, limits, time.Now()),
		Demands: item.EncodeAll(items, kindDemand, (*wire.QuotaDemand).GetService, messages),
	}
}

func (f *Follower) allot(ctx context.Context, address string, request *wire.AllotRequest) (*wire.AllotReply, error) {
	ctx, cancel := context.WithTimeout(ctx, allotTimeout)
	defer cancel()
	return wire.NewRegistryProtobufClient("http://"+address, f.quotaClient).Allot(ctx, request)
}

// leader returns the connected replica that leads the highest term, and the term, 0 if none leads.
func (f *Follower) leader() (address string, term uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for name, r := range f.replicas {
		if r.connected && r.leadingTerm > term {
			address, term = name, r.leadingTerm
		}
	}
	return address, term
}

// entryCount returns the largest number of entries that a connected replica counts.
func (f *Follower) entryCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.countEntries()
}
