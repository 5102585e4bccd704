package control_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/wire"
)

// startReconciler runs a reconciler whose queries return the given findings in turn, and the last one from then
// on. It returns the number of queries.
func startReconciler(t *testing.T, server *control.Server, findings ...claim.Finding) *atomic.Int64 {
	asked := &atomic.Int64{}
	ask := func(context.Context, *wire.Member, *wire.StoredClaim) claim.Finding {
		return findings[min(int(asked.Add(1)), len(findings))-1]
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go control.NewReconciler(server, ask).Run(ctx)
	return asked
}

func claimKey(t *testing.T, server *control.Server, request string) *wire.ClaimReply {
	reply, err := server.Claim(t.Context(), &wire.ClaimRequest{
		Organisation: "tuulai", Key: "order-1", Id: &wire.AttemptID{Request: request, Attempt: 1},
		Upstream: "ub-b-1", Epoch: 1, Entry: "entry-1",
	})
	require.NoError(t, err)
	return reply
}

// TestClaimOfADeadEntryIsFreedOnceItsAttemptIsBarred guards against a key that stays claimed for ever because
// its entry died before dispatch.
func TestClaimOfADeadEntryIsFreedOnceItsAttemptIsBarred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := start(t)
		unreachable := claim.Finding{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
		asked := startReconciler(t, server, unreachable, unreachable,
			claim.Finding{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Epoch: 1})
		announce(t, server, "entry-1")
		require.Equal(t, claim.StateGranted, claimKey(t, server, "first").State)
		time.Sleep(3 * time.Second)
		require.Zero(t, asked.Load(), "the call of a live entry must not be queried yet")
		require.Equal(t, claim.StateRunning, claimKey(t, server, "second").State)
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 3, asked.Load())
		require.Equal(t, claim.StateRefused, claimKey(t, server, "first").State, "the barred attempt may not claim again")
		require.Equal(t, claim.StateGranted, claimKey(t, server, "second").State)
	})
}

// TestAnswerOfADeadEntrysCallIsKept guards against the loss of an answer whose entry died before it settled the
// claim.
func TestAnswerOfADeadEntrysCallIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := start(t)
		answer := &wire.Answer{Status: 201, Body: []byte("reserved")}
		startReconciler(t, server, claim.Finding{Outcome: wire.Outcome_OUTCOME_RAN, Answer: answer, Epoch: 1})
		claimKey(t, server, "first")
		time.Sleep(2 * time.Second)
		reply := claimKey(t, server, "second")
		require.Equal(t, claim.StateSettled, reply.State)
		require.Equal(t, "reserved", string(reply.Answer.Body))
	})
}

// TestCallOfARestartedSidecarStaysUnknownAndIsNeverGranted guards against a second run of a call whose sidecar
// restarted and no longer knows the attempt.
func TestCallOfARestartedSidecarStaysUnknownAndIsNeverGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := start(t)
		asked := startReconciler(t, server, claim.Finding{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Epoch: 2})
		claimKey(t, server, "first")
		time.Sleep(time.Hour)
		require.Equal(t, claim.StateUnknown, claimKey(t, server, "second").State)
		require.Less(t, asked.Load(), int64(80))
	})
}

func TestClaimWaitsForTheRunningCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := start(t)
		claimKey(t, server, "first")
		go func() {
			time.Sleep(time.Second)
			server.Settle(t.Context(), &wire.SettleRequest{
				Organisation: "tuulai", Key: "order-1", Id: &wire.AttemptID{Request: "first", Attempt: 1},
				Outcome: wire.Outcome_OUTCOME_RAN, Answer: &wire.Answer{Status: 200},
			})
		}()
		began := time.Now()
		reply, err := server.Claim(t.Context(), &wire.ClaimRequest{
			Organisation: "tuulai", Key: "order-1", Id: &wire.AttemptID{Request: "second", Attempt: 1}, WaitMs: 5000,
		})
		require.NoError(t, err)
		require.Equal(t, claim.StateSettled, reply.State)
		require.Equal(t, time.Second, time.Since(began))
		require.Zero(t, server.State().AwaitedKeys(), "no waiter may remain after its callers have left")
	})
}

func TestClaimGivesUpAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := start(t)
		claimKey(t, server, "first")
		began := time.Now()
		reply, err := server.Claim(t.Context(), &wire.ClaimRequest{
			Organisation: "tuulai", Key: "order-1", Id: &wire.AttemptID{Request: "second", Attempt: 1}, WaitMs: 300,
		})
		require.NoError(t, err)
		require.Equal(t, claim.StateRunning, reply.State)
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		require.Zero(t, server.State().AwaitedKeys())
	})
}
