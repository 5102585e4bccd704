package sidecar

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

// attempt.go is one attempt as the entry sees it: it starts the attempt, fetches its answer piece by piece
// over as many connections as it takes, checks that every piece belongs to it, and settles what is known
// of the run when it has to give up.

const (
	// askAgainFor is how long an attempt asks after its request over new connections before it gives up.
	askAgainFor = 3 * time.Second
	// askAgainPause is the pause between two tries.
	askAgainPause = 50 * time.Millisecond
	// acknowledgeEvery is the distance between two acknowledgements, in bytes.
	acknowledgeEvery = admission.MaxUnreadBytes / 4
	// settleFor is how long an attempt that gives up asks the sidecar whether it ran.
	settleFor = 2 * time.Second
)

// Attempt is one attempt at one sidecar. It is used by one goroutine.
type Attempt struct {
	link    *Link
	request *wire.StartRequest
	peer    string
	offset  int64
	digest  *xxhash.Digest
	// acknowledged is the offset up to which the sidecar was told that the entry holds the answer.
	acknowledged int64
	stream       *streamReader
	generation   *generation
	// sends counts the copies of the start that may have reached the sidecar.
	sends   int
	started bool
	// OnLoad takes the load that comes with each piece.
	OnLoad func(*wire.Load)
}

// NewAttempt returns an attempt that has not been sent. The request's sequence number is set here.
func NewAttempt(link *Link, peer string, request *wire.StartRequest) *Attempt {
	request.Id.Sequence = link.NextSequence()
	return &Attempt{link: link, request: request, peer: peer, digest: xxhash.New()}
}

// ID returns the name of the attempt.
func (a *Attempt) ID() *wire.AttemptID { return a.request.Id }

// Next returns the next piece with data, head or end. After an error the attempt is over, and the error
// tells what is known of the run.
func (a *Attempt) Next(ctx context.Context) (*wire.Piece, *outcome.Error) {
	var silentSince time.Time
	for {
		piece, err := a.exchange(ctx)
		if err == nil {
			silentSince = time.Time{}
			if failure := a.check(piece); failure != nil {
				return nil, failure
			}
			if len(piece.Data) > 0 || piece.End || piece.Status != 0 && a.offset == 0 {
				return piece, nil
			}
			continue
		}
		if ctx.Err() != nil {
			return nil, a.settle(ctx, ctx.Err(), "cancelled")
		}
		if silentSince.IsZero() {
			silentSince = time.Now()
		}
		if a.isHopeless(err) || time.Since(silentSince) > askAgainFor {
			return nil, a.settle(ctx, err, "unreachable")
		}
		pause(ctx)
	}
}

