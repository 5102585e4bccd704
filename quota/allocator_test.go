package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/quota"
)

const (
	// tick is the step of the simulated time, askInterval the time between two requests for quota of one entry.
	tick        = 10 * time.Millisecond
	askInterval = 200 * time.Millisecond
	// window is the time over which requests are counted. In each window, an upstream may get windowTolerance times what its
	// limit allows and windowSlack requests more.
	window          = 4 * time.Second
	windowTolerance = 1.5
	windowSlack     = 5
)

var start = time.Unix(1_700_000_000, 0)

// simulation is a fleet of entries that send to limited upstreams of one service.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	allocator *quota.Allocator
	limits    []quota.Limit
	entries   []*simulatedEntry
	// sent holds when requests were sent, by upstream.
	sent map[string][]time.Time
	// offered and served count the requests of callers, and those that found quota.
	offered, served int
}

// simulatedEntry is an entry with its states of the upstreams.
type simulatedEntry struct {
	perSecond float64
	states    []availability.State
	nextAsk   time.Time
	// requests counts those since the last time, rate is a moving average of them by the interval.
	requests int
	rate     float64
}

func newSimulation(upstreams int, limit float64, loads ...float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), now: start, allocator: quota.NewAllocator(), sent: map[string][]time.Time{}}
	named := availability.RateLimit{IsNamed: true, PerSecond: limit}
	for n := range upstreams {
		s.limits = append(s.limits, quota.Limit{Upstream: fmt.Sprint("u", n), Born: 1, Service: "s", RateLimit: named, Heard: start})
	}
	for _, perSecond := range loads {
		e := &simulatedEntry{perSecond: perSecond, nextAsk: start.Add(time.Duration(s.random.Int64N(int64(askInterval))))}
		for range upstreams {
			e.states = append(e.states, availability.State{}.WithRateLimit(start, start, named))
		}
		s.entries = append(s.entries, e)
	}
	s.lead(1)
	return s
}

// lead begins a term of an allocator to which all entries report.
func (s *simulation) lead(term uint64) {
	s.allocator = quota.NewAllocator()
	s.allocator.Lead(s.now, term)
	s.allocator.Hear(s.now, s.limits)
}

// withoutLeader makes every entry use an equal share from now on.
func (s *simulation) withoutLeader() {
	s.allocator = nil
	for _, e := range s.entries {
		for n := range e.states {
			e.states[n] = e.states[n].WithShare(s.now, quota.LeaderlessShare(int64(len(s.entries))), s.random.Float64())
		}
	}
}

func (s *simulation) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(tick) {
		for n, e := range s.entries {
			s.ask(fmt.Sprint("e", n), e)
			for expected := e.perSecond * tick.Seconds(); s.random.Float64() < expected; expected-- {
				s.offer(e)
			}
		}
	}
}

// ask asks for the requests of two intervals.
func (s *simulation) ask(name string, e *simulatedEntry) {
	if s.allocator == nil || s.now.Before(e.nextAsk) {
		return
	}
	e.nextAsk = s.now.Add(askInterval)
	e.rate += 0.3 * (float64(e.requests) - e.rate)
	held := 0
	for _, state := range e.states {
		held += state.Granted(s.now)
	}
	for _, g := range s.allocator.Grant(s.now, name, "s", max(quota.Wanted(2*e.rate)-held, 0)) {
		for n := range e.states {
			if s.limits[n].Upstream == g.Upstream {
				e.states[n] = e.states[n].WithGrant(s.now, g.Requests, s.now.Add(quota.Lifetime))
			}
		}
	}
	e.requests = 0
}

// offer sends a request to a random upstream with quota, if there is one.
func (s *simulation) offer(e *simulatedEntry) {
	e.requests++
	s.offered++
	first := s.random.IntN(len(e.states))
	for k := range e.states {
		n := (first + k) % len(e.states)
		if e.states[n].HasQuota(s.now) {
			e.states[n] = e.states[n].WithRequest(s.now)
			id := s.limits[n].Upstream
			s.sent[id] = append(s.sent[id], s.now)
			s.served++
			return
		}
	}
}

// requireLimits checks the requests in all windows at all upstreams.
func (s *simulation) requireLimits(t *testing.T) {
	t.Helper()
	allowed := windowTolerance*s.limits[0].PerSecond*window.Seconds() + windowSlack
	for id, times := range s.sent {
		first := 0
		for last, at := range times {
			for at.Sub(times[first]) > window {
				first++
			}
			require.LessOrEqual(t, float64(last-first+1), allowed, "requests to %s until %v", id, at.Sub(start))
		}
	}
}

