package control_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/control"
	_ "guavahitch.example/guavahitch/proptest"
	"guavahitch.example/guavahitch/wire"
)

var errUnavailable = errors.New("control is unavailable")

// pair is two replicas of which one leads. The other may be cut off from the quorum and still act as the
// leader.
type pair struct {
	mutex  sync.Mutex
	leader int
	term   uint64
	index  uint64
	// noBarrier lets a replica answer reads without proof that it leads.
	noBarrier bool
	states    [2]*control.State
	servers   [2]*control.Server
}

func newPair(t *testing.T) *pair {
	p := &pair{term: 1}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for n := range p.states {
		p.states[n] = control.NewState()
		name := fmt.Sprint("control-", n)
		p.servers[n] = control.NewServer(control.Settings{
			Name: name, State: p.states[n],
			Propose:     func(_ context.Context, command []byte) ([]byte, error) { return p.propose(n, command) },
			ReadBarrier: func(context.Context) error { return p.barrier(n) },
			Leader:      func() (string, string) { return name, "" },
		})
		if n == 0 {
			go p.servers[n].Run(ctx)
		}
	}
	return p
}

// changeLeader makes the second replica the leader and cuts the first one off.
func (p *pair) changeLeader(t *testing.T) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.leader, p.term = 1, p.term+1
	go p.servers[1].Run(t.Context())
}

func (p *pair) propose(replica int, command []byte) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if replica != p.leader {
		return nil, errUnavailable
	}
	p.index++
	entry := control.Entry{Index: p.index, Term: p.term, TimeMs: time.Now().UnixMilli(), Command: command}
	if p.leader == 0 {
		p.states[1].Apply(entry)
	}
	return p.states[p.leader].Apply(entry), nil
}

func (p *pair) barrier(replica int) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if replica != p.leader && !p.noBarrier {
		return errUnavailable
	}
	return nil
}

// runDeposed lets a process follow a leader that does not know that it was deposed. It returns whether the
// process still acts on the old revision when the new leader declares the next one in force.
func runDeposed(t *testing.T, noBarrier bool) bool {
	p := newPair(t)
	p.noBarrier = noBarrier
	old := p.servers[0]
	submit(t, old, "a", 0, "{}")
	follower := &process{name: "entry-1"}
	announce(t, old, follower.name)
	follower.watch(t, old, 0)
	require.False(t, follower.holder.RefusesWork(time.Now()))
	p.changeLeader(t)
	require.Equal(t, control.StateAccepted, submit(t, p.servers[1], "b", 1, "{ }").State)
	for p.states[1].InForce() < 2 {
		follower.watch(t, old, 100*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
	}
	require.EqualValues(t, 1, follower.holder.Revision())
	return !follower.holder.RefusesWork(time.Now())
}

// TestDeposedLeaderExtendsNoLeaseOnAnOldRevision guards against a deposed leader that keeps renewing leases
// while the new leader, which does not know of them, declares a newer revision in force. The read barrier
// prevents it; without the barrier the check must detect the fault.
func TestDeposedLeaderExtendsNoLeaseOnAnOldRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { require.False(t, runDeposed(t, false)) })
	synctest.Test(t, func(t *testing.T) {
		require.True(t, runDeposed(t, true), "the check must detect a missing barrier")
	})
}

// TestInForceFromAnotherTermIsRefused guards against an in-force declaration that is committed after a change
// of leader: the new leader may have granted leases since.
func TestInForceFromAnotherTermIsRefused(t *testing.T) {
	for _, skipTermCheck := range []bool{false, true} {
		s := control.NewState()
		s.TestOverrides.SkipTermCheck = skipTermCheck
		apply(s, &wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{
			ChangeId: "a", Inventory: []byte("{}"),
		}}})
		late, err := proto.Marshal(&wire.Command{Body: &wire.Command_InForce{InForce: &wire.InForce{Revision: 1, Term: 1}}})
		require.NoError(t, err)
		s.Apply(control.Entry{Index: 2, Term: 3, Command: late})
		require.Equal(t, skipTermCheck, s.InForce() == 1)
	}
}

func TestRestoredReplicaReportsEachOf500Changes(t *testing.T) {
	s, err := control.OpenState(control.StateSettings{Directory: t.TempDir(), SealKeys: 64})
	require.NoError(t, err)
	for n := range uint64(500) {
		apply(s, &wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{
			ChangeId: fmt.Sprint("c", n), ExpectedRevision: n - n%7/6, Inventory: fmt.Append(nil, n),
		}}})
		apply(s, &wire.Command{Body: &wire.Command_InForce{InForce: &wire.InForce{Revision: n / 2, Term: 1}}})
	}
	fresh, err := control.OpenState(control.StateSettings{Directory: t.TempDir(), SealKeys: 64, Fetch: s.Part})
	require.NoError(t, err)
	require.NoError(t, fresh.Restore(s.Snapshot()))
	for n := range 501 {
		id := fmt.Sprint("c", n)
		require.True(t, proto.Equal(s.Change(id), fresh.Change(id)), id)
	}
	require.Equal(t, len(allRecords(s)), len(allRecords(fresh)))
	revision, text := s.Revision()
	found, foundText := fresh.Revision()
	require.Equal(t, revision, found)
	require.Equal(t, text, foundText)
}

