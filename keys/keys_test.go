package keys_test

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/keys"
)

func issue(t *testing.T, folder, process string) *keys.Store {
	authority, err := keys.NewAuthority(folder)
	require.NoError(t, err)
	return open(t, authority, process)
}

func open(t *testing.T, authority *keys.Authority, process string) *keys.Store {
	files, err := authority.Issue(process)
	require.NoError(t, err)
	store, err := keys.Open(files)
	require.NoError(t, err)
	return store
}

func serve(t *testing.T, store *keys.Store) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(store.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func get(store *keys.Store, address string) error {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	if store != nil {
		transport = store.Secure(transport)
	}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Get("https://" + address)
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

func TestPeersNeedACertificateOfTheAuthority(t *testing.T) {
	authority, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	address := serve(t, open(t, authority, "control-1"))
	require.NoError(t, get(open(t, authority, "entry-1"), address))
	require.Error(t, get(nil, address), "a caller without keys")
	require.Error(t, get(issue(t, t.TempDir(), "entry-1"), address), "a caller with keys of another authority")
}

func TestServerOfAnotherAuthorityIsRefused(t *testing.T) {
	address := serve(t, issue(t, t.TempDir(), "control-1"))
	require.ErrorContains(t, get(issue(t, t.TempDir(), "entry-1"), address), "TLS handshake with "+address)
}

func TestChangedFilesAreReloaded(t *testing.T) {
	folder := t.TempDir()
	authority, err := keys.NewAuthority(folder)
	require.NoError(t, err)
	files, err := authority.Issue("control-1")
	require.NoError(t, err)
	server, err := keys.Open(files)
	require.NoError(t, err)
	reloads := make(chan error, 8)
	server.OnReload = func(err error) { reloads <- err }
	address := serve(t, server)

	next, err := keys.NewAuthority(folder)
	require.NoError(t, err)
	_, err = next.Issue("control-1")
	require.NoError(t, err)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(files.Certificate, later, later))
	entry := open(t, next, "entry-1")
	require.Eventually(t, func() bool { return get(entry, address) == nil }, 10*time.Second, 50*time.Millisecond)
	require.NoError(t, <-reloads)
}

func TestErrorsNameTheFile(t *testing.T) {
	folder := t.TempDir()
	authority, err := keys.NewAuthority(folder)
	require.NoError(t, err)
	files, err := authority.Issue("a")
	require.NoError(t, err)
	missing := files
	missing.Authority = filepath.Join(folder, "nothing.pem")
	_, err = keys.Open(missing)
	require.ErrorContains(t, err, "nothing.pem")
	require.NoError(t, os.WriteFile(missing.Authority, []byte("no certificate"), 0o600))
	_, err = keys.Open(missing)
	require.ErrorContains(t, err, "the file holds no PEM certificate")
	other, err := authority.Issue("b")
	require.NoError(t, err)
	mixed := files
	mixed.Key = other.Key
	_, err = keys.Open(mixed)
	require.ErrorContains(t, err, "b-key.pem")
}
