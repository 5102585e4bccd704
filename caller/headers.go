package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/outcome"
)

// headers.go checks the request headers of guavahitch and selects the headers that are forwarded to the upstream.

// maxPriority is the largest absolute value of a priority.
const maxPriority = 100

// forwardedHeaders are the request headers that are forwarded to the upstream.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", HeaderIdempotencyKey}

func itoa(n int) string { return strconv.Itoa(n) }

func newRefusal(reason, detail string, status int, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Step: "accept", Outcome: outcome.NotRun, Reason: reason, Detail: detail, Status: status, RetryAfter: retryAfter,
	}
}

func badRequest(reason, detail string) *outcome.Error {
	return newRefusal(reason, detail, http.StatusBadRequest, 0)
}

func (s *Server) readHeaders(request *dispatch.Request, header http.Header) *outcome.Error {
	if refusal := s.checkOrganisation(request.Organisation); refusal != nil {
		return refusal
	}
	if len(request.Key) > maxNameBytes || !isPrintable(request.Key) {
		return badRequest("bad-key", HeaderIdempotencyKey+" takes up to "+itoa(maxNameBytes)+" printable ASCII characters")
	}
	if text := header.Get(HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < -maxPriority || priority > maxPriority {
			return badRequest("bad-priority", HeaderPriority+" takes a whole number from -100 to 100")
		}
		request.Priority = int32(priority)
	}
	for _, name := range forwardedHeaders {
		for _, value := range header.Values(name) {
			request.Headers = append(request.Headers, admission.Header{Name: name, Value: value})
		}
	}
	return s.readDeadline(request, header.Get(HeaderDeadline))
}

func (s *Server) checkOrganisation(name string) *outcome.Error {
	if name == "" || len(name) > maxNameBytes || !isPrintable(name) {
		return badRequest("bad-organisation", HeaderOrganisation+" takes 1 to "+itoa(maxNameBytes)+" printable ASCII characters")
	}
	inventory := s.settings.Dispatcher.Inventory()
	if _, known := inventory.Organisation(name); !known && !inventory.Rules.UnlistedOrganisations {
		return newRefusal("unknown-organisation", "the inventory does not list this organisation", http.StatusForbidden, 0)
	}
	return nil
}

func (s *Server) readDeadline(request *dispatch.Request, text string) *outcome.Error {
	rules := s.settings.Dispatcher.Inventory().Rules
	timeout := rules.DefaultDeadline
	if text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return badRequest("bad-deadline", HeaderDeadline+` takes a duration such as "2s"`)
		}
		timeout = min(requested, rules.MaxDeadline)
	}
	request.Deadline = time.Now().Add(timeout)
	return nil
}

func isPrintable(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) < 0
}
