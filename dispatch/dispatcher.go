package dispatch

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/event"
	"guavahitch.example/guavahitch/fairness"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/leader"
	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/retry"
	"guavahitch.example/guavahitch/routing"
	"guavahitch.example/guavahitch/sidecar"
	"guavahitch.example/guavahitch/wire"
)

const (
	// retryRatio, retryFloor and retryBurst configure the retry budget of each service: retries per first attempt,
	// retries per second, and the maximum that is saved.
	retryRatio = 0.1
	retryFloor = 5
	retryBurst = 100
	// queueLimit is the maximum number of requests of one service that wait at an entry.
	queueLimit = 4096
)

type (
	// Settings configures a Dispatcher.
	Settings struct {
		// Entry is the name of the entry. Incarnation distinguishes this process from earlier ones of the entry.
		Entry         string
		Incarnation   string
		FailureDomain string
		// Subset is the number of upstreams of one service that the entry uses; 0 stands for routing.DefaultSubset.
		Subset    int
		Leader    *leader.Client
		Transport sidecar.Transport
		Events    *event.Ring
		Scope     tally.Scope
	}

	// Dispatcher runs the requests of one entry. Traffic goroutines call Do; one control goroutine runs WatchControl
	// or calls Use.
	Dispatcher struct {
		settings  Settings
		picker    *routing.Picker
		traffic   *Traffic
		verdicts  quarantine.View
		inventory atomic.Pointer[inventory.Inventory]
		holder    atomic.Pointer[lease.Holder]
		mutex     sync.Mutex
		links     map[string]*sidecar.Link
		gates     map[string]*fairness.Gate
		budgets   map[string]*retry.Budget
		hedges    map[string]*retry.Hedge
		inFlight  sync.WaitGroup
		draining  atomic.Bool
		rates     rateLimits
		// entries is the number of entries that share the limits.
		entries atomic.Int64
	}

	// queuedRequest is a request in the fair queue, with the result of the picker when it is admitted.
	queuedRequest struct {
		request routing.Request
		choice  routing.Choice
		refusal *outcome.Error
	}
)

// NewDispatcher returns a dispatcher without upstreams. It refuses all work until the first Use.
func NewDispatcher(settings Settings) *Dispatcher {
	d := &Dispatcher{
		settings: settings, links: map[string]*sidecar.Link{}, gates: map[string]*fairness.Gate{},
		budgets: map[string]*retry.Budget{}, hedges: map[string]*retry.Hedge{},
		traffic: NewTraffic(settings.Incarnation),
	}
	d.picker = routing.NewPicker(routing.Settings{
		Entry: settings.Entry, FailureDomain: settings.FailureDomain, Subset: settings.Subset, OnCapacityFreed: d.wakeGates,
	})
	d.inventory.Store(&inventory.Inventory{})
	d.holder.Store(&lease.Holder{})
	return d
}

// Inventory returns the inventory that this entry currently applies.
func (d *Dispatcher) Inventory() *inventory.Inventory { return d.inventory.Load() }

// Holder returns the entry's copy of control's state.
func (d *Dispatcher) Holder() lease.Holder { return *d.holder.Load() }

// Picker returns the picker, which takes load reports.
func (d *Dispatcher) Picker() *routing.Picker { return d.picker }

// Traffic returns the counts of request outcomes.
func (d *Dispatcher) Traffic() *Traffic { return d.traffic }

