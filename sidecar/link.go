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

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

// link.go holds the long-lived connections of an entry to one sidecar. A call that stays silent past its
// wait and SilenceLimit has lost its connection: the link replaces all its connections, since whatever lost
// track of one may have lost the others, and the caller asks again over the new ones.

const (
	// SilenceLimit is how long an answer may be overdue before its connection counts as lost.
	SilenceLimit = 700 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// idleLimit is the time after which an unused connection is closed.
	idleLimit = 30 * time.Second
	// connectionsKept is the number of idle connections kept to one sidecar.
	connectionsKept = 256
)

type (
	// Dial opens a connection to an IP address and port.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Transport says how connections are made.
	Transport struct {
		// New makes the HTTP transport of a new generation of connections. One that dials TLS is spoken to by
		// HTTPS.
		New func(Dial) *http.Transport
		// Wrap adds to each exchange, such as a clock; nil adds nothing.
		Wrap func(http.RoundTripper) http.RoundTripper
	}

	// Link speaks to one sidecar. It is safe for concurrent use.
	Link struct {
		address   string
		transport Transport
		mutex     sync.Mutex
		current   *generation
		sequence  atomic.Uint64
		replaced  atomic.Int64
		releases  releases
	}

	generation struct {
		transport *http.Transport
		base      string
		http      *http.Client
		client    wire.Sidecar
	}
)

// PlainTransport makes an HTTP/1.1 transport without TLS.
func PlainTransport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: connectionsKept, IdleConnTimeout: idleLimit, DisableCompression: true,
	}
}

func (t Transport) wrap(inner http.RoundTripper) http.RoundTripper {
	if t.Wrap == nil {
		return inner
	}
	return t.Wrap(inner)
}

// RoundTripper returns a transport for calls to any address.
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
	client := &http.Client{Transport: l.transport.wrap(transport)}
	return &generation{transport: transport, base: base, http: client, client: wire.NewSidecarProtobufClient(base, client)}
}

// post sends a request and returns its answer as soon as its header has come.
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

// replace drops the connections of a generation that went silent.
func (l *Link) replace(silent *generation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.current != silent {
		return
	}
	l.current = l.newGeneration()
	l.replaced.Add(1)
	silent.transport.CloseIdleConnections()
}

// Replaced returns how often the connections went silent and were replaced.
func (l *Link) Replaced() int64 { return l.replaced.Load() }

// Close closes the idle connections.
func (l *Link) Close() { l.generation().transport.CloseIdleConnections() }

// NextSequence returns the sequence number of the next attempt sent to this sidecar.
func (l *Link) NextSequence() uint64 { return l.sequence.Add(1) }

// call runs one exchange under the silence limit and replaces the connections when it is exceeded.
func (l *Link) call(ctx context.Context, wait time.Duration, exchange func(context.Context, *generation) error) error {
	g := l.generation()
	bounded, cancel := context.WithTimeout(ctx, wait+SilenceLimit)
	defer cancel()
	err := exchange(bounded, g)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		l.replace(g)
	}
	return err
}

// Cancel asks for the cancellation of an attempt, which may be another entry's, until an answer comes or
// the context ends, and returns what is known of its run.
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

// FetchWhole returns the whole answer of an attempt that may be another entry's, waiting for its end until
// the context ends. It returns nil when the sidecar does not hold it whole.
func (l *Link) FetchWhole(ctx context.Context, id *wire.AttemptID, epoch uint64) *wire.Answer {
	fetch := func(ctx context.Context, request *wire.FetchRequest) (piece *wire.Piece, err error) {
		err = l.call(ctx, WaitLimit, func(ctx context.Context, g *generation) (err error) {
			piece, err = g.client.Fetch(ctx, request)
			return err
		})
		return piece, err
	}
	return FetchWhole(ctx, fetch, id, epoch)
}

// pause waits a little before another try, or until the context ends.
func pause(ctx context.Context) {
	timer := time.NewTimer(askAgainPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
