// Package forward is the routed HTTP interface of an entry: it finds the route of a request, admits it, sends
// it to upstreams over package upstream and passes the answer on. What it routes by comes from package
// registry.
package forward

import (
	"cmp"
	"net/http"
	"time"
)

const (
	// DefaultConnectTimeout bounds the opening of a connection to an upstream.
	DefaultConnectTimeout = 350 * time.Millisecond
	// DefaultStreamIdleTimeout is the longest pause in a stream before it is taken as broken. It lies above the
	// time after which callers turn away: an upstream that is silent may still answer.
	DefaultStreamIdleTimeout = 2500 * time.Millisecond
	// DefaultHeartbeatTimeout is the silence of an upstream towards control after which it gets no work.
	DefaultHeartbeatTimeout = 4500 * time.Millisecond
	// DefaultAnswerBytes is the largest answer of a plain service, in bytes.
	DefaultAnswerBytes = 16 << 20
)

type (
	// Headers names the header fields that requests and answers carry.
	Headers struct {
		// RequestID names one attempt of a caller.
		RequestID string
		// Deadline holds the milliseconds that the sender will wait.
		Deadline string
		// Seal marks an answer as an upstream's own.
		Seal string
		// NotExecuted marks an answer of an upstream that did not run the request.
		NotExecuted string
		// ExpectInstance names the instance that alone may run the request.
		ExpectInstance string
		// Organisation names the caller's organisation to the upstream.
		Organisation string
		// LastEvent holds the ID of the last event that was received.
		LastEvent string
		// Culprit names the upstream at fault in a refusal by another.
		Culprit string
	}

	// Outage tells that a group of ranks is down, or serves again.
	Outage struct {
		Service string
		IsDown  bool
		// Upstream is the one that refused, Culprit the address of the one at fault by its own word.
		Upstream, Culprit string
		// SinceLastEvent is the time since the last event of any stream of the service at this entry.
		SinceLastEvent time.Duration
	}

	// RetryLimits bound what is sent to a service beyond the first attempt of each request.
	RetryLimits struct {
		// Ratio is the part of the requests that may be sent once more.
		Ratio float64
		// Slack is the number of further attempts in a window, by all entries together.
		Slack float64
	}

	// Settings configure a Server. Zero durations and sizes take the defaults.
	Settings struct {
		Headers Headers
		// KeyScheme is the scheme of the Authorization field that carries keys.
		KeyScheme string
		// Domain is the failure domain of the entry.
		Domain            string
		ConnectTimeout    time.Duration
		StreamIdleTimeout time.Duration
		HeartbeatTimeout  time.Duration
		AnswerBytes       int64
		Retry             RetryLimits
		// Log takes one line for a decision, nil for none.
		Log func(Decision)
		// OnOutage is told when a group of a service begins to refuse requests as a whole, and when it serves again.
		OnOutage func(Outage)
		// Random returns a number in [0, 1), and replaces the system's generator in tests.
		Random func() float64
	}
)

func (s Settings) withDefaults() Settings {
	s.ConnectTimeout = cmp.Or(s.ConnectTimeout, DefaultConnectTimeout)
	s.StreamIdleTimeout = cmp.Or(s.StreamIdleTimeout, DefaultStreamIdleTimeout)
	s.HeartbeatTimeout = cmp.Or(s.HeartbeatTimeout, DefaultHeartbeatTimeout)
	s.AnswerBytes = cmp.Or(s.AnswerBytes, DefaultAnswerBytes)
	return s
}

// hopByHop lists the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the fields that concern one connection only, and those that Connection names.
func removeHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range splitList(value) {
			header.Del(name)
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}
