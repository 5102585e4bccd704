// Package daemon assembles the processes of guavahitch from the other packages. A Process has one or more of three
// roles, which are entry, control replica and sidecar; it has the roles whose sections are in its settings. All roles
// share the server for other processes, the event ring, the metrics and the client of control's leader.
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
	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/outcome"
)

const (
	// internalHeaderTimeout bounds the read of a request header from another process.
	internalHeaderTimeout = 5 * time.Second
	// internalDialTimeout bounds the dialling of a connection to another process.
	internalDialTimeout = 500 * time.Millisecond
	// internalIdleTimeout is how long an unused connection from another process stays open.
	internalIdleTimeout = 60 * time.Second
	// maxInternalMessageBytes is the maximum size of a request from another process.
	maxInternalMessageBytes = 80 << 20
)

type (
	// internalServer is the server for the other processes of guavahitch.
	internalServer struct {
		listener net.Listener
		mux      *http.ServeMux
		http     *limit.Server
	}

	// service is a server that twirp has generated.
	service interface {
		http.Handler
		PathPrefix() string
	}
)

// newInternalServer binds the address. With a key store, it accepts only peers with a certificate of the same
// authority.
func newInternalServer(address string, store *keys.Store, clock *event.Clock) (*internalServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, outcome.Error{Step: "listen", Peer: address, Outcome: outcome.NotRun, Reason: "address"}.WithCause(err)
	}
	if store != nil {
		listener = store.Listener(listener)
	}
	i := &internalServer{listener: listener, mux: http.NewServeMux()}
	account := limit.NewAccount(limit.Settings{})
	i.http = limit.NewServer(limit.ServerSettings{
		Handler: limit.Buffer(clock.Handler(i.mux), account, maxInternalMessageBytes), Account: account,
		Timeouts: func() limit.Timeouts {
			return limit.Timeouts{Header: internalHeaderTimeout, Idle: internalIdleTimeout}
		},
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	})
	return i, nil
}

func (i *internalServer) address() string { return i.listener.Addr().String() }

func (i *internalServer) add(s service) { i.mux.Handle(s.PathPrefix(), s) }

func (i *internalServer) serve() error {
	err := i.http.Serve(i.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (i *internalServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if i.http.Shutdown(ctx) != nil {
		_ = i.http.Close()
	}
}
