package caller_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/caller"
)

// timedWriter records the write deadlines that a handler sets.
type timedWriter struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (w *timedWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadlines = append(w.deadlines, deadline)
	return nil
}

func TestEachRequestHasItsOwnWriteDeadline(t *testing.T) {
	server := caller.NewServer(caller.Settings{Connections: 1, BodyBytes: 1 << 20})
	w := &timedWriter{ResponseRecorder: httptest.NewRecorder()}
	server.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/healthz", nil))
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, []time.Time{{}}, w.deadlines, "the deadline of an earlier answer must not hold for this one")
}
