// A relay stands between control and many processes: it follows control as one process and serves Watch to
// those under it, so that the leader's share does not grow with their number.
//
// Its leases end with its own. It acknowledges a revision only when every process under it has done so or
// has lost its lease. A relay that has just started knows nothing of the leases that it granted before, so
// it acknowledges nothing until they must have run out.

package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/wire"
)

// ReasonCutOff means that a relay's own lease has run out; another relay or control must be asked.
const ReasonCutOff = "cut-off"

// relayRetry is the time between two requests of a relay after a failure.
const relayRetry = 100 * time.Millisecond

// Relay serves wire.Control: Watch itself, every other call by the process above it.
type Relay struct {
	wire.Control
	// EarlyAcknowledge acknowledges what the relay itself holds. Tests set it.
	EarlyAcknowledge bool

	name    string
	started time.Time

	mutex         sync.Mutex
	holder        lease.Holder
	view          *View
	configuration configuration
	table         *lease.Table
	changed       chan struct{}
	// sent is the revision acknowledged by the request under way, interrupt ends that request.
	sent      uint64
	interrupt context.CancelFunc
	// reported holds the processes that the one above knows to be under this relay.
	reported []string
}

// NewRelay returns a relay under the process that above reaches. Run must be called.
func NewRelay(name string, above wire.Control) *Relay {
	return &Relay{
		Control: above, name: name, started: time.Now(), view: NewView(), table: lease.NewTable(),
		changed: make(chan struct{}), interrupt: func() {},
	}
}

// Run follows the process above until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.follow(ctx) {
			select {
			case <-ctx.Done():
			case <-time.After(relayRetry):
			}
		}
	}
	return nil
}

// follow makes one request to the process above and reports whether it was answered, or given up because
// there is more to acknowledge.
func (r *Relay) follow(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := time.Now()
	request := r.request(sent, cancel)
	reply, err := r.Control.Watch(ctx, request)
	if err != nil {
		return ctx.Err() != nil
	}
	r.take(request, reply, sent)
	return reply.Failure == nil
}

func (r *Relay) request(now time.Time, interrupt context.CancelFunc) *wire.WatchRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	request := r.holder.Request(r.name, lease.RenewInterval)
	request.Relays = true
	request.Acknowledged = r.acknowledged(now)
	r.sent, r.interrupt = request.Acknowledged, interrupt
	for _, gone := range r.table.Expired(now) {
		r.table.Forget(gone)
	}
	// The relay's own name keeps the list from being empty, which would stand for no change.
	present := append(r.table.Holders(now), r.name)
	if !slices.Equal(present, r.reported) {
		request.Present = present
	}
	return request
}

// acknowledged returns the oldest revision that this relay or a process under it may act on. The caller
// holds the mutex.
func (r *Relay) acknowledged(now time.Time) uint64 {
	if r.EarlyAcknowledge {
		return r.holder.Revision()
	}
	if now.Before(lease.GranterExpiry(r.started, lease.Duration)) {
		return 0
	}
	return r.table.Lowest(r.holder.Revision(), now)
}

func (r *Relay) take(request *wire.WatchRequest, reply *wire.WatchReply, sent time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if reply.Failure != nil {
		return
	}
	if len(request.Present) > 0 {
		r.reported = request.Present
	}
	if reply.NeedsPresent {
		r.reported = nil
	}
	before := r.holder
	r.holder = r.holder.WithReply(reply, sent)
	r.view.Follow(reply)
	if r.holder.Revision() != before.Revision() {
		r.configuration.revision, r.configuration.inventory = r.holder.Revision(), r.holder.Inventory()
		r.configuration.keepRecent()
	}
	isNews := r.holder.Revision() != before.Revision() || r.holder.View() != before.View() ||
		r.holder.Quarantine() != before.Quarantine()
	if isNews {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// Watch waits a bounded time for news and grants a lease that ends with the relay's own.
func (r *Relay) Watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchReply, error) {
	arrived := time.Now()
	if !r.renew(request, arrived) {
		return &wire.WatchReply{Failure: refusal("watch", ReasonCutOff, "the relay's own lease has run out")}, nil
	}
	r.await(ctx, request)
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

// renew notes the lease and acknowledgement of a process under the relay, and asks the one above at once
// when there is more to acknowledge.
func (r *Relay) renew(request *wire.WatchRequest, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.holder.RefusesWork(now) {
		return false
	}
	r.table.Renew(request.Process, request.Revision, now)
	if r.acknowledged(now) > r.sent {
		r.interrupt()
	}
	return true
}

func (r *Relay) await(ctx context.Context, request *wire.WatchRequest) {
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
