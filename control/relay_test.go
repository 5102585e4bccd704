package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/wire"
)

// breakable is a connection to control that can be cut.
type breakable struct {
	wire.Control
	isCut atomic.Bool
}

func (b *breakable) Watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchReply, error) {
	if b.isCut.Load() {
		return nil, errUnavailable
	}
	reply, err := b.Control.Watch(ctx, request)
	if b.isCut.Load() {
		return nil, errUnavailable
	}
	return reply, err
}

// tree is a control server, a relay under it, and processes under the relay.
type tree struct {
	server           *control.Server
	uplink           *breakable
	relay            atomic.Pointer[control.Relay]
	stopRelay        context.CancelFunc
	links            []*breakable
	holders          []atomic.Pointer[lease.Holder]
	earlyAcknowledge bool
	group            sync.WaitGroup
}

func newTree(t *testing.T, earlyAcknowledge bool) *tree {
	tr := &tree{server: start(t), holders: make([]atomic.Pointer[lease.Holder], 4), earlyAcknowledge: earlyAcknowledge}
	submit(t, tr.server, "first", 0, "{}")
	announce(t, tr.server, "relay")
	tr.uplink = &breakable{Control: tr.server}
	t.Cleanup(tr.group.Wait)
	tr.restartRelay(t)
	for range tr.holders {
		tr.links = append(tr.links, &breakable{})
	}
	for n := range tr.holders {
		announce(t, tr.server, fmt.Sprint("entry-", n))
		tr.holders[n].Store(&lease.Holder{})
		tr.group.Go(func() { tr.runProcess(t.Context(), n) })
	}
	time.Sleep(5 * time.Second)
	return tr
}

func (tr *tree) restartRelay(t *testing.T) {
	if tr.stopRelay != nil {
		tr.stopRelay()
	}
	var ctx context.Context
	ctx, tr.stopRelay = context.WithCancel(t.Context())
	relay := control.NewRelay("relay", tr.uplink)
	relay.EarlyAcknowledge = tr.earlyAcknowledge
	tr.relay.Store(relay)
	tr.group.Go(func() { relay.Run(ctx) })
}

func (tr *tree) runProcess(ctx context.Context, n int) {
	for ctx.Err() == nil {
		holder := *tr.holders[n].Load()
		sent := time.Now()
		if !tr.links[n].isCut.Load() {
			reply, err := tr.relay.Load().Watch(ctx, holder.Request(fmt.Sprint("entry-", n), lease.RenewInterval))
			if err == nil && !tr.links[n].isCut.Load() {
				next := holder.WithReply(reply, sent)
				tr.holders[n].Store(&next)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runTree cuts and restores connections and restarts the relay at random while revisions are submitted. It
// returns how often a process acted on a revision older than the one in force.
func runTree(t *testing.T, seed uint64, earlyAcknowledge bool) int {
	tr := newTree(t, earlyAcknowledge)
	random := rand.New(rand.NewPCG(seed, 2))
	violations := 0
	for n := range 40 {
		switch random.IntN(5) {
		case 0:
			tr.links[random.IntN(len(tr.links))].isCut.Store(random.IntN(2) == 0)
		case 1:
			tr.uplink.isCut.Store(random.IntN(3) == 0)
		case 2:
			tr.restartRelay(t)
		default:
			revision, _ := tr.server.State().Revision()
			submit(t, tr.server, fmt.Sprint("c", n), revision, fmt.Sprint(n))
		}
		for range random.IntN(20) {
			time.Sleep(100 * time.Millisecond)
			inForce := tr.server.State().InForce()
			for h := range tr.holders {
				holder := tr.holders[h].Load()
				if !holder.RefusesWork(time.Now()) && holder.Revision() < inForce {
					violations++
				}
			}
		}
	}
	return violations
}

// TestProcessesUnderARelayNeverActOnAnOldRevision guards against a relay that acknowledges a revision before
// every process under it has acknowledged it or lost its lease.
func TestProcessesUnderARelayNeverActOnAnOldRevision(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) { require.Zero(t, runTree(t, seed, false), "seed %d", seed) })
	}
	violations := 0
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) { violations += runTree(t, seed, true) })
	}
	require.Positive(t, violations, "the check must detect a relay that acknowledges too early")
}

func TestChangeThroughARelayIsInForceWithin200Milliseconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTree(t, false)
		began := time.Now()
		submit(t, tr.server, "c", 1, "{ }")
		for tr.server.State().InForce() < 2 {
			time.Sleep(time.Millisecond)
		}
		require.Less(t, time.Since(began), 200*time.Millisecond)
	})
}
