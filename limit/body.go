package limit

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// reading is a body whose next bytes are being read.
	reading bodyState = iota
	// waiting is one that lacks memory.
	waiting
	// aborted is one that has to give way to others.
	aborted
	// complete is one that was read whole.
	complete
)

const (
	// firstPieceBytes is the size of the first piece of a body without a length, pieceBytes that of the largest one.
	firstPieceBytes = 4 << 10
	pieceBytes      = 32 << 10
)

var (
	// ErrTooLarge is the error of a body that is longer than allowed.
	ErrTooLarge = eris.New("body is too large")
	// ErrStalled is the error of a body that made no progress or did not arrive by its deadline.
	ErrStalled = eris.New("body did not arrive in time")
	// ErrIncomplete is the error of a body whose connection ended or which is malformed.
	ErrIncomplete = eris.New("body ended early")
)

type (
	bodyState int

	// BodyLimits bounds the reading of one body.
	BodyLimits struct {
		// Bytes is the largest body. Account.LargestBody bounds it further.
		Bytes int64
		// Deadline is when the body must have arrived, zero for none.
		Deadline time.Time
		// Pause is the longest time without a byte, 0 for no limit.
		Pause time.Duration
	}

	// Body is the body of a request, in pieces. The owner of a Body calls Release once it no longer holds the pieces. The zero
	// value is an empty body.
	Body struct {
		account *Account
		pieces  [][]byte
		size    int64
		// setDeadline sets the deadline of reads from the client.
		setDeadline func(time.Time) error
		limits      BodyLimits
		largest     int64

		// The mutex of the Account guards the fields below.

		state bodyState
		held  int64
		// progress is when the last piece became full or, if that is later, when memory was found for the next one.
		progress time.Time
		// turn is the place in the order in which bodies became large, 0 for a small one.
		turn uint64
	}
)

// ReadBody reads the body of a request into memory. It waits while there is no memory, until the deadline. A Body that is
// returned with an error is empty. After an error, the response closes the connection.
func (a *Account) ReadBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &Body{}, nil
	}
	b, err := a.Read(r.Context(), r.Body, r.ContentLength, http.NewResponseController(w).SetReadDeadline, limits)
	if err == nil {
		return b, nil
	}
	w.Header().Set("Connection", "close")
	if c := connOf(r); c != nil {
		c.refuse()
	}
	return b, err
}

// Read reads a body of the given length, negative if it is not known, from a source whose reads end at the time that setDeadline
// sets. It waits as ReadBody does.
func (a *Account) Read(
	ctx context.Context, source io.Reader, length int64, setDeadline func(time.Time) error, limits BodyLimits,
) (*Body, error) {
	b := &Body{account: a, limits: limits, largest: a.LargestBody(limits.Bytes), setDeadline: setDeadline}
	if length > b.largest {
		return b, ErrTooLarge
	}
	b.open()
	if err := b.read(ctx, source, length); err != nil {
		b.Release()
		return b, err
	}
	b.finish()
	return b, nil
}

// StatusOf returns the status of the response to a request whose body was not read because of the error. With each of them, the
// request was not run and will not be.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrStalled):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrNoMemory):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// Size returns the number of bytes.
func (b *Body) Size() int { return int(b.size) }

// Pieces returns the bytes, which must not be changed, in pieces.
func (b *Body) Pieces() [][]byte { return b.pieces }

// Bytes returns the bytes, which must not be changed, in one piece.
func (b *Body) Bytes() []byte {
	if len(b.pieces) == 0 {
		return nil
	}
	if len(b.pieces) > 1 {
		joined := make([]byte, 0, b.size)
		for i, piece := range b.pieces {
			joined = append(joined, piece...)
			b.pieces[i] = nil
		}
		b.pieces = [][]byte{joined}
	}
	return b.pieces[0]
}

// Release gives back the memory of the body. It may be called more than once.
func (b *Body) Release() {
	b.pieces, b.size = nil, 0
	a := b.account
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if _, isHeld := a.bodies[b]; !isHeld {
		return
	}
	delete(a.bodies, b)
	a.give(b.held)
	b.held = 0
}

// open counts the body.
func (b *Body) open() {
	a := b.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.largest = max(a.largest, b.largest)
	b.progress = time.Now()
	a.bodies[b] = struct{}{}
}

// finish records that the body was read whole, and ends the deadline of reads.
func (b *Body) finish() {
	b.account.mutex.Lock()
	defer b.account.mutex.Unlock()
	b.state = complete
	_ = b.setDeadline(time.Time{})
}

// read reads the body to its end. The length is negative if it is not known.
func (b *Body) read(ctx context.Context, source io.Reader, length int64) error {
	next := int64(firstPieceBytes)
	if length > 0 {
		next = pieceBytes
	}
	for length < 0 || b.size < length {
		size := min(next, b.largest-b.size)
		if length > 0 {
			size = min(size, length-b.size)
		}
		if size == 0 {
			return b.expectEnd(source)
		}
		if err := b.grow(ctx, size); err != nil {
			return err
		}
		isLast, err := b.readPiece(source, size)
		switch {
		case err != nil:
			return err
		case isLast && b.size < length:
			return ErrIncomplete
		case isLast:
			return nil
		}
		next = min(2*next, pieceBytes)
	}
	return nil
}

