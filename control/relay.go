// A relay watches control as a single process and serves Watch to many processes, so that the load on the
// leader does not grow with their number.
//
// Leases that a relay grants end with its own lease. A relay acknowledges a revision only after every process
// under it has acknowledged that revision or lost its lease. A relay that has just started does not know the
// leases that it granted before its start, so it acknowledges nothing until those leases must have expired.

package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/wire"
)

// ReasonCutOff means that the relay's own lease has expired. The caller must ask another relay or control.
const ReasonCutOff = "cut-off"

// relayRetryDelay is the delay of a relay's next request after a failed one.
const relayRetryDelay = 100 * time.Millisecond

// Relay serves wire.Control. It answers Watch itself and forwards every other call to its parent.
type Relay struct {
	wire.Control
	// EarlyAcknowledge acknowledges the revision that the relay itself holds, without regard to the processes
	// under it. Tests set it.
	EarlyAcknowledge bool

	name    string
	started time.Time

	mutex         sync.Mutex
	holder        lease.Holder
	view          *View
	configuration configuration
	table         *lease.Table
	changed       chan struct{}
	// sentRevision is the revision that the request in progress acknowledges. interrupt cancels that request.
	sentRevision uint64
	interrupt    context.CancelFunc
	// reportedProcesses holds the processes that the parent knows to be under this relay.
	reportedProcesses []string
}

// NewRelay returns a relay that follows the given parent. Run must be called.
func NewRelay(name string, parent wire.Control) *Relay {
	return &Relay{
		Control: parent, name: name, started: time.Now(), view: NewView(), table: lease.NewTable(),
		changed: make(chan struct{}), interrupt: func() {},
	}
}

// Run polls the parent until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.pollParent(ctx) {
			select {
			case <-ctx.Done():
			case <-time.After(relayRetryDelay):
			}
		}
	}
	return nil
}

// pollParent sends one Watch request to the parent. It reports whether the request succeeded, or was
// interrupted because a newer revision can be acknowledged.
func (r *Relay) pollParent(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := time.Now()
	request := r.request(sent, cancel)
	reply, err := r.Control.Watch(ctx, request)
	if err != nil {
		return ctx.Err() != nil
	}
	r.applyReply(request, reply, sent)
	return reply.Failure == nil
}

// request returns the next Watch request to the parent and removes expired leases.
func (r *Relay) request(now time.Time, interrupt context.CancelFunc) *wire.WatchRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	request := r.holder.Request(r.name, lease.RenewInterval)
	request.Relays = true
	request.Acknowledged = r.acknowledgedRevision(now)
	r.sentRevision, r.interrupt = request.Acknowledged, interrupt
	for _, expired := range r.table.Expired(now) {
		r.table.Forget(expired)
	}
	// The relay's own name keeps the list from being empty. An empty list means that nothing changed.
	present := append(r.table.Holders(now), r.name)
	if !slices.Equal(present, r.reportedProcesses) {
		request.Present = present
	}
	return request
}

// acknowledgedRevision returns the oldest revision on which this relay or a process under it may act, or 0
// while leases from before the relay's start may exist. The caller holds the mutex.
func (r *Relay) acknowledgedRevision(now time.Time) uint64 {
	if r.EarlyAcknowledge {
		return r.holder.Revision()
	}
	if now.Before(lease.GranterExpiry(r.started, lease.Duration)) {
		return 0
	}
	return r.table.LowestRevision(r.holder.Revision(), now)
}

// applyReply updates the relay's view, inventory and lease from a reply, and wakes waiting processes if
// something changed.
func (r *Relay) applyReply(request *wire.WatchRequest, reply *wire.WatchReply, sent time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if reply.Failure != nil {
		return
	}
	if len(request.Present) > 0 {
		r.reportedProcesses = request.Present
	}
	if reply.NeedsPresent {
		r.reportedProcesses = nil
	}
	before := r.holder
	r.holder = r.holder.WithReply(reply, sent)
	r.view.Apply(reply)
	if r.holder.Revision() != before.Revision() {
		r.configuration.revision, r.configuration.inventory = r.holder.Revision(), r.holder.Inventory()
		r.configuration.appendRecent()
	}
	isChanged := r.holder.Revision() != before.Revision() || r.holder.View() != before.View() ||
		r.holder.Quarantine() != before.Quarantine()
	if isChanged {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// Watch waits a bounded time for a change and grants a lease that ends no later than the relay's own. Its replies
// do not name the revision in force: InForce is always 0.
func (r *Relay) Watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchReply, error) {
	arrived := time.Now()
	if !r.renew(request, arrived) {
		return &wire.WatchReply{Failure: refusal("watch", ReasonCutOff, "the relay's own lease has run out")}, nil
	}
	r.awaitChange(ctx, request)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reply := &wire.WatchReply{}
	r.configuration.fill(reply, request.Revision)
	if !request.InventoryOnly {
		r.view.Fill(reply, request.View)
		reply.Quarantine = r.holder.Quarantine()
		if request.Quarantine != reply.Quarantine {
			reply.Quarantined = r.holder.Quarantined()
		}
	}
	reply.LeaseMs = min(lease.Duration, r.holder.Expires().Sub(arrived)).Milliseconds()
	return reply, nil
}

// renew stores the lease and the acknowledged revision of a process under the relay. It interrupts the pending
// request to the parent if a newer revision can be acknowledged. It returns false if the relay's own lease has
// expired.
func (r *Relay) renew(request *wire.WatchRequest, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.holder.RefusesWork(now) {
		return false
	}
	r.table.Renew(request.Process, request.Revision, now)
	if r.acknowledgedRevision(now) > r.sentRevision {
		r.interrupt()
	}
	return true
}

// awaitChange returns when the versions that the request names are out of date, or at the end of the wait.
func (r *Relay) awaitChange(ctx context.Context, request *wire.WatchRequest) {
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, lease.RenewInterval)
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		changed, behind := r.isBehind(request)
		if behind {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) isBehind(request *wire.WatchRequest) (<-chan struct{}, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	behind := request.Revision < r.holder.Revision()
	if !request.InventoryOnly {
		behind = behind || request.View < r.view.Number() || request.Quarantine < r.holder.Quarantine()
	}
	return r.changed, behind
}
