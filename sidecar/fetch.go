package sidecar

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/wire"
)

// FetchWhole returns the whole answer of an attempt, which may be another process's. It returns nil when the sidecar
// does not hold the whole answer, when the answer exceeds admission.MaxWholeAnswerBytes, or when the context ends. It
// checks that every piece belongs to the attempt and continues the answer, and retries failed fetches.
func FetchWhole(ctx context.Context, fetch func(context.Context, *wire.FetchRequest) (*wire.Piece, error), id *wire.AttemptID, epoch uint64) *wire.Answer {
	answer := &wire.Answer{}
	for ctx.Err() == nil && len(answer.Body) <= admission.MaxWholeAnswerBytes {
		offset := int64(len(answer.Body))
		piece, err := fetch(ctx, &wire.FetchRequest{Id: id, Epoch: epoch, Offset: offset, WaitMs: MaxPieceInterval.Milliseconds()})
		if err != nil {
			pause(ctx)
			continue
		}
		if piece.Failure != nil || piece.Offset != offset || !isSameAttempt(piece.Id, id) {
			return nil
		}
		if piece.Status != 0 {
			answer.Status, answer.Headers = piece.Status, piece.Headers
		}
		answer.Body = append(answer.Body, piece.Data...)
		if !piece.End {
			continue
		}
		if piece.Length != int64(len(answer.Body)) || piece.Checksum != xxhash.Sum64(answer.Body) {
			return nil
		}
		return answer
	}
	return nil
}

func isSameAttempt(a, b *wire.AttemptID) bool {
	return a.GetRequest() == b.GetRequest() && a.GetAttempt() == b.GetAttempt()
}
