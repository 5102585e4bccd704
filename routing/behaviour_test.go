package routing_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/outcome"
	_ "guavahitch.example/guavahitch/proptest"
	"guavahitch.example/guavahitch/routing"
	"guavahitch.example/guavahitch/wire"
)

// tuningSeed is one of the seeds that the policy was tuned on.
var tuningSeed = []uint64{1}

func runFleet(fleet int, load float64, adjust func(e *entry)) result {
	p := guavahitch("guavahitch", adjust)
	p.fleet = fleet
	return measure(p, tuningSeed, load, noFault)
}

func unchanged(*entry) {}

// Twelve entries choose by the same late load reports. Without the allowance for unreported requests they all choose
// the same upstream, and the time to the first token grows.
func TestEntriesDoNotHerdOnLateReports(t *testing.T) {
	full := runFleet(12, 0.8, unchanged)
	without := runFleet(12, 0.8, func(e *entry) { e.settings.IgnoreUnreported = true })
	require.Less(t, full.first99, 0.7*without.first99)
}

// Prompts of eight templates go to idle upstreams one after the other. A picker with prefix views sends each template
// to the upstream that has cached it.
func TestPrefixViewsRaiseCacheHits(t *testing.T) {
	hits := func(ignore bool) int {
		picker := routing.NewPicker(routing.Settings{Entry: "entry-1", IgnorePrefixes: ignore})
		picker.Use(table(8))
		lastUpstreams := map[uint64]string{}
		hits := 0
		for n := range 400 {
			template := uint64(n*n+n/3) % 8
			choice, refused := picker.Pick(start, routing.Request{
				Service: "match", PromptTokens: 640, OutputTokens: 50, PrefixHashes: []uint64{100 + template, 200 + template},
			})
			require.Nil(t, refused)
			if lastUpstreams[template] == choice.Upstream.Name {
				hits++
			}
			lastUpstreams[template] = choice.Upstream.Name
			choice.Attempt.Ended(start)
		}
		return hits
	}
	require.Greater(t, hits(false), 380)
	require.Less(t, hits(true), 200)
}

// At a load of 1.5, a single queue for all organisations gives a large share to the organisations with the most
// requests. The fair queue serves each at its max-min fair share.
func TestFairQueueKeepsSharesUnderOverload(t *testing.T) {
	full := runFleet(4, 1.5, unchanged)
	without := runFleet(4, 1.5, func(e *entry) { e.hasSingleQueue = true })
	require.Greater(t, full.minFair, 0.9)
	require.Greater(t, full.answered, 0.95)
	require.Less(t, without.minFair, 0.8)
}

// 40 entries share 12 upstreams, each of which has fewer slots than there are entries. Entries that ignore each other
// serve organisations less fairly.
func TestEntriesShareUnderOverload(t *testing.T) {
	full := runFleet(40, 1.5, unchanged)
	without := runFleet(40, 1.5, func(e *entry) { e.ignoresOtherEntries = true })
	require.Greater(t, full.minFair, without.minFair+0.05)
}

// One upstream takes twice as long for each step as the others and must get fewer calls.
func TestSlowUpstreamGetsLess(t *testing.T) {
	m := simulate(guavahitch("guavahitch", unchanged), 1, 0.8, measureCapacity(1), noFault)
	slow, others := m.engines[0].accepted, 0
	for _, g := range m.engines[1:] {
		others += g.accepted
	}
	require.Less(t, float64(slow), 0.7*float64(others)/(modelUpstreams-1))
}

// rankLoads returns the loads of ranks whose step takes 15 ms and 5 us per token; rank 2 takes twice as long.
func rankLoads(tokens ...int64) *wire.Load {
	load := &wire.Load{Sequence: 1}
	for n, held := range tokens {
		step := 15_000 + 5*held
		if n == 2 {
			step *= 2
		}
		load.Ranks = append(load.Ranks, &wire.RankLoad{Rank: int32(n), RunningTokens: held, StepUs: step})
	}
	return load
}

// fillRanks dispatches 400 requests of 200 tokens to one upstream with the given tokens on its ranks and returns the
// tokens on each rank afterwards.
func fillRanks(t *testing.T, tokens ...int64) []int64 {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	u := upstream("a")
	u.Ranks, u.Capacity = len(tokens), 400
	picker.Use(routing.Table{}.With(u))
	picker.Observe(start, "a", 1, rankLoads(tokens...))
	for range 400 {
		choice, refused := picker.Pick(start.Add(time.Second), routing.Request{Service: "match", PromptTokens: 100, OutputTokens: 100})
		require.Nil(t, refused)
		tokens[choice.Rank] += 200
	}
	return tokens
}

