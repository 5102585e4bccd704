package sidecar

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/http1"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

// link.go manages the long-lived connections of an entry to one sidecar. When a call has no answer after its wait and
// ResponseGrace, its connection counts as lost. The link then replaces all its connections, because whatever silently
// dropped one connection may have dropped the others too. The caller retries over the new connections.

const (
	// ResponseGrace is how long an answer may be overdue before its connection counts as lost.
	ResponseGrace = 700 * time.Millisecond
	// dialTimeout bounds the dialling of a connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
	// maxIdleConnections is the maximum number of idle connections to one sidecar.
	maxIdleConnections = 256
)

type (
	// Dial opens a connection to an IP address and port, like net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Transport configures how connections to sidecars are made.
	Transport struct {
		// New makes the HTTP transport for a new set of connections. When it sets DialTLSContext, the link uses
		// HTTPS.
		New func(Dial) *http.Transport
		// Wrap decorates the round tripper, for example to send the clock with each request; nil leaves it as it is.
		Wrap func(http.RoundTripper) http.RoundTripper
	}

	// Link is the client of one sidecar. It is safe for concurrent use.
	Link struct {
		address   string
		transport Transport
		mutex     sync.Mutex
		current   *generation
		sequence  atomic.Uint64
		replaced  atomic.Int64
		releases  releases
	}

	// generation is a set of connections that are replaced together.
	generation struct {
		transport *http.Transport
		base      string
		http      *http.Client
		client    wire.Sidecar
	}
)

// PlainTransport returns an HTTP/1.1 transport without TLS.
func PlainTransport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext: http1.Dial(dial), MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

func (t Transport) wrap(inner http.RoundTripper) http.RoundTripper {
	if t.Wrap == nil {
		return inner
	}
	return t.Wrap(inner)
}

// RoundTripper returns a round tripper for calls to any address, outside of a Link.
func (t Transport) RoundTripper(dial Dial) http.RoundTripper { return t.wrap(t.New(dial)) }

// NewLink returns a link to the sidecar at an IP address and port.
func NewLink(address string, transport Transport) *Link {
	l := &Link{address: address, transport: transport}
	l.current = l.newGeneration()
	return l
}

func (l *Link) newGeneration() *generation {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := l.transport.New(dialer.DialContext)
	base := "http://" + l.address
	if transport.DialTLSContext != nil {
		base = "https://" + l.address
	}
	client := http1.NewClient(l.transport.wrap(transport))
	return &generation{transport: transport, base: base, http: client, client: wire.NewSidecarProtobufClient(base, client)}
}

// post sends a request and returns the response as soon as its header has arrived.
func (g *generation) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := g.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, eris.Errorf("%s answered %s", path, response.Status)
	}
	return response, nil
}

func (l *Link) generation() *generation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

// replace starts a new generation of connections, unless the broken one has been replaced already.
func (l *Link) replace(broken *generation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.current != broken {
		return
	}
	l.current = l.newGeneration()
	l.replaced.Add(1)
	broken.transport.CloseIdleConnections()
}

// Replaced returns how often the connections were replaced, because a stream failed or an answer was overdue.
func (l *Link) Replaced() int64 { return l.replaced.Load() }

// Close closes the idle connections.
func (l *Link) Close() { l.generation().transport.CloseIdleConnections() }

// NextSequence returns the sequence number for the next attempt at this sidecar. Numbers start at 1 and only grow.
func (l *Link) NextSequence() uint64 { return l.sequence.Add(1) }

// call runs one exchange that may take up to wait and ResponseGrace, and replaces the connections when it takes longer.
func (l *Link) call(ctx context.Context, wait time.Duration, exchange func(context.Context, *generation) error) error {
	g := l.generation()
	bounded, cancel := context.WithTimeout(ctx, wait+ResponseGrace)
	defer cancel()
	err := exchange(bounded, g)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		l.replace(g)
	}
	return err
}

// Cancel cancels an attempt, which may be another entry's, and returns what is known of its run. It retries until the
// sidecar answers, and returns Unknown when the context ends first.
func (l *Link) Cancel(ctx context.Context, request *wire.CancelRequest) outcome.Outcome {
	for ctx.Err() == nil {
		var reply *wire.CancelReply
		err := l.call(ctx, 0, func(ctx context.Context, g *generation) (err error) {
			reply, err = g.client.Cancel(ctx, request)
			return err
		})
		if err == nil {
			return outcome.Outcome(reply.Outcome)
		}
		pause(ctx)
	}
	return outcome.Unknown
}

// FetchWhole returns the whole answer of an attempt, which may be another entry's. It waits for the end of the answer
// until the context ends. It returns nil when the sidecar does not hold the whole answer.
func (l *Link) FetchWhole(ctx context.Context, id *wire.AttemptID, epoch uint64) *wire.Answer {
	fetch := func(ctx context.Context, request *wire.FetchRequest) (piece *wire.Piece, err error) {
		err = l.call(ctx, MaxPieceInterval, func(ctx context.Context, g *generation) (err error) {
			piece, err = g.client.Fetch(ctx, request)
			return err
		})
		return piece, err
	}
	return FetchWhole(ctx, fetch, id, epoch)
}

// pause waits for retryPause or until the context ends.
func pause(ctx context.Context) {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
