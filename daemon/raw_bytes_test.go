package daemon_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

// latin1 is text that header fields and paths may hold, and that is not UTF-8.
const latin1 = "caf\xe9"

// Guards against calls that end with an unknown outcome because a header field or the path, of the request or of the answer, is
// not UTF-8, and against a time line that cannot be read after such a call.
func TestHeaderFieldsAndPathsMayHoldAnyBytes(t *testing.T) {
	for name, c := range map[string]struct{ method, path, requestField, answerField string }{
		"in a field of the request":     {http.MethodGet, "/ledger/status/1", latin1, ""},
		"in a field of the answer":      {http.MethodGet, "/ledger/status/1", "", latin1},
		"in the answer to a keyed call": {http.MethodPost, "/ledger/entries", "", latin1},
		"in the query":                  {http.MethodGet, "/ledger/status/1?q=" + latin1, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.answerField != "" {
					w.Header().Set("Etag", c.answerField)
				}
				_, _ = io.WriteString(w, r.URL.RawQuery+"|"+r.Header.Get("Accept-Language"))
			}))
			t.Cleanup(upstream.Close)
			cluster := newCluster(t, 1)
			entry := cluster.addEntry("entry-1")
			sidecar := cluster.addSidecar("ledger-1", strings.TrimPrefix(upstream.URL, "http://"), "service", "ledger", 4)
			cluster.awaitRoom(entry, "ledger", 1)
			path, query, _ := strings.Cut(c.path, "?")
			for range 2 {
				request, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+entry.CallerAddress()+path, strings.NewReader("{}"))
				require.NoError(t, err)
				request.URL.RawQuery = query
				request.Header.Set("Guavahitch-Organisation", "north")
				if c.method == http.MethodPost {
					request.Header.Set("Idempotency-Key", "key-1")
				}
				if c.requestField != "" {
					request.Header.Set("Accept-Language", c.requestField)
				}
				response, err := http.DefaultTransport.RoundTrip(request)
				require.NoError(t, err)
				text, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.Equal(t, http.StatusOK, response.StatusCode, string(text))
				require.Equal(t, query+"|"+c.requestField, string(text))
				require.Equal(t, c.answerField, response.Header.Get("Etag"))
			}
			reply, err := sidecar.Events().List(t.Context(), &wire.EventsRequest{})
			require.NoError(t, err)
			_, err = proto.Marshal(reply)
			require.NoError(t, err)
		})
	}
}