// readPiece reads a piece of the given size, or less at the end of the body.
func (b *Body) readPiece(source io.Reader, size int64) (isLast bool, err error) {
	piece := make([]byte, 0, size)
	for len(piece) < cap(piece) {
		if err := b.allowRead(); err != nil {
			return false, err
		}
		n, err := source.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		b.size += int64(n)
		if errors.Is(err, io.EOF) {
			b.pieces = append(b.pieces, piece)
			return true, nil
		}
		if err != nil {
			return false, b.failure(err)
		}
	}
	b.pieces = append(b.pieces, piece)
	return false, nil
}

// expectEnd returns ErrTooLarge unless the body ends here.
func (b *Body) expectEnd(source io.Reader) error {
	if err := b.allowRead(); err != nil {
		return err
	}
	var next [1]byte
	n, err := io.ReadFull(source, next[:])
	switch {
	case n > 0:
		return ErrTooLarge
	case errors.Is(err, io.EOF):
		return nil
	default:
		return b.failure(err)
	}
}

// allowRead sets the deadline of the next read, unless the body was aborted.
func (b *Body) allowRead() error {
	until := b.limits.Deadline
	if b.limits.Pause > 0 {
		if paused := time.Now().Add(b.limits.Pause); until.IsZero() || paused.Before(until) {
			until = paused
		}
	}
	b.account.mutex.Lock()
	defer b.account.mutex.Unlock()
	if b.state == aborted {
		return ErrNoMemory
	}
	// Under the mutex, so that the past deadline that abort sets is not replaced.
	_ = b.setDeadline(until)
	return nil
}

// failure returns the error for a read that failed.
func (b *Body) failure(err error) error {
	b.account.mutex.Lock()
	defer b.account.mutex.Unlock()
	switch {
	case b.state == aborted:
		return ErrNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrStalled
	default:
		return ErrIncomplete
	}
}

// abort makes the read under way fail. The mutex of the Account must be held.
func (b *Body) abort() {
	b.state = aborted
	_ = b.setDeadline(time.Unix(1, 0))
}

// grow takes memory for a further piece, and waits for it if needed.
func (b *Body) grow(ctx context.Context, size int64) error {
	for {
		released, err := b.tryGrow(size, time.Now())
		if released == nil {
			return err
		}
		if err := b.await(ctx, released); err != nil {
			return err
		}
	}
}

// tryGrow takes memory for a further piece. If there is none, it makes room and returns a channel that is closed when memory
// was given back.
func (b *Body) tryGrow(size int64, now time.Time) (released <-chan struct{}, err error) {
	a := b.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if b.state == aborted {
		return nil, ErrNoMemory
	}
	b.state = reading
	if a.used+size <= b.memoryLimit(size) {
		a.used += size
		b.held += size
		b.progress = now
		return nil, nil
	}
	b.state = waiting
	a.makeRoomForBody(now)
	return a.awaitRelease(), nil
}

// memoryLimit returns the memory that may be used after the body has grown. Large bodies leave a part to small ones. All leave
// what the first large body still needs, so that bodies never wait for each other in a circle. The mutex of the Account must be
// held.
func (b *Body) memoryLimit(size int64) int64 {
	a := b.account
	isLarge := b.held+size > smallBodyBytes
	if isLarge && b.turn == 0 {
		a.turns++
		b.turn = a.turns
	}
	first := a.firstLarge()
	if first == b {
		return a.settings.Memory
	}
	limit := a.settings.Memory - a.reserved(first)
	if isLarge {
		limit -= a.settings.Memory / smallBodyShare
	}
	return limit
}

// firstLarge returns the body that became large first of those that are not complete, or nil. The mutex must be held.
func (a *Account) firstLarge() *Body {
	var first *Body
	for b := range a.bodies {
		if b.turn != 0 && b.state != complete && (first == nil || b.turn < first.turn) {
			first = b
		}
	}
	return first
}

// reserved returns the memory that is kept for the first large body, or for one to come. The mutex must be held.
func (a *Account) reserved(first *Body) int64 {
	if first == nil {
		return a.largest
	}
	return max(first.largest-first.held, 0)
}

// await waits until memory was given back, others may have made no progress for long enough, or the body's time is over.
func (b *Body) await(ctx context.Context, released <-chan struct{}) error {
	wait := retryInterval
	if !b.limits.Deadline.IsZero() {
		wait = min(wait, time.Until(b.limits.Deadline))
	}
	if wait <= 0 {
		return ErrNoMemory
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	case <-ctx.Done():
		return cmp.Or(ctx.Err(), ErrIncomplete)
	}
	return nil
}
