package dev

import (
	"context"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/forward"
	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
)

// routed.go runs the routed interface without control: an entry's server with fixed routes and two fake upstreams.

const (
	// DefaultRouted is the default address for routed requests.
	DefaultRouted = "127.0.0.1:8602"
	// routedEvents is the number of events in a fake stream, and routedPause the time between them.
	routedEvents = 8
	routedPause  = 50 * time.Millisecond
	// routedRetryRatio and routedRetrySlack bound the further attempts of requests, as forward.RetryLimits describes.
	routedRetryRatio = 0.2
	routedRetrySlack = 10
)

//go:embed sample_routes.json
var sampleRoutes []byte

var routedHeaders = forward.Headers{
	RequestID: "Guavahitch-Request", Deadline: "Guavahitch-Deadline-Ms", Seal: "Guavahitch-Seal",
	NotExecuted: "Guavahitch-Not-Executed", ExpectInstance: "Guavahitch-Instance", Organisation: "Guavahitch-Organisation",
	LastEvent: "Last-Event-Id", Culprit: "Guavahitch-Culprit",
}

// routed is the server for routed requests together with its fake upstreams.
type routed struct {
	httpServer *limit.Server
	listener   net.Listener
	upstreams  []*http.Server
}

func newRouted(listen string) (*routed, error) {
	configuration, err := route.Parse("sample_routes.json", sampleRoutes)
	if err != nil {
		return nil, err
	}
	settings := forward.Settings{
		Headers: routedHeaders, KeyScheme: "Bearer", Retry: forward.RetryLimits{Ratio: routedRetryRatio, Slack: routedRetrySlack},
	}
	r := &routed{}
	settings.Clients = limit.NewAccount(limit.Settings{})
	fleet := forward.NewFleet(settings)
	for service, handler := range map[string]http.HandlerFunc{"model": serveStream, "ledger": serveBalance} {
		address, err := r.startUpstream(handler)
		if err != nil {
			r.stop()
			return nil, err
		}
		fleet.Update([]roster.Entry{{LastHeartbeat: time.Now(), Instance: roster.Instance{
			ID: service + "-1", Service: service, Address: address, State: roster.Ready,
		}}}, nil)
	}
	server := forward.NewServer(settings, fleet)
	server.SetTable(route.NewTable(configuration))
	r.httpServer = limit.NewServer(limit.ServerSettings{Handler: server, Account: settings.Clients})
	if r.listener, err = net.Listen("tcp", listen); err != nil {
		r.stop()
		return nil, eris.Wrapf(err, "listen on %s", listen)
	}
	return r, nil
}

func (r *routed) startUpstream(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "listen for a fake upstream")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	r.upstreams = append(r.upstreams, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// serve serves routed requests until the context ends.
func (r *routed) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, r.stop)
	defer stop()
	_ = r.httpServer.Serve(r.listener)
}

func (r *routed) stop() {
	if r.httpServer != nil {
		_ = r.httpServer.Close()
	}
	for _, server := range r.upstreams {
		_ = server.Close()
	}
}

func (r *routed) exampleRequests() string {
	address := r.listener.Addr()
	return fmt.Sprintf(`routed:
  curl -N http://%s/draft/1 -H 'Host: dev.example' -H 'Authorization: Bearer dev-key' -d prompt
  curl http://%s/balance/7 -H 'Host: dev.example' -H 'Authorization: Bearer dev-key'
`, address, address)
}

// seal sets the headers that mark a response as one of the fake upstream itself.
func seal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(routedHeaders.Seal, "dev")
	if id := r.Header.Get(routedHeaders.RequestID); id != "" {
		w.Header().Set(routedHeaders.RequestID, id)
	}
}

func serveBalance(w http.ResponseWriter, r *http.Request) {
	seal(w, r)
	_, _ = fmt.Fprintf(w, "{\"Organisation\":%q,\"Hours\":12}\n", r.Header.Get(routedHeaders.Organisation))
}

// serveStream writes a stream of events. It starts after the event that the header Last-Event-Id names.
func serveStream(w http.ResponseWriter, r *http.Request) {
	seal(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(r.Header.Get(routedHeaders.LastEvent))
	if err != nil {
		last = 0
	}
	control := http.NewResponseController(w)
	for id := last + 1; id <= routedEvents; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		time.Sleep(routedPause)
	}
}
