package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavahitch.example/guavahitch/outcome"
)

// This file buffers an answer between the engine that writes it and the entry that fetches it by offset.

const (
	// MaxUnreadBytes is how far an engine may write ahead of the acknowledged offset before it has to wait.
	MaxUnreadBytes = 256 << 10
	// MaxWholeAnswerBytes is the maximum size of an answer that is kept whole.
	MaxWholeAnswerBytes = 4 << 20
	// MaxPieceBytes is the maximum size of the data in one piece.
	MaxPieceBytes = 64 << 10
)

type (
	// Header is one HTTP header field.
	Header struct{ Name, Value string }

	// Head is the HTTP status and headers of an answer.
	Head struct {
		Status  int
		Headers []Header
	}

	// Piece is the part of an answer that starts at an offset.
	Piece struct {
		Head   Head
		Offset int64
		Data   []byte
		// End is true on the piece that completes the answer. Length and Checksum (xxhash64) then cover the whole
		// answer.
		End      bool
		Length   int64
		Checksum uint64
		Failure  *outcome.Error
	}

	// Answer buffers the unacknowledged part of an answer, or all of it if it is kept whole. It is safe for concurrent
	// use.
	Answer struct {
		mutex      sync.Mutex
		changed    chan struct{}
		whole      bool
		head       Head
		dataOffset int64
		data       []byte
		acked      int64
		digest     *xxhash.Digest
		ended      bool
		fetched    bool
		abandoned  bool
		failure    *outcome.Error
	}
)

// NewAnswer returns an empty answer. If whole, it keeps its bytes even after they are acknowledged, so that an entry
// other than the one that started the attempt can fetch the answer from the start.
func NewAnswer(whole bool) *Answer {
	return &Answer{whole: whole, changed: make(chan struct{}), digest: xxhash.New()}
}

func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetHead sets the status and headers.
func (a *Answer) SetHead(head Head) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.head = head
	a.notify()
}

// Append adds data. It blocks while MaxUnreadBytes or more are unacknowledged, except for a whole answer. It fails if
// the context ends or a whole answer would exceed MaxWholeAnswerBytes.
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
	a.notify()
	return nil
}

func (a *Answer) hasRoom() bool {
	return a.whole || a.dataOffset+int64(len(a.data))-a.acked < MaxUnreadBytes
}

// Finish marks the end of the answer. A failure means that the answer is incomplete. Only the first call counts.
func (a *Answer) Finish(failure *outcome.Error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.failure = failure
	a.notify()
}

// Read returns the piece at the offset. It waits until data is available there or the answer has ended. When the wait
// or the context ends first, it returns an empty piece. An offset whose bytes are not buffered is refused.
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
	end := a.dataOffset + int64(len(a.data))
	if offset < a.dataOffset || offset > end {
		return piece, false, &outcome.Error{
			Step: "fetch", Outcome: outcome.Unknown, Reason: "offset", Detail: "the bytes at this offset are not held",
		}
	}
	piece = Piece{Head: a.head, Offset: offset}
	rest := a.data[offset-a.dataOffset:]
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

// Acknowledge records that the reader has received all bytes before the offset. They are freed unless the answer is
// kept whole.
func (a *Answer) Acknowledge(offset int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if offset <= a.acked || offset > a.dataOffset+int64(len(a.data)) {
		return
	}
	a.acked = offset
	if !a.whole {
		a.data = a.data[offset-a.dataOffset:]
		a.dataOffset = offset
	}
	a.notify()
}

// IsFetched reports whether the answer has ended and its end has been returned to an entry or abandoned.
func (a *Answer) IsFetched() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ended && a.fetched
}

// Abandon records that no entry will fetch the end of the answer.
func (a *Answer) Abandon() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.fetched, a.abandoned = true, true
}

// IsAbandoned reports whether Abandon was called.
func (a *Answer) IsAbandoned() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.abandoned
}

// Whole returns a complete answer that was kept whole as one piece without a checksum, or the failure that ended it.
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