// isHopeless reports whether nothing has been sent and the sidecar refuses connections.
func (a *Attempt) isHopeless(err error) bool {
	return a.sends == 0 && isDialError(err)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// exchange returns the next piece, opening a stream where none is open.
func (a *Attempt) exchange(ctx context.Context) (*wire.Piece, error) {
	if a.stream == nil {
		if err := a.open(ctx); err != nil {
			return nil, err
		}
	}
	piece, err := a.stream.next()
	if err != nil {
		a.drop(ctx)
		return nil, err
	}
	if piece.End || piece.Failure != nil {
		a.stream.detach()
		go a.stream.finish()
		a.stream = nil
		return piece, nil
	}
	a.acknowledge(ctx)
	return piece, nil
}

func (a *Attempt) open(ctx context.Context) (err error) {
	request := &wire.StreamRequest{Start: a.request, Released: a.link.takeReleased()}
	if a.started {
		request = &wire.StreamRequest{Resume: &wire.FetchRequest{Id: a.request.Id, Epoch: a.request.Epoch, Offset: a.offset}}
	}
	a.generation = a.link.generation()
	a.stream, err = openStream(ctx, a.generation, request)
	if !a.started && (err == nil || !isDialError(err)) {
		a.sends++
	}
	if err != nil && ctx.Err() == nil {
		a.link.replace(a.generation)
	}
	return err
}

// drop gives up a stream that broke or went silent, and the connections of its generation with it.
func (a *Attempt) drop(ctx context.Context) {
	a.stream.close()
	a.stream = nil
	if ctx.Err() == nil {
		a.link.replace(a.generation)
	}
}

// Close ends the attempt's stream.
func (a *Attempt) Close() {
	if a.stream != nil {
		a.stream.close()
		a.stream = nil
	}
}

// acknowledge tells the sidecar now and then what it need not keep, without waiting for it.
func (a *Attempt) acknowledge(ctx context.Context) {
	if a.offset-a.acknowledged < acknowledgeEvery {
		return
	}
	a.acknowledged = a.offset
	request := &wire.FetchRequest{Id: a.request.Id, Epoch: a.request.Epoch, Offset: a.offset}
	go func() {
		_ = a.link.call(ctx, 0, func(ctx context.Context, g *generation) error {
			_, err := g.client.Fetch(ctx, request)
			return err
		})
	}()
}

// check verifies that a piece belongs to this attempt and continues it, and returns the failure that the
// piece carries.
func (a *Attempt) check(piece *wire.Piece) *outcome.Error {
	if piece.Load != nil && a.OnLoad != nil {
		a.OnLoad(piece.Load)
	}
	if !isSameAttempt(piece.Id, a.request.Id) {
		return a.broken("crossed", "the piece belongs to another attempt")
	}
	if piece.Failure != nil && !a.started {
		return a.refused(piece.Failure)
	}
	a.started = true
	if piece.Offset != a.offset {
		return a.broken("offset", "the piece does not continue the answer")
	}
	_, _ = a.digest.Write(piece.Data)
	a.offset += int64(len(piece.Data))
	if piece.Failure != nil {
		return outcome.FromWire(piece.Failure)
	}
	if piece.End && (piece.Length != a.offset || piece.Checksum != a.digest.Sum64()) {
		return a.broken("checksum", "the answer does not match its length or checksum")
	}
	return nil
}

func (a *Attempt) broken(reason, detail string) *outcome.Error {
	return &outcome.Error{Step: "fetch", Peer: a.peer, Outcome: outcome.Unknown, Reason: reason, Detail: detail}
}

// refused returns the sidecar's refusal. A refusal because of the epoch or a forgotten sequence number
// proves that this copy did not run; when it was the only copy, nothing ran.
func (a *Attempt) refused(failure *wire.Failure) *outcome.Error {
	refusal := outcome.FromWire(failure)
	isDoubt := refusal.Reason == admission.ReasonEpoch || refusal.Reason == admission.ReasonStale
	if isDoubt && a.sends == 1 {
		return refusal.WithOutcome(outcome.NotRun)
	}
	return refusal
}

// settle asks the sidecar whether the attempt ran, and bars it there when it has not started.
func (a *Attempt) settle(ctx context.Context, cause error, reason string) *outcome.Error {
	failure := outcome.Error{Step: "dispatch", Peer: a.peer, Outcome: outcome.Unknown, Reason: reason}
	if a.sends == 0 && isDialError(cause) {
		failure.Outcome = outcome.NotRun
		return failure.WithCause(cause)
	}
	failure.Outcome = a.Cancel(ctx)
	return failure.WithCause(cause)
}

// Cancel bars the attempt for good when it has not started, stops it when it may be stopped, and returns
// what is known of its run.
func (a *Attempt) Cancel(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleFor)
	defer cancel()
	return a.link.Cancel(ctx, &wire.CancelRequest{Id: a.request.Id, Epoch: a.request.Epoch})
}

// Release tells the sidecar, with the next message to it, that the whole answer is held and may be dropped.
func (a *Attempt) Release() { a.link.release(a.request.Id) }
