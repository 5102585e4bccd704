package routed

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/metric"
)

// metricsPath is the path at which the metrics are served.
const metricsPath = "/metrics"

// latencyBuckets are the upper bounds of the buckets of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond,
	6400 * time.Millisecond,
}

// Metrics collects the metrics of one process and serves them as a text page.
type Metrics struct {
	scope    tally.Scope
	reporter *metric.Reporter
	closer   io.Closer
	address  string
	log      *logrus.Entry
	// resources is what the process may use.
	resources Resources
}

// NewMetrics returns the metrics of a process, which Run serves on the address.
func NewMetrics(process, address string, resources Resources, log *logrus.Entry) *Metrics {
	scope, reporter, closer := metric.NewScope(process)
	return &Metrics{scope: scope, reporter: reporter, closer: closer, address: address, log: log, resources: resources}
}

// Scope returns the scope in which the process records its metrics.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Run serves the page until the context ends.
func (m *Metrics) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return eris.Wrapf(err, "listen for metrics on %s", m.address)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, m.serve)
	server := newMonitoringServer(mux, m.resources)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return ignoreServerClosed(server.Serve(listener))
}

// Close stops the collection of metrics.
func (m *Metrics) Close() {
	if err := m.closer.Close(); err != nil {
		m.log.WithError(err).Warn("cannot close the metrics")
	}
}

func (m *Metrics) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	if err := m.reporter.Write(w); err != nil {
		m.log.WithError(err).Warn("cannot send the metrics")
	}
}