func TestSlowRankGetsLess(t *testing.T) {
	held := fillRanks(t, 1000, 1000, 1000, 1000)
	require.InDelta(t, 0.5, float64(held[2])/float64(held[0]), 0.05)
	require.InDelta(t, held[0], held[3], 200)
}

func TestLoadedRankIsNotTakenForASlowOne(t *testing.T) {
	held := fillRanks(t, 500, 9000, 3000, 6000, 200, 4000)
	require.InDelta(t, held[0], held[1], 200, "unequal loads are balanced")
	require.InDelta(t, held[4], held[5], 200)
	require.Less(t, held[2], held[0]*6/10, "the slow rank is still recognised")
}

// Requests that are sent after a load report was sampled are missing from it and must count on top of it.
func TestOwnWorkOnRanksCountsAtOnceBesideReports(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	u := upstream("a")
	u.Ranks, u.Capacity = 4, 400
	picker.Use(routing.Table{}.With(u))
	request := routing.Request{Service: "match", PromptTokens: 100, OutputTokens: 100}
	counts := make([]int, 4)
	for range 8 {
		choice, _ := picker.Pick(start.Add(time.Second), request)
		counts[choice.Rank]++
	}
	load := &wire.Load{Sequence: 1}
	for n := range int32(4) {
		load.Ranks = append(load.Ranks, &wire.RankLoad{Rank: n, RunningTokens: 5000, StepUs: 20_000})
	}
	picker.Observe(start, "a", 1, load)
	for range 8 {
		choice, _ := picker.Pick(start.Add(time.Second), request)
		counts[choice.Rank]++
	}
	require.Equal(t, []int{4, 4, 4, 4}, counts)
}

func TestEventGapLowersPrefixConfidence(t *testing.T) {
	hashes := []uint64{11, 22, 33, 44}
	request := routing.Request{Service: "match", PromptTokens: 400, PrefixHashes: hashes}
	cached := func(picker *routing.Picker) int {
		choice, refused := picker.Pick(start, request)
		require.Nil(t, refused)
		choice.Attempt.Ended(start)
		return choice.CachedTokens
	}
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(routing.Table{}.With(upstream("a")))
	event := routing.PrefixEvent{Upstream: "a", Epoch: 1, Sequence: 1, Stored: hashes}
	picker.ObservePrefix(event)
	require.Equal(t, 4*routing.BlockTokens, cached(picker))

	picker.ObservePrefix(routing.PrefixEvent{Upstream: "a", Epoch: 1, Sequence: 9})
	doubtful := cached(picker)
	require.Less(t, doubtful, 4*routing.BlockTokens)
	require.Positive(t, doubtful, "a gap does not empty the view")

	for n := range uint64(200) {
		picker.ObservePrefix(routing.PrefixEvent{Upstream: "a", Epoch: 1, Sequence: 10 + n})
	}
	require.Greater(t, cached(picker), doubtful, "events without a gap restore the confidence")

	picker.ObservePrefix(routing.PrefixEvent{Upstream: "a", Epoch: 1, Sequence: 5, Removed: hashes[1:2]})
	require.LessOrEqual(t, cached(picker), routing.BlockTokens, "a late event still removes")
	picker.ObservePrefix(routing.PrefixEvent{Upstream: "a", Epoch: 2, Sequence: 1, Cleared: true})
	require.Positive(t, cached(picker), "another epoch's event is dropped")
}

// A third of the upstreams is lost under full load. The requests that move to the others must not exceed their
// capacity and overcommit.
func TestDomainLossDoesNotOverfillUpstreams(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	whole := routing.Table{}
	var lost []string
	for n := range 12 {
		u := upstream(fmt.Sprint("upstream-", n))
		u.FailureDomain = fmt.Sprint("domain-", n%3)
		whole = whole.With(u)
		if n%3 == 0 {
			lost = append(lost, u.Name)
		}
	}
	picker.Use(whole)
	held := map[string]int{}
	fill := func() {
		for {
			choice, refused := picker.Pick(start, routing.Request{Service: "match"})
			if refused != nil {
				require.Equal(t, "no-room", refused.Reason)
				require.Positive(t, refused.RetryAfter)
				return
			}
			held[choice.Upstream.Name]++
		}
	}
	fill()
	picker.Use(whole.Without(lost...))
	fill()
	for name, n := range held {
		require.LessOrEqual(t, n, 4+routing.DefaultOvercommit, name)
	}
}

