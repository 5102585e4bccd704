// Package route holds the routed configuration: which requests go to which service, under which limits, and
// which organisation a key belongs to. Operators submit it as a whole under a version; registry replicates it
// and forward looks requests up in its Table.
package route

import "time"

const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run once at most.
	Unsafe
	// Stream requests are answered with a series of events.
	Stream
)

type (
	// Kind tells what may be repeated and how a request is answered.
	Kind int

	// Configuration is one version of the routed configuration. It is never changed once it is in use.
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
		// Timeout is the longest time that a request is kept waiting.
		Timeout time.Duration
		// Objective is the time within which the answer, or the first event of a stream, is wanted.
		Objective time.Duration
		// GapObjective is the longest pause between two events that is wanted.
		GapObjective time.Duration
		// Priority ranks the route; 0 is the most urgent.
		Priority int
		Split    []Share
		// Attempts is the number of upstreams that one request may be sent to.
		Attempts int
		// IsOpen tells that requests need no key.
		IsOpen bool
		// IsResumable tells that a stream may go on at another upstream.
		IsResumable bool
	}

	// Share is the part of a route's requests that goes to a service.
	Share struct {
		Service string
		Weight  int
	}

	// Service is a set of upstreams that serve the same requests.
	Service struct {
		Name string
		// HealthPath answers 200 while an upstream considers itself healthy.
		HealthPath string
		// MaxConnections bounds the connections of one upstream from all entries together.
		MaxConnections int
		// Engine describes model engines, nil for a plain service.
		Engine *Engine
	}

	// Engine holds the published figures of the engines of a service.
	Engine struct {
		// Slots is the number of requests in one batch.
		Slots int
		// Stride is the number of token steps in a pass with writing requests.
		Stride int
		// Step is the time of a token step without what each request adds to it.
		Step time.Duration
		// Sets, Experts, Places and Spare describe the expert map: sets of layers, experts of a set, the most
		// experts on a rank in a set, and the most new ones that a rank can prepare beside those.
		Sets, Experts, Places, Spare int
		// ExpertShare is the part of a token's work that is done by experts.
		ExpertShare float64
	}

	// Organisation is a customer with its keys.
	Organisation struct {
		Name string
		Keys []string
		// Priority takes the place of the route's priority when HasPriority is set.
		Priority    int
		HasPriority bool
	}

	// Limits bound what callers may send.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}
)

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.IsResumable
}
