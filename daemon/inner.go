// Package daemon assembles the processes of guavahitch from the other packages: entry, control replica and
// sidecar. A process plays the roles whose sections its settings hold.
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"guavahitch.example/guavahitch/event"
	"guavahitch.example/guavahitch/keys"
	"guavahitch.example/guavahitch/outcome"
)

const (
	// innerHeaderTimeout bounds the arrival of a header between processes.
	innerHeaderTimeout = 5 * time.Second
	// innerDialTimeout bounds the opening of a connection to control.
	innerDialTimeout = 500 * time.Millisecond
	// innerIdleTimeout closes unused connections between processes.
	innerIdleTimeout = 60 * time.Second
	// innerBodyLimit is the largest message between processes, in bytes.
	innerBodyLimit = 80 << 20
)

type (
	// inner is the server towards the other processes.
	inner struct {
		listener net.Listener
		mux      *http.ServeMux
		http     *http.Server
	}

	// service is a generated twirp server.
	service interface {
		http.Handler
		PathPrefix() string
	}
)

// newInner binds the address. With keys it lets in peers of the same authority only.
func newInner(address string, store *keys.Store, clock *event.Clock) (*inner, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, outcome.Error{Step: "listen", Peer: address, Outcome: outcome.NotRun, Reason: "address"}.WithCause(err)
	}
	if store != nil {
		listener = store.Listener(listener)
	}
	i := &inner{listener: listener, mux: http.NewServeMux()}
	i.http = &http.Server{
		Handler:           clock.Handler(http.MaxBytesHandler(i.mux, innerBodyLimit)),
		ReadHeaderTimeout: innerHeaderTimeout, IdleTimeout: innerIdleTimeout,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	return i, nil
}

func (i *inner) address() string { return i.listener.Addr().String() }

func (i *inner) add(s service) { i.mux.Handle(s.PathPrefix(), s) }

func (i *inner) serve() error {
	err := i.http.Serve(i.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (i *inner) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if i.http.Shutdown(ctx) != nil {
		_ = i.http.Close()
	}
}