func TestOwnFailureDomainIsPreferredAtEqualCost(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1", FailureDomain: "levis"})
	far, near := upstream("a"), upstream("b")
	far.FailureDomain, near.FailureDomain = "rimouski", "levis"
	picker.Use(routing.Table{}.With(far, near))
	for range 10 {
		choice, _ := picker.Pick(start, routing.Request{Service: "match"})
		require.Equal(t, "b", choice.Upstream.Name)
		choice.Attempt.Ended(start)
	}
	for range 2 * 4 {
		picker.Pick(start, routing.Request{Service: "match"})
	}
	_, refused := picker.Pick(start, routing.Request{Service: "match"})
	require.Nil(t, refused, "the other domain is used when the own one is full")
}

func TestRepeatedFailuresTripAnUpstream(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(routing.Table{}.With(upstream("a"), upstream("b")))
	failTwice(t, picker, "a")
	for range 4 {
		choice, refused := picker.Pick(start, routing.Request{Service: "match"})
		require.Nil(t, refused)
		require.Equal(t, "b", choice.Upstream.Name, "an excluded upstream gets nothing while another one is available")
	}
	choice, refused := picker.Pick(start.Add(time.Second), routing.Request{Service: "match"})
	require.Nil(t, refused)
	require.Equal(t, "a", choice.Upstream.Name, "after a while the emptier one is chosen again")
}

// Guards against refusing all requests of a service for as long as failures exclude each of its upstreams.
func TestWhenFailuresExcludeAllUpstreamsOneIsTried(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(routing.Table{}.With(upstream("a"), upstream("b")))
	failTwice(t, picker, "a")
	failTwice(t, picker, "b")
	_, refused := picker.Pick(start, routing.Request{Service: "match"})
	require.Nil(t, refused)
	picker.Use(routing.Table{}.With(upstream("a").WithDraining(true), upstream("b").WithDraining(true)))
	_, refused = picker.Pick(start, routing.Request{Service: "match"})
	require.Equal(t, "no-upstream", refused.Reason, "one that drains is never tried")
}

func TestDrainingUpstreamIsNotChosen(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(routing.Table{}.With(upstream("a")))
	choice, refused := picker.Pick(start, routing.Request{Service: "match"})
	require.Nil(t, refused)
	choice.Attempt.Draining(start)
	_, refused = picker.Pick(start.Add(time.Minute), routing.Request{Service: "match"})
	require.Equal(t, "no-upstream", refused.Reason)
	restarted := upstream("a")
	restarted.Epoch++
	picker.Use(routing.Table{}.With(restarted))
	_, refused = picker.Pick(start.Add(time.Minute), routing.Request{Service: "match"})
	require.Nil(t, refused, "the restarted upstream has another epoch")
}

// failTwice makes two attempts at the named upstream fail.
func failTwice(t *testing.T, picker *routing.Picker, name string) {
	for failed := 0; failed < 2; {
		choice, refused := picker.Pick(start, routing.Request{Service: "match"})
		require.Nil(t, refused)
		if choice.Upstream.Name != name {
			defer choice.Attempt.Ended(start)
			continue
		}
		choice.Attempt.Failed(start)
		failed++
	}
}

func TestTrialsWithOneKeyUseOneUpstream(t *testing.T) {
	first, second := routing.NewPicker(routing.Settings{Entry: "entry-1"}), routing.NewPicker(routing.Settings{Entry: "entry-2"})
	first.Use(table(100))
	second.Use(table(100))
	for key := range uint64(50) {
		request := routing.Request{Service: "match", Alone: true, AloneKey: key / 2, PrefixHashes: []uint64{key}}
		a, refused := first.Pick(start, request)
		require.Nil(t, refused)
		b, refused := second.Pick(start, request)
		require.Nil(t, refused)
		require.Equal(t, a.Upstream.Name, b.Upstream.Name)
	}
}

