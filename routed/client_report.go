package routed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/wait"
)

// clientReportInterval is the time between two reports of what clients hold.
const clientReportInterval = 5 * time.Second

// clientReport reports what the clients of one port hold, as metrics, and logs when some were closed because an Account was full.
type clientReport struct {
	port    string
	account *limit.Account
	scope   tally.Scope
	log     *logrus.Entry
	last    limit.Usage
}

func newClientReport(port string, account *limit.Account, scope tally.Scope, log *logrus.Entry) *clientReport {
	return &clientReport{
		port: port, account: account, scope: scope.Tagged(map[string]string{"port": port}), log: log.WithField("port", port),
	}
}

// run reports at each interval until the context ends.
func (r *clientReport) run(ctx context.Context) {
	for wait.For(ctx, clientReportInterval) {
		r.report()
	}
}

func (r *clientReport) report() {
	usage := r.account.Usage()
	r.scope.Gauge("client_memory_bytes").Update(float64(usage.Memory))
	r.scope.Gauge("client_connections").Update(float64(usage.Connections))
	r.scope.Gauge("client_bodies").Update(float64(usage.Bodies))
	fields := logrus.Fields{}
	for _, c := range []struct {
		cause       string
		total, last int64
	}{
		{"arrival", usage.ClosedArrivals, r.last.ClosedArrivals},
		{"refused", usage.ClosedRefused, r.last.ClosedRefused},
		{"head", usage.ClosedHeads, r.last.ClosedHeads},
		{"idle", usage.ClosedIdle, r.last.ClosedIdle},
		{"body", usage.ClosedBodies, r.last.ClosedBodies},
	} {
		if closed := c.total - c.last; closed > 0 {
			r.scope.Tagged(map[string]string{"cause": c.cause}).Counter("clients_closed").Inc(closed)
			fields[c.cause] = closed
		}
	}
	r.last = usage
	if len(fields) == 0 {
		return
	}
	fields["memory"], fields["connections"] = usage.Memory, usage.Connections
	r.log.WithFields(fields).Warn("clients were closed, because they hold all that is allowed")
}
