package limit

import (
	"io"
	"net/http"
	"time"
)

const (
	// messageTimeout bounds the reading of a message, messagePause the time without a byte of it.
	messageTimeout = 30 * time.Second
	messagePause   = 5 * time.Second
)

// pieceReader reads a Body and drops each piece that was read.
type pieceReader struct{ body *Body }

// Read implements io.Reader.
func (r *pieceReader) Read(data []byte) (int, error) {
	for len(r.body.pieces) > 0 {
		n := copy(data, r.body.pieces[0])
		r.body.pieces[0] = r.body.pieces[0][n:]
		if len(r.body.pieces[0]) == 0 {
			r.body.pieces[0] = nil
			r.body.pieces = r.body.pieces[1:]
		}
		if n > 0 {
			return n, nil
		}
	}
	return 0, io.EOF
}

// Buffer returns a handler that reads the body of each request, of at most the given size, before it calls the next one. What it
// holds draws from the account.
func Buffer(next http.Handler, account *Account, size int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := account.ReadBody(w, r, BodyLimits{
			Bytes: size, Deadline: time.Now().Add(messageTimeout), Pause: messagePause,
		})
		defer body.Release()
		if err != nil {
			http.Error(w, err.Error(), StatusOf(err))
			return
		}
		buffered := *r
		buffered.Body = io.NopCloser(&pieceReader{body: body})
		next.ServeHTTP(w, &buffered)
	})
}
