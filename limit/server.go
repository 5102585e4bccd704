package limit

import (
	"cmp"
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"guavahitch.example/guavahitch/listener"
)

const (
	// DefaultHeaderBytes is the usual size of the largest head of a request.
	DefaultHeaderBytes = 64 << 10
	// DefaultHeaderTimeout is the usual time in which a head must arrive whole.
	DefaultHeaderTimeout = 15 * time.Second
	// DefaultIdleTimeout is the usual time without a request after which a connection is closed.
	DefaultIdleTimeout = 2 * time.Minute
	// receiveBufferBytes is the size of the receive buffer of a connection. The kernel would otherwise hold megabytes for a client
	// whose bytes are not read.
	receiveBufferBytes = 64 << 10
	// sweepInterval is the time between two searches for connections whose time is over.
	sweepInterval = 250 * time.Millisecond
	// unreadBodyTime bounds the reading of what a handler has left of a body.
	unreadBodyTime = 2 * time.Second
)

type (
	// ServerSettings configures a Server. Zero values take the defaults.
	ServerSettings struct {
		Handler http.Handler
		Account *Account
		// HeaderBytes bounds the head of a request.
		HeaderBytes int
		// Timeouts returns the times that are in force now. Those that are 0 take the defaults.
		Timeouts func() Timeouts
		// ErrorLog receives the errors of connections, nil for the standard logger.
		ErrorLog *log.Logger
		// SendBufferBytes is the size of the send buffer of a connection, 0 for that of the system.
		SendBufferBytes int
	}

	// Server is an HTTP server whose clients draw from an Account.
	Server struct {
		settings ServerSettings
		http     *http.Server
	}

	// countingListener passes on the connections that the Account of a Server admits.
	countingListener struct {
		net.Listener
		server *Server
	}
)

// NewServer returns a server that does not listen yet.
func NewServer(settings ServerSettings) *Server {
	if settings.Account == nil {
		settings.Account = NewAccount(Settings{})
	}
	s := &Server{settings: settings}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serveRequest), MaxHeaderBytes: cmp.Or(settings.HeaderBytes, DefaultHeaderBytes),
		ConnContext: withConn, ConnState: onState, DisableGeneralOptionsHandler: true, ErrorLog: settings.ErrorLog,
	}
	return s
}

// Serve accepts connections from the listener until Shutdown or Close, and returns http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	// A listener without a socket or on another system keeps its backlog.
	_ = listener.SetBacklog(l, s.settings.Account.backlog())
	stopped := make(chan struct{})
	defer close(stopped)
	go s.sweep(stopped)
	return s.http.Serve(&countingListener{Listener: l, server: s})
}

// Shutdown closes the listener and waits until all requests have ended or the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// Account returns the Account from which the clients of the server draw.
func (s *Server) Account() *Account { return s.settings.Account }

// serveRequest passes a request on, unless its connection was closed meanwhile.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r); c != nil && !c.begin() {
		panic(http.ErrAbortHandler)
	}
	s.settings.Handler.ServeHTTP(w, r)
	if r.ContentLength != 0 {
		// What is left of the body is read before the next request. A writer without a connection has nothing left.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
}

// sweep closes the connections whose time is over, until the channel is closed.
func (s *Server) sweep(stopped <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case now := <-ticker.C:
			s.settings.Account.closeExpired(now, s.timeouts())
		}
	}
}

func (s *Server) timeouts() Timeouts {
	var current Timeouts
	if s.settings.Timeouts != nil {
		current = s.settings.Timeouts()
	}
	return Timeouts{
		Header: cmp.Or(current.Header, DefaultHeaderTimeout),
		Idle:   cmp.Or(current.Idle, DefaultIdleTimeout),
	}
}

// onState records the end of a request.
func onState(c net.Conn, state http.ConnState) {
	if counted, isCounted := c.(*conn); isCounted && state == http.StateIdle {
		counted.finish()
	}
}

// Accept returns the next connection that is admitted. Others are closed.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.server.settings.Account.admit(c, time.Now()); admitted != nil {
			l.server.setBuffers(c)
			return admitted, nil
		}
		_ = c.Close()
	}
}

// setBuffers bounds what the kernel holds for a connection.
func (s *Server) setBuffers(c net.Conn) {
	sized, isSized := c.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	})
	if !isSized {
		return
	}
	// A connection that has ended already needs none.
	_ = sized.SetReadBuffer(receiveBufferBytes)
	if s.settings.SendBufferBytes > 0 {
		_ = sized.SetWriteBuffer(s.settings.SendBufferBytes)
	}
}
