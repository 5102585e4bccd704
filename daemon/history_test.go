package daemon_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/fake"
)

type (
	// call is one call of a caller and the answer to it.
	call struct {
		prompt string
		tokens int
		stream bool
		key    string
		body   string
		got    answer
	}

	// history records calls and checks them against what the fake engines and services ran.
	history struct {
		mutex sync.Mutex
		calls []call
	}
)

func (h *history) add(c call) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.calls = append(h.calls, c)
}

// answered returns how many calls were answered in full.
func (h *history) answered() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	n := 0
	for _, c := range h.calls {
		if c.isAnswered() {
			n++
		}
	}
	return n
}

// unanswered describes the calls that were not answered in full.
func (h *history) unanswered() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var text strings.Builder
	for _, c := range h.calls {
		if !c.isAnswered() {
			fmt.Fprintf(&text, "%+v\n", c)
		}
	}
	return text.String()
}

// refusals returns the calls that were refused with this reason.
func (h *history) refusals(reason string) []call {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var refused []call
	for _, c := range h.calls {
		if refusal, err := refusalOf(c.got.body); err == nil && refusal.Reason == reason {
			refused = append(refused, c)
		}
	}
	return refused
}

func (c call) isAnswered() bool { return c.got.err == nil && c.got.status == http.StatusOK }

// check returns every violation of the guarantees to callers: an answer belongs to its request and is complete, a
// request refused as NotRun did not run, and a call with an idempotency key runs at most once and gets one answer.
func (h *history) check(engines []*fake.Engine, services []*fake.Service) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var violations []string
	firstAnswers := map[string]string{}
	for i, c := range h.calls {
		var problem string
		if c.key != "" {
			problem = checkKeyed(c, services, firstAnswers)
		} else {
			problem = checkChat(c, engines)
		}
		if problem != "" {
			violations = append(violations, fmt.Sprintf("call %d: %s: %+v", i, problem, c))
		}
	}
	for _, s := range services {
		for key, n := range s.AllRuns() {
			if n > 1 {
				violations = append(violations, fmt.Sprintf("key %s ran %d times at one service", key, n))
			}
		}
	}
	return violations
}

func checkChat(c call, engines []*fake.Engine) string {
	if c.got.err != nil {
		return ""
	}
	if c.got.status == http.StatusOK {
		if text := textOf(c); text != strings.Join(fake.Words(c.prompt, c.tokens), " ") {
			return "the answer is incomplete or belongs to another request: " + text
		}
		return ""
	}
	refusal, err := refusalOf(c.got.body)
	if err != nil {
		return "the refusal is not JSON"
	}
	if refusal.Outcome == "NotRun" && runsOf(c.got.request, engines) > 0 {
		return "it was refused as NotRun but ran"
	}
	return ""
}

func checkKeyed(c call, services []*fake.Service, firsts map[string]string) string {
	runs := 0
	for _, s := range services {
		runs += s.Runs(c.key)
	}
	switch {
	case runs > 1:
		return fmt.Sprintf("it ran %d times", runs)
	case c.got.err != nil:
		return ""
	case c.got.status == http.StatusOK:
		first, known := firsts[c.key]
		if known && first != c.got.body {
			return "the answer differs from the first answer under the same key"
		}
		firsts[c.key] = c.got.body
		if runs != 1 || !strings.Contains(c.got.body, fmt.Sprintf("%q:%q", "reference", c.key)) {
			return "the answer belongs to another call"
		}
	}
	return ""
}

func refusalOf(body string) (dispatch.RefusalError, error) {
	var refusal dispatch.Refusal
	err := json.Unmarshal([]byte(body), &refusal)
	return refusal.Error, err
}

func runsOf(request string, engines []*fake.Engine) int {
	runs := 0
	for _, e := range engines {
		runs += e.Runs(request)
	}
	return runs
}

// textOf returns the text of an answer to a chat request. For a stream without its end it returns "cut".
func textOf(c call) string {
	if !c.stream {
		var whole struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(c.got.body), &whole) != nil || len(whole.Choices) == 0 {
			return "unreadable"
		}
		return whole.Choices[0].Message.Content
	}
	events, isWhole := strings.CutSuffix(c.got.body, "data: [DONE]\n\n")
	if !isWhole {
		return "cut"
	}
	var text strings.Builder
	for block := range strings.SplitSeq(events, "\n\n") {
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if data, found := strings.CutPrefix(block, "data: "); found && json.Unmarshal([]byte(data), &chunk) == nil {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return strings.TrimSpace(text.String())
}