func TestSubsetsAreEvenAndStable(t *testing.T) {
	var names []string
	for n := range 760 {
		names = append(names, fmt.Sprint("upstream-", n))
	}
	held := map[string]int{}
	moved := 0
	for n := range 410 {
		entry := fmt.Sprint("entry-", n)
		before := routing.Subset(entry, names, routing.DefaultSubset)
		after := routing.Subset(entry, names[1:], routing.DefaultSubset)
		for i := range before {
			held[before[i]]++
			if before[i] == names[0] {
				moved++
			} else {
				require.Contains(t, after, before[i])
			}
		}
	}
	for _, n := range held {
		require.Less(t, n, 30)
	}
	require.Equal(t, held[names[0]], moved)
}

// Random sequences of tables, load reports and requests. A choice must never violate the table lease, the membership
// lease, the epoch, draining or the exclusion of an upstream.
func TestPickRespectsLeaseEpochDrainAndExclusion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		picker := routing.NewPicker(routing.Settings{Entry: "entry-1", Seed: rapid.Uint64().Draw(t, "seed"), Subset: 3})
		current := routing.Table{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint("upstream-", rapid.IntRange(0, 4).Draw(t, "upstream"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				u := upstream(name).WithDraining(rapid.Bool().Draw(t, "draining"))
				u.Epoch = rapid.Uint64Range(1, 3).Draw(t, "epoch")
				u = u.WithExpires(now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "lease")) * time.Millisecond))
				current = current.With(u).WithLease(now.Add(time.Second))
				picker.Use(current)
			case 1:
				current = current.Without(name)
				picker.Use(current)
			case 2:
				load := &wire.Load{Running: int32(rapid.IntRange(0, 8).Draw(t, "running")), Sequence: rapid.Uint64Range(0, 9).Draw(t, "sequence")}
				picker.Observe(now.Add(-time.Second/2), name, rapid.Uint64Range(1, 3).Draw(t, "of"), load)
			default:
				request := routing.Request{Service: "match", Exclude: []string{name}, Alone: rapid.Bool().Draw(t, "alone")}
				choice, refused := picker.Pick(now, request)
				if refused != nil {
					require.Equal(t, outcome.NotRun, refused.Outcome)
					require.Positive(t, refused.RetryAfter)
					continue
				}
				require.True(t, now.Before(current.Lease()))
				u, ok := current.Upstream(choice.Upstream.Name)
				require.True(t, ok)
				require.True(t, u.AcceptsWork(now))
				require.Equal(t, u.Epoch, choice.Upstream.Epoch)
				require.NotEqual(t, name, u.Name)
			}
		}
	})
}

func TestPickerIsSafeForConcurrentUse(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1", Overcommit: -1})
	picker.Use(table(20))
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for n := range 200 {
				now := start.Add(time.Duration(n) * time.Millisecond)
				choice, refused := picker.Pick(now, routing.Request{Service: "match", PrefixHashes: []uint64{uint64(n + 1)}})
				if refused != nil {
					continue
				}
				picker.Observe(now, choice.Upstream.Name, 1, &wire.Load{Running: int32(worker), Capacity: 16})
				choice.Attempt.FirstToken(now)
				choice.Attempt.Tokens(now.Add(time.Millisecond), 3)
				choice.Attempt.Ended(now.Add(time.Second))
				choice.Attempt.Failed(now.Add(time.Second))
			}
		})
	}
	for n := range 50 {
		picker.Use(table(20 - n%5))
	}
	group.Wait()
	require.True(t, picker.HasRoom(start.Add(time.Minute), "match"))
}

// An upstream that accepts requests and then stays silent has little load by its reports, and must still not attract
// further requests.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(routing.Table{}.With(upstream("a"), upstream("b")))
	request := routing.Request{Service: "match", PromptTokens: 100, OutputTokens: 10}
	silent, _ := picker.Pick(start, request)
	now := start
	answer := func() string {
		now = now.Add(100 * time.Millisecond)
		choice, refused := picker.Pick(now, request)
		require.Nil(t, refused)
		if choice.Upstream.Name != silent.Upstream.Name {
			choice.Attempt.FirstToken(now.Add(20 * time.Millisecond))
		}
		choice.Attempt.Ended(now.Add(50 * time.Millisecond))
		return choice.Upstream.Name
	}
	for range 30 {
		require.NotEqual(t, silent.Upstream.Name, answer())
	}
	silent.Attempt.Ended(now)
	for range 25 {
		require.NotEqual(t, silent.Upstream.Name, answer(), "the end of its cancelled attempt does not make it available")
	}
	now = now.Add(time.Second)
	names := map[string]bool{}
	for range 50 {
		names[answer()] = true
	}
	require.Contains(t, names, silent.Upstream.Name, "it is chosen again after its exclusion")
}