// repeat returns a load for each of several entries.
func repeat(count int, perSecond float64) []float64 {
	loads := make([]float64, count)
	for n := range loads {
		loads[n] = perSecond
	}
	return loads
}

// Guards against limits that many entries exceed together, or that are left unused by uneven loads, with a leader that grants
// the requests, without one, and when it changes. The parts of the limits that must be used are those under heavy load.
func TestEntriesShareLimits(t *testing.T) {
	for _, c := range []struct {
		name      string
		upstreams int
		limit     float64
		loads     []float64
		minUsed   float64
	}{
		{"equal load", 12, 2.3, repeat(4, 14), 0.9},
		{"one entry has most of the load", 12, 2.3, []float64{50, 2, 2, 2}, 0.85},
		{"an entry for every second upstream", 90, 1.2, repeat(53, 6), 0.85},
		{"less than one request in a window", 12, 0.1, repeat(4, 14), 0},
		{"less load than the limits allow", 12, 5, repeat(4, 6), 0},
		{"bursts from many entries on few upstreams", 3, 1, repeat(53, 0.3), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(c.upstreams, c.limit, c.loads...)
			allowed := c.limit * float64(c.upstreams) * 20
			s.run(20 * time.Second)
			t.Logf("with a leader %d of %d served, the limits allow %.0f", s.served, s.offered, allowed)
			require.GreaterOrEqual(t, float64(s.served), c.minUsed*allowed)

			s.lead(2)
			s.run(10 * time.Second)
			s.withoutLeader()
			before := s.served
			s.run(20 * time.Second)
			t.Logf("without one %d more", s.served-before)
			require.GreaterOrEqual(t, float64(s.served-before), c.minUsed/4*allowed)
			s.requireLimits(t)
		})
	}
}

// Guards against an entry whose load comes and goes in bursts and that then spends what it has saved up.
func TestIdleEntriesSaveNoQuota(t *testing.T) {
	s := newSimulation(3, 1, repeat(53, 0)...)
	s.withoutLeader()
	s.run(time.Minute)
	for _, e := range s.entries {
		e.perSecond = 10
	}
	s.run(10 * time.Second)
	s.requireLimits(t)
	require.Positive(t, s.served)
}

func limitOf(perSecond float64, heard time.Time) quota.Limit {
	return quota.Limit{
		Upstream: "u", Born: 1, Service: "s", RateLimit: availability.RateLimit{IsNamed: true, PerSecond: perSecond}, Heard: heard,
	}
}

// Guards against reports that arrive out of order or are of an earlier incarnation, and change a limit that was heard later.
func TestTheLatestLimitCounts(t *testing.T) {
	a := quota.NewAllocator()
	a.Lead(start, 1)
	now := start.Add(5 * time.Second)
	a.Hear(now, []quota.Limit{limitOf(4, now)})
	a.Hear(now, []quota.Limit{limitOf(1, now.Add(-time.Second))})
	limits, revision, changed := a.Limits(0)
	require.Len(t, limits, 1)
	require.InDelta(t, 4, limits[0].PerSecond, 0)

	over := limitOf(0, now.Add(time.Second))
	over.IsNamed = false
	a.Hear(now.Add(time.Second), []quota.Limit{over})
	<-changed
	limits, _, _ = a.Limits(revision)
	require.False(t, limits[0].IsNamed)
	require.Empty(t, a.Grant(now.Add(time.Second), "e", "s", 5))

	next := limitOf(2, now)
	next.Born = 2
	a.Hear(now.Add(2*time.Second), []quota.Limit{next, limitOf(9, now.Add(2*time.Second))})
	limits, _, _ = a.Limits(revision)
	require.Len(t, limits, 1)
	require.EqualValues(t, 2, limits[0].Born)
}

// Guards against a new leader that grants again what the one before it has granted.
func TestNewLeaderWaitsForOldGrants(t *testing.T) {
	a := quota.NewAllocator()
	a.Lead(start, 7)
	a.Hear(start, []quota.Limit{limitOf(10, start)})
	require.Empty(t, a.Grant(start.Add(quota.Lifetime-10*time.Millisecond), "e", "s", 100))
	require.Equal(t, []quota.Grant{{Upstream: "u", Born: 1, Requests: 2}}, a.Grant(start.Add(quota.Lifetime+100*time.Millisecond), "e", "s", 100))
	a.Lead(start.Add(2*time.Second), 7)
	require.NotEmpty(t, a.Grant(start.Add(2*time.Second), "e", "s", 100), "the term goes on")
}