// Do runs the request and writes its answer to the sink. It returns nil after the whole answer, or an error whose
// Outcome tells whether the request ran.
func (d *Dispatcher) Do(ctx context.Context, request *Request, sink Sink) (failure *outcome.Error) {
	defer func() { d.traffic.Add(request.Organisation, request.Service, failure) }()
	if d.draining.Load() {
		return &outcome.Error{
			Step: "admit", Peer: d.settings.Entry, Outcome: outcome.NotRun, Reason: "draining", RetryAfter: time.Second,
			Status: http.StatusServiceUnavailable,
		}
	}
	d.inFlight.Add(1)
	defer d.inFlight.Done()
	now := time.Now()
	fingerprint := request.fingerprint()
	treatment, refusal := d.verdicts.Check(now, request.Organisation, fingerprint, request.Repeatable)
	if refusal == nil {
		refusal = d.verdicts.CheckParts(now, request.Parts)
	}
	if refusal != nil {
		d.recordEvent("refused", request, "", refusal)
		return refusal
	}
	if refusal := d.checkRate(now, request); refusal != nil {
		d.recordEvent("refused", request, "", refusal)
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	job := &job{d: d, request: request, sink: sink, fingerprint: fingerprint, alone: treatment == quarantine.Alone}
	if request.Key != "" && !request.Repeatable {
		return job.runClaimed(ctx)
	}
	return job.run(ctx)
}

func (d *Dispatcher) checkRate(now time.Time, request *Request) *outcome.Error {
	known, ok := d.inventory.Load().Organisation(request.Organisation)
	if !ok {
		return nil
	}
	return d.rates.check(now, request, known.Limits, int(d.entries.Load()))
}

// Drain refuses new requests and waits until all requests in flight have ended or the context ends.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.draining.Store(true)
	done := make(chan struct{})
	go func() {
		d.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return outcome.Error{Step: "drain", Peer: d.settings.Entry, Outcome: outcome.Unknown, Reason: "timeout"}.WithCause(ctx.Err())
	}
}

// IsDraining reports whether Drain was called.
func (d *Dispatcher) IsDraining() bool { return d.draining.Load() }

// recordEvent adds an event for the request and, for a failure, increments the counter of that kind.
func (d *Dispatcher) recordEvent(kind string, request *Request, peer string, failure *outcome.Error) {
	e := &wire.Event{Kind: kind, Request: request.ID, Peer: peer}
	if failure != nil {
		e.Outcome, e.Detail = failure.Outcome.String(), failure.Error()
		d.settings.Scope.Tagged(map[string]string{"reason": failure.Reason}).Counter(strings.ReplaceAll(kind, "-", "_")).Inc(1)
	}
	d.settings.Events.Add(e)
}

// link returns the connections to the sidecar at an address and creates them on first use.
func (d *Dispatcher) link(address string) *sidecar.Link {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.links[address] == nil {
		d.links[address] = sidecar.NewLink(address, d.settings.Transport)
	}
	return d.links[address]
}

func (d *Dispatcher) budget(service string) *retry.Budget {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.budgets[service] == nil {
		d.budgets[service] = retry.NewBudget(retryRatio, retryFloor, retryBurst)
	}
	return d.budgets[service]
}

// hedge returns the estimator of the time to first data for one kind of request.
func (d *Dispatcher) hedge(kind string) *retry.Hedge {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.hedges[kind] == nil {
		d.hedges[kind] = &retry.Hedge{}
	}
	return d.hedges[kind]
}

// gate returns the gate of a service, which holds its fair queue.
func (d *Dispatcher) gate(service string) *fairness.Gate {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.gates[service] == nil {
		d.gates[service] = fairness.NewGate(fairness.Settings{LimitsOf: d.limitsOf, Limit: queueLimit}, d.takeSlot)
	}
	return d.gates[service]
}

func (d *Dispatcher) limitsOf(organisation string) fairness.Limits {
	known, ok := d.inventory.Load().Organisation(organisation)
	if !ok {
		return fairness.Limits{Weight: 1}
	}
	return fairness.Limits{Weight: known.Weight, Running: known.Limits.Concurrent}
}

// takeSlot picks an upstream for the next request in the queue and reports whether the request leaves the queue: with
// a slot, or with a refusal other than "no-room", which waiting would not resolve.
func (d *Dispatcher) takeSlot(now time.Time, t *fairness.Ticket) bool {
	w := t.Value.(*queuedRequest)
	w.choice, w.refusal = d.picker.Pick(now, w.request)
	return w.refusal == nil || w.refusal.Reason != "no-room"
}

// wakeGates wakes the gates that have waiting requests after a slot at an upstream may have been freed.
func (d *Dispatcher) wakeGates() {
	d.mutex.Lock()
	gates := make([]*fairness.Gate, 0, len(d.gates))
	for _, g := range d.gates {
		gates = append(gates, g)
	}
	d.mutex.Unlock()
	for _, g := range gates {
		if g.Len() > 0 {
			go g.Wake()
		}
	}
}
