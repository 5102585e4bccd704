package routed

import (
	"net/http"
	"time"

	"guavahitch.example/guavahitch/limit"
)

const (
	// reservedFiles is the number of descriptors that are kept for files.
	reservedFiles = 200
	// frontMemoryShare and frontFilesShare are the parts of memory and descriptors for callers of an entry: one in so many. The
	// other descriptors are for upstreams and control.
	frontMemoryShare = 4
	frontFilesShare  = 2
	// operatorMemoryShare and operatorFilesShare are the parts for operators and upstreams at a control process.
	operatorMemoryShare = 5
	operatorFilesShare  = 4
	// internalMemoryShare and internalFilesShare are the parts for the other processes.
	internalMemoryShare = 5
	internalFilesShare  = 2
	// monitoringShare is the part for readiness, and that for metrics. minMonitoringConnections is the least number of connections.
	monitoringShare          = 64
	minMonitoringConnections = 16
	// monitoringHeaderBytes bounds the head of a request for readiness or metrics, monitoringHeaderTimeout the time in which it
	// must arrive.
	monitoringHeaderBytes   = 8 << 10
	monitoringHeaderTimeout = 5 * time.Second
)

// Resources is what a process may use. Values that are 0 are not known.
type Resources struct {
	// Memory is in bytes.
	Memory int64
	// Files is the number of descriptors.
	Files int
}

// account returns an account of the given parts of the resources.
func (r Resources) account(memoryShare int64, filesShare int) *limit.Account {
	return limit.NewAccount(limit.Settings{Memory: r.Memory / memoryShare, Connections: r.sockets() / filesShare})
}

// sockets returns the number of descriptors for sockets, 0 if it is not known.
func (r Resources) sockets() int {
	if r.Files == 0 {
		return 0
	}
	return max(r.Files-reservedFiles, r.Files/2)
}

// front returns the account of the callers of an entry.
func (r Resources) front() *limit.Account { return r.account(frontMemoryShare, frontFilesShare) }

// operators returns the account of operators and upstreams.
func (r Resources) operators() *limit.Account {
	return r.account(operatorMemoryShare, operatorFilesShare)
}

// internal returns the account of the other processes.
func (r Resources) internal() *limit.Account {
	return r.account(internalMemoryShare, internalFilesShare)
}

// monitoring returns the account of a server for readiness or metrics.
func (r Resources) monitoring() *limit.Account {
	connections := 0
	if r.Files > 0 {
		connections = max(r.sockets()/monitoringShare, minMonitoringConnections)
	}
	return limit.NewAccount(limit.Settings{Memory: r.Memory / monitoringShare, Connections: connections})
}

// newMonitoringServer returns a server for readiness or metrics.
func newMonitoringServer(handler http.Handler, resources Resources) *limit.Server {
	return limit.NewServer(limit.ServerSettings{
		Handler: handler, Account: resources.monitoring(), HeaderBytes: monitoringHeaderBytes,
		Timeouts: func() limit.Timeouts { return limit.Timeouts{Header: monitoringHeaderTimeout} },
	})
}
