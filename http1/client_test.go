package http1_test

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/fake"
	"guavahitch.example/guavahitch/http1"
)

// get returns the response of a server that sends the text, and its body.
func get(t *testing.T, text string) (*http.Response, string, error) {
	raw, err := fake.StartRaw(func(conn net.Conn, _ *http.Request, _ string, _ int) bool {
		_, _ = io.WriteString(conn, text)
		return false
	})
	require.NoError(t, err)
	t.Cleanup(raw.Stop)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+raw.Address(), http.NoBody)
	require.NoError(t, err)
	response, err := http1.NewClient(&http.Transport{DisableKeepAlives: true}).Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// A malformed response is an error, whatever its status says.
func ExampleNewDefaultClient() {
	raw, err := fake.StartRaw(func(conn net.Conn, _ *http.Request, _ string, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	if err != nil {
		return
	}
	defer raw.Stop()
	_, err = http1.NewDefaultClient().Get("http://" + raw.Address())
	fmt.Println(strings.HasSuffix(err.Error(), `status "000 Trouble": malformed response`))
	// Output: true
}

// Guards against clients that take a malformed response for an answer.
func TestMalformedResponses(t *testing.T) {
	const ok, done = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n\r\ndone"
	for _, text := range []string{
		"HTTP/1.1 000 Trouble\r\n" + done, "HTTP/1.1 099 Trouble\r\n" + done, "HTTP/1.1 600 Trouble\r\n" + done,
		ok + "X Trace: 1\r\n" + done, ok + "Content-Length : 3\r\n\r\ndone", ok + "X\x01Trace: 1\r\n" + done,
		"HTTP/1.1 103 Early Hints\r\nX Trace: 1\r\n\r\n" + ok + done,
		ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX Trace: 1\r\n\r\n",
	} {
		_, body, err := get(t, text)
		require.Error(t, err, "%q: %q", text, body)
	}
}

// Guards against well-formed responses that are refused.
func TestWellFormedResponses(t *testing.T) {
	const ok, done = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n\r\ndone"
	for _, text := range []string{
		ok + done, ok + "X-Own: a b\r\n" + done, "HTTP/1.1 599 Own\r\n" + done, ok + "\r\ndone",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + done,
		ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Trace: 1\r\n\r\n",
	} {
		_, body, err := get(t, text)
		require.NoError(t, err, "%q", text)
		require.Equal(t, "done", body)
	}
}

// Guards against a switch of protocols whose connection cannot be written to any more.
func TestSwitchOfProtocols(t *testing.T) {
	response, _, err := get(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: own\r\n\r\n")
	require.NoError(t, err)
	_, isStream := response.Body.(io.ReadWriteCloser)
	require.True(t, isStream)
}

// Guards against a part of a body that a client of the standard library takes for a whole one, because a reset cut it while the
// request was still being written. Which of a read and a write takes the error varies, so it is repeated.
func TestBodyCutUnderAnUpload(t *testing.T) {
	raw, err := fake.StartEarly(func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	require.NoError(t, err)
	t.Cleanup(raw.Stop)
	// upload is more than the buffers of two sockets hold.
	upload := make([]byte, 12<<20)
	for range 16 {
		client := http1.NewClient(&http.Transport{})
		response, err := client.Post("http://"+raw.Address(), "text/plain", bytes.NewReader(upload))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		require.Error(t, err, "the body counts as whole: %q", body)
	}
}

// Guards against a client that is made without the checks: only this package makes clients of the standard library.
func TestAllClientsCheckResponses(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && slices.Contains([]string{"review", "http1", "wire"}, entry.Name()) {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, banned := range []string{"http.Client{", "http.DefaultClient", "http.Get(", "http.Post(", "http.Head("} {
			require.False(t, strings.Contains(string(text), banned), "%s makes a client by %s", path, banned)
		}
		return nil
	})
	require.NoError(t, err)
}
