package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavahitch.example/guavahitch/outcome"
)

// answer.go holds one answer between the engine that writes it and the entry that fetches it by offset.

const (
	// MaxUnreadBytes is how many bytes an engine may be ahead of the entry.
	MaxUnreadBytes = 256 << 10
	// MaxWholeAnswerBytes is the largest answer that is kept whole, in bytes.
	MaxWholeAnswerBytes = 4 << 20
	// MaxPieceBytes is the most data in one piece, in bytes.
	MaxPieceBytes = 64 << 10
)

type (
	// Header is one HTTP header field.
	Header struct{ Name, Value string }

	// Head is the status and headers of an answer.
	Head struct {
		Status  int
		Headers []Header
	}

	// Piece is a part of an answer at an offset.
	Piece struct {
		Head   Head
		Offset int64
		Data   []byte
		// End is true on the piece that completes the answer; Length and Checksum are then set.
		End      bool
		Length   int64
		Checksum uint64
		Failure  *outcome.Error
	}

	// Answer keeps the part of an answer that is not acknowledged, or the whole of it.
	Answer struct {
		mutex   sync.Mutex
		changed chan struct{}
		whole   bool
		head    Head
		base    int64
		data    []byte
		acked   int64
		digest  *xxhash.Digest
		ended   bool
		fetched bool
		failure *outcome.Error
	}
)

// NewAnswer returns an empty answer. A whole one keeps all its bytes until it is dropped, so that an entry
// other than the one that started the call can fetch it from the start.
func NewAnswer(whole bool) *Answer {
	return &Answer{whole: whole, changed: make(chan struct{}), digest: xxhash.New()}
}

func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetHead sets status and headers.
func (a *Answer) SetHead(head Head) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.head = head
	a.wake()
}

// Append adds data, waiting while the reader is too far behind. It fails when the context ends or a whole
// answer grows past WholeLimit.
func (a *Answer) Append(ctx context.Context, data []byte) error {
	for {
		a.mutex.Lock()
		if a.hasRoom() {
			break
		}
		changed := a.changed
		a.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer a.mutex.Unlock()
	if a.whole && len(a.data)+len(data) > MaxWholeAnswerBytes {
		return &outcome.Error{Step: "answer", Outcome: outcome.Ran, Reason: "answer-too-large"}
	}
	a.data = append(a.data, data...)
	_, _ = a.digest.Write(data)
	a.wake()
	return nil
}

func (a *Answer) hasRoom() bool {
	return a.whole || a.base+int64(len(a.data))-a.acked < MaxUnreadBytes
}

// Finish marks the end of the answer; with a failure the answer is not whole.
func (a *Answer) Finish(failure *outcome.Error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.failure = failure
	a.wake()
}

// Read waits until there is something at the offset, the answer has ended or the wait is over, and returns
// the piece there.
func (a *Answer) Read(ctx context.Context, offset int64, wait time.Duration) (Piece, *outcome.Error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a.mutex.Lock()
		piece, ready, err := a.pieceAt(offset)
		changed := a.changed
		a.mutex.Unlock()
		if ready || err != nil {
			return piece, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return piece, nil
		case <-ctx.Done():
			return piece, nil
		}
	}
}

func (a *Answer) pieceAt(offset int64) (piece Piece, ready bool, err *outcome.Error) {
	end := a.base + int64(len(a.data))
	if offset < a.base || offset > end {
		return piece, false, &outcome.Error{
			Step: "fetch", Outcome: outcome.Unknown, Reason: "offset", Detail: "the bytes at this offset are not held",
		}
	}
	piece = Piece{Head: a.head, Offset: offset}
	rest := a.data[offset-a.base:]
	if len(rest) > MaxPieceBytes {
		rest = rest[:MaxPieceBytes]
	}
	piece.Data = append([]byte(nil), rest...)
	if a.ended && offset+int64(len(rest)) == end {
		a.fetched = true
		piece.End = a.failure == nil
		piece.Failure = a.failure
		piece.Length = end
		piece.Checksum = a.digest.Sum64()
	}
	ready = len(piece.Data) > 0 || piece.End || piece.Failure != nil
	return piece, ready, nil
}

// Acknowledge tells that the reader holds all bytes before the offset.
func (a *Answer) Acknowledge(offset int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if offset <= a.acked || offset > a.base+int64(len(a.data)) {
		return
	}
	a.acked = offset
	if !a.whole {
		a.data = a.data[offset-a.base:]
		a.base = offset
	}
	a.wake()
}

// IsFetched reports whether the answer has ended and an entry was handed its end.
func (a *Answer) IsFetched() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ended && a.fetched
}

// Abandon notes that no entry will fetch the end of the answer.
func (a *Answer) Abandon() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.fetched = true
}

// Whole returns a kept answer as one piece, or the failure that ended it.
func (a *Answer) Whole() (Piece, *outcome.Error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.failure != nil {
		return Piece{}, a.failure
	}
	if !a.ended || !a.whole {
		return Piece{}, &outcome.Error{Step: "answer", Outcome: outcome.Unknown, Reason: "not-whole"}
	}
	return Piece{Head: a.head, Data: append([]byte(nil), a.data...), End: true, Length: int64(len(a.data))}, nil
}
