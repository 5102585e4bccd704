package control_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/wire"
)

func ExampleServer() {
	server := control.NewLocalServer("control-1", nil)
	ctx := context.Background()
	claim := &wire.ClaimRequest{Organisation: "tuulai", Key: "order-17", Id: &wire.AttemptID{Request: "a", Attempt: 1}}
	first, _ := server.Claim(ctx, claim)
	resend := &wire.ClaimRequest{Organisation: "tuulai", Key: "order-17", Id: &wire.AttemptID{Request: "b", Attempt: 1}}
	second, _ := server.Claim(ctx, resend)
	server.Settle(ctx, &wire.SettleRequest{
		Organisation: "tuulai", Key: "order-17", Id: claim.Id, Outcome: wire.Outcome_OUTCOME_RAN,
		Answer: &wire.Answer{Status: 201, Body: []byte("braid reserved")},
	})
	third, _ := server.Claim(ctx, resend)
	fmt.Println(first.State, second.State, third.State, string(third.Answer.Body))
	// Output: granted running settled braid reserved
}

// start runs a server with one replica until the test ends.
func start(t *testing.T) *control.Server {
	server := control.NewLocalServer("control-1", nil)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go server.Run(ctx)
	return server
}

func announce(t *testing.T, server *control.Server, name string) {
	reply, err := server.Announce(t.Context(), &wire.AnnounceRequest{Member: &wire.Member{Name: name, Role: "entry"}})
	require.NoError(t, err)
	require.Nil(t, reply.Failure)
}

func submit(t *testing.T, server *control.Server, id string, expected uint64, text string) *wire.ChangeStatus {
	status, err := server.Submit(t.Context(), &wire.SubmitRequest{
		ChangeId: id, ExpectedRevision: expected, Inventory: []byte(text),
	})
	require.NoError(t, err)
	return status
}

func TestConcurrentSubmissionsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := start(t)
		require.Equal(t, control.StateAccepted, submit(t, server, "a", 0, "{}").State)
		lost := submit(t, server, "b", 0, "{ }")
		require.Equal(t, control.StateRefused, lost.State)
		require.Equal(t, control.ReasonLost, lost.Reason)
		require.Equal(t, "a", lost.Winner)
		require.EqualValues(t, 1, submit(t, server, "a", 0, "{}").Revision)
		require.Equal(t, lost.Winner, submit(t, server, "b", 0, "{ }").Winner)
		require.Equal(t, control.ReasonReused, submit(t, server, "a", 0, "{  }").Failure.Reason)
		require.Equal(t, control.ReasonFuture, submit(t, server, "c", 7, "{}").Reason)
		oversized := submit(t, server, "d", 1, string(make([]byte, control.MaxInventoryBytes+1)))
		require.Equal(t, control.ReasonOversized, oversized.Reason)
	})
}

// process is a client that holds a lease from the server.
type process struct {
	name   string
	holder lease.Holder
}

func (p *process) watch(t *testing.T, server *control.Server, wait time.Duration) {
	sent := time.Now()
	reply, err := server.Watch(t.Context(), p.holder.Request(p.name, wait))
	require.NoError(t, err)
	p.holder = p.holder.WithReply(reply, sent)
}

func TestRevisionIsInForceWhenEveryLeaseholderHasItOrItsLeaseRanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := start(t)
		submit(t, server, "a", 0, "{}")
		connected, cutOff := &process{name: "entry-1"}, &process{name: "entry-2"}
		for _, p := range []*process{connected, cutOff} {
			announce(t, server, p.name)
			p.watch(t, server, 0)
			p.watch(t, server, 0)
		}
		submit(t, server, "b", 1, "{ }")
		accepted := time.Now()
		status := &wire.ChangeStatus{}
		for status.State != control.StateInForce {
			connected.watch(t, server, 100*time.Millisecond)
			announce(t, server, connected.name)
			require.False(t, connected.holder.RefusesWork(time.Now()))
			status, _ = server.Change(t.Context(), &wire.ChangeRequest{ChangeId: "b"})
			if status.State != control.StateInForce {
				require.Contains(t, status.Waiting, "entry-2")
			}
		}
		require.True(t, cutOff.holder.RefusesWork(time.Now()))
		require.Less(t, time.Since(accepted), 4*time.Second)
	})
}
