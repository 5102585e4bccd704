package caller_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/caller"
)

// deadlineRecorder is a response writer that records the write deadlines set by a handler.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (w *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	w.deadlines = append(w.deadlines, deadline)
	return nil
}

// The write deadline of an earlier response stays set on the connection and would cut off the next one on it.
func TestWriteDeadlineIsClearedForEachRequest(t *testing.T) {
	server := caller.NewServer(caller.Settings{Connections: 1, BodyBytes: 1 << 20})
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	server.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/healthz", nil))
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, []time.Time{{}}, w.deadlines, "the deadline of an earlier response must not apply to this one")
}
