// Package route defines the routed configuration: which requests go to which service, under which limits, and which
// organisation a key belongs to. Operators submit a whole Configuration under a version. Package registry replicates
// it, and package forward looks up the route of each request in a Table that is built from it.
package route

import "time"

const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered with a stream of events.
	Stream
)

type (
	// Kind determines whether a request may be repeated and whether its answer is a stream.
	Kind int

	// Configuration is one version of the routed configuration. It is immutable once it is in use. HealthPath and
	// MaxConnections are decoded, but have no effect yet.
	Configuration struct {
		Version       uint64
		Routes        []Route
		Services      []Service
		Organisations []Organisation
		Limits        Limits
	}

	// Route selects requests by host and path prefix.
	Route struct {
		Name   string
		Host   string
		Prefix string
		Kind   Kind
		// Timeout is the longest time that a request may take, from its arrival. A caller may ask for less.
		Timeout time.Duration
		// Objective is the latency objective for the answer, or for the first event of a stream.
		Objective time.Duration
		// GapObjective is the objective for the longest pause between two events of a stream.
		GapObjective time.Duration
		// Priority is the priority of the requests. 0 is the most urgent. It takes effect only for streams to services with
		// engines.
		Priority int
		Split    []Share
		// Attempts is the maximum number of upstreams that one request is sent to.
		Attempts int
		// Regions are the regions in which requests may be served. An empty list allows all.
		Regions []string
		// IsOpen reports that requests need no key.
		IsOpen bool
		// IsResumable reports that a stream may continue at another upstream.
		IsResumable bool
	}

	// Share is the fraction of a route's requests that goes to a service: its weight over the sum of all weights.
	Share struct {
		Service string
		Weight  int
	}

	// Service is a set of upstreams that serve the same requests.
	Service struct {
		Name string
		// HealthPath is the path at which a healthy upstream answers 200.
		HealthPath string
		// MaxConnections bounds the connections of all entries together to one upstream.
		MaxConnections int
		// ColdStart is how long an upstream stays cold after its start, 0 if upstreams are never cold. ColdPerSecond is the
		// number of requests a second that a cold upstream takes from all entries together, 0 for any number.
		ColdStart     time.Duration
		ColdPerSecond float64
		// Engine describes the model engines of the service. It is nil for a service without engines.
		Engine *Engine
	}

	// Engine holds the published parameters of the engines of a service.
	Engine struct {
		// Slots is the maximum number of requests in one batch.
		Slots int
		// Stride is the number of token steps in a pass that decodes requests.
		Stride int
		// Step is the fixed time of a token step, without the time that each request adds.
		Step time.Duration
		// MemoryTokens is the number of tokens that the memory of an engine holds, 0 if it is not known.
		MemoryTokens int
		// Sets, Experts, Places and Spare describe the expert map: the number of sets of layers, the experts of a set,
		// the maximum number of experts of a set on a rank, and the maximum number of new ones that a rank can prepare
		// in addition.
		Sets, Experts, Places, Spare int
		// ExpertShare is the fraction of a token's work that experts do.
		ExpertShare float64
		// CopyTime is the time in which a rank copies one expert, 0 if it is not known. CopySlowdown is the fraction by
		// which passes take longer meanwhile.
		CopyTime     time.Duration
		CopySlowdown float64
		// ReportLag is the age of the state that an engine reports to another instance, 0 if it is not known.
		ReportLag time.Duration
	}

	// Organisation is a customer and its keys.
	Organisation struct {
		Name string
		Keys []string
		// Priority replaces the priority of the route if HasPriority is set.
		Priority    int
		HasPriority bool
		// Regions are the regions in which requests of the organisation may be served. An empty list allows all.
		Regions []string
	}

	// Limits bounds what callers may send.
	Limits struct {
		HeaderBytes int
		BodyBytes   int64
		// HeaderTimeout is the longest time for the head of a request, and the longest time without a byte of its body.
		HeaderTimeout time.Duration
		// IdleTimeout is how long a connection stays open without a request.
		IdleTimeout time.Duration
	}
)

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.IsResumable
}
