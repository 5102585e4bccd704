package routing

import "time"

const (
	// remoteDomainPenalty is the added cost of an upstream in another failure domain, in time of the answer.
	remoteDomainPenalty = 2 * time.Millisecond
	// toleratedSilence is a time without a first token that does not count against an upstream.
	toleratedSilence = 100 * time.Millisecond
	// defaultOutput is the assumed length of an answer of unknown length, in tokens.
	defaultOutput = 128
)

// estimate is the prediction for one request at one upstream.
type estimate struct {
	wait       time.Duration // time to the first token
	total      time.Duration // time to the end of the answer
	cached     int           // prompt tokens that are probably cached
	freeSlots  int64         // free request slots before this request; negative when the upstream is overcommitted
	score      float64       // cost to this request and to those that run beside it, in seconds
	slope      float64       // growth of the score with each further request, in seconds
	unreported float64       // estimated requests of other entries since the last report, at any upstream
}

// estimate predicts the run of a request of the pool's service at the upstream.
func (c *candidate) estimate(now time.Time, l *pool, r Request, s Settings) estimate {
	a := c.state
	own, others := a.running.Load(), a.others.Load()
	unreported := 0.0
	if !s.IgnoreUnreported {
		unreported = float64(others) * a.turnover(now)
	}
	running := float64(own+others) - unreported
	capacity := max(1, a.capacity.Load())
	step := a.stepTime()
	output := r.OutputTokens
	if output <= 0 {
		output = defaultOutput
	}
	if usual := int(l.meanOutput.Load()); usual > 0 {
		// Callers give the maximum length of an answer; most answers are shorter.
		output = min(output, usual)
	}
	e := estimate{freeSlots: capacity - own - others, unreported: unreported}
	if a.isFull(now) {
		e.freeSlots = min(e.freeSlots, -int64(s.Overcommit))
	}
	if !s.IgnorePrefixes {
		e.cached = min(a.cache.cachedTokens(r.PrefixHashes), r.PromptTokens)
	}
	uncached := time.Duration(a.pending.Load() + int64(r.PromptTokens-e.cached))
	e.wait = uncached * a.prefillTime()
	if over := running + 1 - float64(capacity); over > 0 {
		e.wait += time.Duration(float64(step*defaultOutput) * over / float64(capacity))
	}
	// An upstream that has been silent for longer than expected will probably stay silent for as long again.
	e.wait += max(0, a.silence(now)-2*e.wait-toleratedSilence)
	decode := time.Duration(output) * step
	e.total = e.wait + decode
	// The step time that the request adds is paid by every request that runs beside it.
	crowding := decode.Seconds() * running / float64(capacity)
	e.score = (e.total.Seconds() + crowding) * c.slowFactor
	e.slope = decode.Seconds() / float64(capacity) * c.slowFactor
	if c.isRemote {
		e.score += remoteDomainPenalty.Seconds()
	}
	return e
}
