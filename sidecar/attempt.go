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

// attempt.go is the entry's side of one attempt. It sends the start, reads the answer piece by piece, resumes on a
// new connection when one breaks, and checks that every piece belongs to the attempt. When it gives up, it asks the
// sidecar whether the attempt ran.

const (
	// retryWindow is how long an attempt tries new connections after the first failure before it gives up.
	retryWindow = 3 * time.Second
	// retryPause is the pause before a retry.
	retryPause = 50 * time.Millisecond
	// acknowledgeBytes is the number of bytes received between two acknowledgements.
	acknowledgeBytes = admission.MaxUnreadBytes / 4
	// cancelTimeout bounds the cancellation of an attempt, which also asks the sidecar whether the attempt ran.
	cancelTimeout = 2 * time.Second
)

// Attempt is one attempt at one sidecar, as the entry sees it. It must be used by one goroutine only.
type Attempt struct {
	link    *Link
	request *wire.StartRequest
	peer    string
	offset  int64
	digest  *xxhash.Digest
	// acknowledged is the offset up to which the entry has acknowledged the answer to the sidecar.
	acknowledged int64
	stream       *streamReader
	generation   *generation
	// sends counts the copies of the start message that may have reached the sidecar.
	sends   int
	started bool
	// OnLoad is called with the load report of each piece that carries one; nil ignores the reports.
	OnLoad func(*wire.Load)
}

// NewAttempt returns an attempt that has not been sent, and sets the sequence number in the request.
func NewAttempt(link *Link, peer string, request *wire.StartRequest) *Attempt {
	request.Id.Sequence = link.NextSequence()
	return &Attempt{link: link, request: request, peer: peer, digest: xxhash.New()}
}

// ID returns the ID of the attempt.
func (a *Attempt) ID() *wire.AttemptID { return a.request.Id }

// Next returns the next piece that carries the head, data or the end of the answer. After an error the attempt is
// over, and the error's Outcome tells whether it ran.
func (a *Attempt) Next(ctx context.Context) (*wire.Piece, *outcome.Error) {
	var failingSince time.Time
	for {
		piece, err := a.exchange(ctx)
		if err == nil {
			failingSince = time.Time{}
			if failure := a.check(piece); failure != nil {
				return nil, failure
			}
			if len(piece.Data) > 0 || piece.End || piece.Status != 0 && a.offset == 0 {
				return piece, nil
			}
			continue
		}
		if ctx.Err() != nil {
			return nil, a.giveUp(ctx, ctx.Err(), "cancelled")
		}
		if failingSince.IsZero() {
			failingSince = time.Now()
		}
		if a.failedBeforeSend(err) || time.Since(failingSince) > retryWindow {
			return nil, a.giveUp(ctx, err, "unreachable")
		}
		pause(ctx)
	}
}

// failedBeforeSend reports whether nothing has been sent and the connection could not be opened.
func (a *Attempt) failedBeforeSend(err error) bool {
	return a.sends == 0 && isDialError(err)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// exchange returns the next piece and opens a stream first when none is open.
func (a *Attempt) exchange(ctx context.Context) (*wire.Piece, error) {
	if a.stream == nil {
		if err := a.open(ctx); err != nil {
			return nil, err
		}
	}
	piece, err := a.stream.next()
	if err != nil {
		a.dropStream(ctx)
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
	request := &wire.StreamRequest{Start: a.request, Released: a.link.takeReleases()}
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

// dropStream closes a stream that broke or timed out, and replaces the link's connections.
func (a *Attempt) dropStream(ctx context.Context) {
	a.stream.close()
	a.stream = nil
	if ctx.Err() == nil {
		a.link.replace(a.generation)
	}
}

// Close closes the attempt's stream. It does not cancel the attempt.
func (a *Attempt) Close() {
	if a.stream != nil {
		a.stream.close()
		a.stream = nil
	}
}

// acknowledge tells the sidecar, after every acknowledgeBytes, up to which offset it can drop the answer. It does not
// wait for the reply.
func (a *Attempt) acknowledge(ctx context.Context) {
	if a.offset-a.acknowledged < acknowledgeBytes {
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

// check verifies that a piece belongs to this attempt and continues its answer. It returns an error for an invalid
// piece and for a piece that carries a failure.
func (a *Attempt) check(piece *wire.Piece) *outcome.Error {
	if piece.Load != nil && a.OnLoad != nil {
		a.OnLoad(piece.Load)
	}
	if !isSameAttempt(piece.Id, a.request.Id) {
		return a.invalidPiece("crossed", "the piece belongs to another attempt")
	}
	if piece.Failure != nil && !a.started {
		return a.refusalOf(piece.Failure)
	}
	a.started = true
	if piece.Offset != a.offset {
		return a.invalidPiece("offset", "the piece does not continue the answer")
	}
	_, _ = a.digest.Write(piece.Data)
	a.offset += int64(len(piece.Data))
	if piece.Failure != nil {
		return outcome.FromWire(piece.Failure)
	}
	if piece.End && (piece.Length != a.offset || piece.Checksum != a.digest.Sum64()) {
		return a.invalidPiece("checksum", "the answer does not match its length or checksum")
	}
	return nil
}

func (a *Attempt) invalidPiece(reason, detail string) *outcome.Error {
	return &outcome.Error{Step: "fetch", Peer: a.peer, Outcome: outcome.Unknown, Reason: reason, Detail: detail}
}

// refusalOf returns the sidecar's refusal of the start. A refusal because of the epoch or a stale sequence number
// proves only that this copy of the start did not run. When it is the only copy sent, the attempt did not run.
func (a *Attempt) refusalOf(failure *wire.Failure) *outcome.Error {
	refusal := outcome.FromWire(failure)
	coversOneCopy := refusal.Reason == admission.ReasonEpoch || refusal.Reason == admission.ReasonStale
	if coversOneCopy && a.sends == 1 {
		return refusal.WithOutcome(outcome.NotRun)
	}
	return refusal
}

// giveUp cancels the attempt at the sidecar and returns the error with what is known of its run.
func (a *Attempt) giveUp(ctx context.Context, cause error, reason string) *outcome.Error {
	failure := outcome.Error{Step: "dispatch", Peer: a.peer, Outcome: outcome.Unknown, Reason: reason}
	if a.sends == 0 && isDialError(cause) {
		failure.Outcome = outcome.NotRun
		return failure.WithCause(cause)
	}
	failure.Outcome = a.Cancel(ctx)
	return failure.WithCause(cause)
}

// Cancel bars the attempt so that it never starts, or stops it when it is running and repeatable. It returns what is
// known of its run: NotRun, Ran, or Unknown, which is also returned when the sidecar does not answer in cancelTimeout.
func (a *Attempt) Cancel(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	return a.link.Cancel(ctx, &wire.CancelRequest{Id: a.request.Id, Epoch: a.request.Epoch})
}

// Release tells the sidecar that the entry holds the whole answer, so that the sidecar can drop it. The message goes
// out with the link's next stream, or on its own after a short delay.
func (a *Attempt) Release() { a.link.release(a.request.Id) }
