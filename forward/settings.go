// Package forward implements the HTTP server of an entry. A Server finds the route of a request, authenticates and
// admits it, sends it to an upstream over package upstream and passes the response to the caller. It retries at other
// upstreams where the route allows that, and resumes streams there. A Fleet holds the upstreams; the entry keeps the
// Fleet and the configuration up to date with what package registry delivers.
package forward

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"time"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/quota"
	"guavahitch.example/guavahitch/upstream"
)

const (
	// DefaultConnectTimeout bounds opening a connection to an upstream.
	DefaultConnectTimeout = 350 * time.Millisecond
	// DefaultStreamIdleTimeout is the pause after which a stream counts as broken, if the objectives of its route do not
	// allow a longer one.
	DefaultStreamIdleTimeout = 2500 * time.Millisecond
	// DefaultHeartbeatTimeout is the time without a heartbeat to control after which an upstream gets requests only if
	// there is no other.
	DefaultHeartbeatTimeout = 4500 * time.Millisecond
	// DefaultEvacuationTime is the time after the acknowledgement of an evacuation in which it must be in effect.
	DefaultEvacuationTime = 5 * time.Second
	// DefaultAnswerBytes is the largest response of a plain service, in bytes.
	DefaultAnswerBytes = 16 << 20
)

type (
	// Headers holds the names of the header fields that the server reads and sets in requests and responses.
	Headers struct {
		// RequestID identifies one request of a caller; when the caller sends it again, that counts as another one. An
		// upstream repeats the ID in its response.
		RequestID string
		// Deadline holds the time that the sender waits for the response, in milliseconds.
		Deadline string
		// Seal marks a response as written by the upstream itself.
		Seal string
		// NotExecuted marks the response of an upstream that did not run the request.
		NotExecuted string
		// ExpectInstance holds the ID of the only instance that may run the request.
		ExpectInstance string
		// Organisation holds the caller's organisation. The server removes it from requests of callers and sets it for
		// the upstream.
		Organisation string
		// LastEvent holds the ID of the last event that the sender received, when a stream is resumed.
		LastEvent string
		// Urgency holds the urgency of a request, from 0 to 9, for ranks that order their requests by it. The server replaces
		// that of callers.
		Urgency string
		// Culprit holds the address of the upstream at fault, in a refusal by another upstream.
		Culprit string
		// Notice holds the fields in which an upstream says something of itself.
		Notice availability.Fields
	}

	// Outage reports that the group of a service is down or, if IsDown is false, that it serves again.
	Outage struct {
		Service string
		// Group is the name of the group if the service is placed by group.
		Group  string
		IsDown bool
		// Upstream is the ID of the upstream that refused, Culprit the address of the upstream at fault according to
		// that refusal.
		Upstream, Culprit string
		// SinceLastEvent is the time since the last event of any stream of the service at this entry, when an outage
		// begins.
		SinceLastEvent time.Duration
	}

	// RequestSize is the size of a request in tokens. Values that are not known are 0.
	RequestSize struct {
		// Prompt is the length of the prompt, MaxOutput the longest answer that the request allows, and ExpectedOutput the
		// caller's estimate of the answer, which may be far off.
		Prompt, MaxOutput, ExpectedOutput float64
	}

	// RetryLimits bound the attempts of a service beyond the first one of each request.
	RetryLimits struct {
		// Ratio is the number of further attempts per request, usually a small fraction.
		Ratio float64
		// Slack is the number of further attempts beyond Ratio that all entries together may make in any period. An
		// entry saves up at most its part of it.
		Slack float64
	}

	// Settings configure a Server. Zero durations and sizes take the defaults.
	Settings struct {
		Headers Headers
		// KeyScheme is the scheme of Authorization fields that carry keys.
		KeyScheme string
		// Domain is the failure domain of the entry. Upstreams of the same domain are preferred.
		Domain string
		// Regions holds the region of each failure domain.
		Regions map[string]string
		// EvacuationTime is the time after the acknowledgement of an evacuation in which it must be in effect at every entry.
		EvacuationTime    time.Duration
		ConnectTimeout    time.Duration
		StreamIdleTimeout time.Duration
		HeartbeatTimeout  time.Duration
		AnswerBytes       int64
		// Clients is the account of what callers hold. NewServer makes one if it is nil.
		Clients *limit.Account
		// ResponseMemory bounds the large responses and events that are held at once. NewServer makes one if it is nil.
		ResponseMemory *upstream.Memory
		// DrainTime is how long after its first response that says so an upstream that is leaving still takes requests for
		// which there is no other upstream.
		DrainTime time.Duration
		Retry     RetryLimits
		// Cold bounds the requests that upstreams get in services whose upstreams may be cold.
		Cold quota.ColdRule
		// SlowReaders bounds what is buffered for callers that read slowly.
		SlowReaders SlowReaders
		// LimitsUpstreamMemory keeps requests from upstreams whose memory may not hold them. It needs RequestSize.
		LimitsUpstreamMemory bool
		// PromptParts returns the IDs of the parts of a prompt that other requests may share, without the part that belongs
		// to the request itself. Requests have none if it is nil.
		PromptParts func(http.Header) []string
		// RequestSize returns what a request says of its size. All requests count the same if it is nil.
		RequestSize func(http.Header) RequestSize
		// Log is called at the end of each request, unless it is nil.
		Log func(Decision)
		// OnBreakage is called for each exchange that an upstream broke off, unless it is nil.
		OnBreakage func(Breakage)
		// Memory knows requests that end upstreams. NewServer makes one if it is nil.
		Memory *quarantine.Memory
		// OnCrash is called when an upstream has ended while it ran requests of this entry, unless it is nil.
		OnCrash func(Crash)
		// OnNotice is called when an upstream says that it leaves or asks for backoff, unless it is nil.
		OnNotice func(Notice)
		// SlowStart makes the server ramp up the upstreams of all services that have started or recovered. Otherwise it
		// does so for the services with a cold start time.
		SlowStart bool
		// OnRamp is called when the ramp of an upstream or group starts, is cut back and ends, unless it is nil.
		OnRamp func(Ramp)
		// OnOutage is called when the group of a service goes down and when it serves again, unless it is nil.
		OnOutage func(Outage)
		// OnColdChange is called when an upstream of a service with a cold bound says that it is cold, and when it says that it
		// is warm again, unless it is nil.
		OnColdChange func(ColdChange)
		// OnColdSkip is called with the number of upstreams that a request could not use because their share of the cold bound
		// was used up, unless it is nil.
		OnColdSkip func(service string, upstreams int)
		// Random returns a number in [0, 1). Tests set it to replace the default generator.
		Random func() float64
	}
)

// draw returns a random number in [0, 1).
func (s Settings) draw() float64 {
	if s.Random != nil {
		return s.Random()
	}
	return rand.Float64()
}

func (s Settings) withDefaults() Settings {
	s.ConnectTimeout = cmp.Or(s.ConnectTimeout, DefaultConnectTimeout)
	s.StreamIdleTimeout = cmp.Or(s.StreamIdleTimeout, DefaultStreamIdleTimeout)
	s.HeartbeatTimeout = cmp.Or(s.HeartbeatTimeout, DefaultHeartbeatTimeout)
	s.AnswerBytes = cmp.Or(s.AnswerBytes, DefaultAnswerBytes)
	if s.Clients == nil {
		s.Clients = limit.NewAccount(limit.Settings{})
	}
	if s.ResponseMemory == nil {
		s.ResponseMemory = upstream.NewMemory(upstream.DefaultMemory)
	}
	if s.Memory == nil {
		s.Memory = quarantine.NewMemory()
	}
	return s
}

// hopByHop lists the hop-by-hop header fields, which apply to one connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the hop-by-hop fields, including those that Connection lists.
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