func allRecords(s *control.State) []*wire.Record {
	var all []*wire.Record
	request := &wire.RecordsRequest{Limit: 100}
	for {
		page := s.Records(request)
		all = append(all, page.Records...)
		if !page.More {
			return all
		}
		request.After = page.After
	}
}

// TestIncrementalViewsEqualFullViews adds, restarts and removes members at random. Followers with views of any
// age catch up by differences, also from a restored replica, and must hold the same members as a full view.
func TestIncrementalViewsEqualFullViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := control.NewState()
		epochs := make(map[string]uint64)
		held := make([]map[string]uint64, 3)
		views := make([]uint64, 3)
		tokens := make(map[string]uint64)
		name := func() string { return fmt.Sprint("ub-a-", rapid.IntRange(0, 4).Draw(t, "name")) }
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				m := &wire.Member{Name: name(), Epoch: rapid.Uint64Range(1, 6).Draw(t, "epoch")}
				result := apply(s, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{Member: m}}})
				require.Equal(t, m.Epoch < epochs[m.Name], result.Failure != nil && m.Epoch < epochs[m.Name])
				if result.Failure == nil {
					epochs[m.Name] = m.Epoch
				}
			},
			"leave": func(*rapid.T) {
				m := &wire.Member{Name: name()}
				m.Epoch = epochs[m.Name]
				apply(s, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{Member: m, Leaving: true}}})
				again := apply(s, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{Member: m}}})
				require.Equal(t, m.Epoch > 0, again.Failure != nil, "an epoch that left may not join again")
			},
			"depart": func(t *rapid.T) {
				departing := name()
				_, incarnation := s.Member(departing)
				incarnation -= min(incarnation, rapid.Uint64Range(0, 1).Draw(t, "stale"))
				apply(s, &wire.Command{Body: &wire.Command_Departure{Departure: &wire.Departure{
					Name: departing, Incarnation: incarnation,
				}}})
			},
			"order": func(t *rapid.T) {
				upstream := name()
				command := &wire.OrderCommand{
					Upstream: upstream, Order: &wire.OrderRequest{Kind: "load"},
					OrderId: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")),
				}
				first := apply(s, &wire.Command{Body: &wire.Command_Order{Order: command}})
				second := apply(s, &wire.Command{Body: &wire.Command_Order{Order: command}})
				require.True(t, proto.Equal(first.Order, second.Order))
				tokens[upstream] = max(tokens[upstream], first.Order.GetFencingToken())
				settled := &wire.OrderSettled{Upstream: upstream, FencingToken: first.Order.GetFencingToken(), Accepted: true}
				apply(s, &wire.Command{Body: &wire.Command_OrderSettled{OrderSettled: settled}})
				command.OrderId = fmt.Sprint("next-", tokens[upstream])
				next := apply(s, &wire.Command{Body: &wire.Command_Order{Order: command}})
				require.Greater(t, next.Order.FencingToken, tokens[upstream])
				tokens[upstream] = next.Order.FencingToken
				settled = &wire.OrderSettled{Upstream: upstream, FencingToken: next.Order.FencingToken}
				apply(s, &wire.Command{Body: &wire.Command_OrderSettled{OrderSettled: settled}})
			},
			"restore": func(t *rapid.T) {
				fresh := control.NewState()
				require.NoError(t, fresh.Restore(s.Snapshot()))
				s = fresh
			},
			"follow": func(t *rapid.T) {
				n := rapid.IntRange(0, 2).Draw(t, "follower")
				reply := &wire.WatchReply{}
				s.Fill(reply, &wire.WatchRequest{View: views[n]})
				if reply.Snapshot || held[n] == nil {
					held[n] = make(map[string]uint64)
				}
				for _, left := range reply.Left {
					delete(held[n], left)
				}
				for _, m := range reply.Members {
					held[n][m.Name] = m.Epoch
				}
				views[n] = reply.View
				whole := &wire.WatchReply{}
				s.Fill(whole, &wire.WatchRequest{})
				require.Len(t, held[n], len(whole.Members))
				for _, m := range whole.Members {
					require.Equal(t, m.Epoch, held[n][m.Name])
				}
			},
		})
	})
}
