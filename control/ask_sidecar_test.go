package control_test

import (
	"context"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/wire"
)

// fakeSidecar holds one answer and serves it in pieces of two bytes.
type fakeSidecar struct {
	wire.Sidecar
	outcome  wire.Outcome
	body     string
	checksum uint64
	down     bool
}

func (f *fakeSidecar) Cancel(context.Context, *wire.CancelRequest) (*wire.CancelReply, error) {
	if f.down {
		return nil, errUnavailable
	}
	return &wire.CancelReply{Outcome: f.outcome, Epoch: 4}, nil
}

func (f *fakeSidecar) Fetch(_ context.Context, request *wire.FetchRequest) (*wire.Piece, error) {
	end := min(int(request.Offset)+2, len(f.body))
	return &wire.Piece{
		Id: request.Id, Offset: request.Offset, Status: 201, Data: []byte(f.body[request.Offset:end]),
		End: end == len(f.body), Length: int64(len(f.body)), Checksum: f.checksum,
	}, nil
}

func TestSidecarIsAskedForTheOutcomeAndTheWholeAnswer(t *testing.T) {
	sidecar := &fakeSidecar{outcome: wire.Outcome_OUTCOME_RAN, body: "reserved", checksum: xxhash.Sum64String("reserved")}
	ask := control.AskSidecar(func(string) wire.Sidecar { return sidecar })
	member := &wire.Member{Name: "ub-b-1", Epoch: 4}
	stored := &wire.StoredClaim{Upstream: "ub-b-1", Epoch: 4, Id: &wire.AttemptID{Request: "r", Attempt: 1}}
	found := ask(t.Context(), member, stored)
	require.Equal(t, wire.Outcome_OUTCOME_RAN, found.Outcome)
	require.EqualValues(t, 201, found.Answer.Status)
	require.Equal(t, "reserved", string(found.Answer.Body))

	sidecar.checksum++
	require.Nil(t, ask(t.Context(), member, stored).Answer, "a damaged answer must be dropped")
	sidecar.outcome = wire.Outcome_OUTCOME_NOT_RUN
	require.Equal(t, wire.Outcome_OUTCOME_NOT_RUN, ask(t.Context(), member, stored).Outcome)
	sidecar.down = true
	require.Equal(t, wire.Outcome_OUTCOME_UNKNOWN, ask(t.Context(), member, stored).Outcome)
	require.Equal(t, wire.Outcome_OUTCOME_UNKNOWN, ask(t.Context(), nil, stored).Outcome)
	stored.Upstream = ""
	require.Equal(t, wire.Outcome_OUTCOME_NOT_RUN, ask(t.Context(), nil, stored).Outcome, "it was never sent")
}
