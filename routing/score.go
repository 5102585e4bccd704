package routing

import "time"

const (
	// domainPenalty is what leaving the own failure domain costs, as time of the answer.
	domainPenalty = 2 * time.Millisecond
	// typicalOutput is the length of an answer of unknown length, in tokens.
	typicalOutput = 128
)

// estimate is the predicted run of one request at one upstream.
type estimate struct {
	wait   time.Duration // time to the first token
	total  time.Duration // time to the end
	cached int           // prompt tokens believed cached
	room   int64         // free places before this request
	score  time.Duration
}

// estimate predicts the run of a request at the upstream.
func (c *candidate) estimate(r Request, s Settings) estimate {
	a := c.account
	running := a.running.Load() + a.others.Load()
	capacity := max(1, a.capacity.Load())
	step := a.stepTime()
	output := r.OutputTokens
	if output <= 0 {
		output = typicalOutput
	}
	e := estimate{room: capacity - running}
	if !s.IgnorePrefixes {
		e.cached = min(a.cache.cachedTokens(r.PrefixHashes), r.PromptTokens)
	}
	uncached := time.Duration(a.pending.Load() + int64(r.PromptTokens-e.cached))
	e.wait = uncached * a.prefillTime()
	if over := running + 1 - capacity; over > 0 {
		e.wait += step * typicalOutput * time.Duration(over) / time.Duration(capacity)
	}
	e.total = e.wait + time.Duration(output)*step
	// What the request adds to the step time is paid by all that run beside it.
	crowding := step * time.Duration(output) * time.Duration(running) / time.Duration(capacity)
	e.score = time.Duration(float64(e.total+crowding) * c.slow)
	if c.far {
		e.score += domainPenalty
	}
	return e
}
