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

// headers.go reads the headers of guavahitch and chooses the headers that go on to the upstream.

// priorityLimit is the largest priority, up or down.
const priorityLimit = 100

// passedOn are the request headers that go on to an upstream.
var passedOn = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", HeaderKey}

func itoa(n int) string { return strconv.Itoa(n) }

func refusalOf(reason, detail string, status int, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Step: "accept", Outcome: outcome.NotRun, Reason: reason, Detail: detail, Status: status, RetryAfter: retryAfter,
	}
}

func badRequest(reason, detail string) *outcome.Error {
	return refusalOf(reason, detail, http.StatusBadRequest, 0)
}

func (s *Server) readHeaders(request *dispatch.Request, header http.Header) *outcome.Error {
	if refusal := s.checkOrganisation(request.Organisation); refusal != nil {
		return refusal
	}
	if len(request.Key) > nameLimit || !isPrintable(request.Key) {
		return badRequest("bad-key", HeaderKey+" takes up to "+itoa(nameLimit)+" printable ASCII characters")
	}
	if text := header.Get(HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < -priorityLimit || priority > priorityLimit {
			return badRequest("bad-priority", HeaderPriority+" takes a whole number from -100 to 100")
		}
		request.Priority = int32(priority)
	}
	for _, name := range passedOn {
		for _, value := range header.Values(name) {
			request.Headers = append(request.Headers, admission.Header{Name: name, Value: value})
		}
	}
	return s.readDeadline(request, header.Get(HeaderDeadline))
}

func (s *Server) checkOrganisation(name string) *outcome.Error {
	if name == "" || len(name) > nameLimit || !isPrintable(name) {
		return badRequest("bad-organisation", HeaderOrganisation+" takes 1 to "+itoa(nameLimit)+" printable ASCII characters")
	}
	owned := s.settings.Dispatcher.Inventory()
	if _, known := owned.Organisation(name); !known && !owned.Rules.UnlistedOrganisations {
		return refusalOf("unknown-organisation", "the inventory does not list this organisation", http.StatusForbidden, 0)
	}
	return nil
}

func (s *Server) readDeadline(request *dispatch.Request, text string) *outcome.Error {
	rules := s.settings.Dispatcher.Inventory().Rules
	left := rules.DefaultDeadline
	if text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return badRequest("bad-deadline", HeaderDeadline+` takes a duration such as "2s"`)
		}
		left = min(asked, rules.MaxDeadline)
	}
	request.Deadline = time.Now().Add(left)
	return nil
}

func isPrintable(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) < 0
}
