package lockstep_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/lockstep"
)

const (
	passTime = 50 * time.Millisecond
	copyTime = 30 * time.Millisecond
	// copySlowdown is the fraction by which passes take longer while a rank copies.
	copySlowdown = 0.15
	// reportLag is the age of the state that a delayed rank reports.
	reportLag = 200 * time.Millisecond
)

type (
	// fakeRank is one engine of a fakeGroup. Versions of its maps: mapping is in use, waiting is being copied, prepared
	// is copied, highest is the highest one ever ordered. content and next describe the maps in use and prepared.
	fakeRank struct {
		fence     uint64
		mapping   uint64
		content   string
		prepared  uint64
		waiting   uint64
		next      string
		highest   uint64
		armed     uint64
		armedStep uint64
		held      uint64
		placement [][]int
		plan      [][]int
		counts    []uint32
	}

	// fakeGroup is a group of engines that run passes together. Depending on its seed it executes orders late or not
	// at all, and leaves them unanswered.
	fakeGroup struct {
		mutex  sync.Mutex
		random *rand.Rand
		shape  lockstep.Shape
		ranks  []*fakeRank
		epoch  uint64
		step   uint64
		isIdle bool
		// lateFraction is the fraction of orders that get no answer. Three quarters of these are executed within
		// maxDelay, the others never.
		lateFraction float64
		maxDelay     time.Duration
		// cutOff holds the ranks that cannot be reached.
		cutOff map[int]bool
		// delayed holds the ranks without a sidecar. A read returns the state that such a rank had before reportLag,
		// without counts, and an order is answered without a state.
		delayed map[int]bool
		// furtherLag is how much older than reportLag the state of a delayed rank is.
		furtherLag time.Duration
		// past holds the states of all ranks after each change, the oldest first.
		past []pastStates
		// demand is how often each expert is chosen in a pass, by set and expert.
		demand [][]uint32
		// splits describes the passes that began while ranks used different maps.
		splits []string
		// expertShare is the fraction of a pass that takes longer in proportion to the skew of the map.
		expertShare float64
		// copyTime is how long a rank takes to copy one expert, after the constant copyTime. Until copiedAt passes take
		// copySlowdown longer.
		copyTime time.Duration
		copiedAt time.Time
		// passes is the number of passes that began in all epochs.
		passes int
		// stalled is the total time for which a hold delayed a pass.
		stalled time.Duration
	}

	// pastStates holds the states of all ranks from a time on.
	pastStates struct {
		since  time.Time
		states []lockstep.State
	}
)

func newFakeGroup(seed uint64, shape lockstep.Shape) *fakeGroup {
	g := &fakeGroup{
		random: rand.New(rand.NewPCG(seed, 7)), shape: shape, epoch: 1, maxDelay: 4 * time.Second,
		cutOff: map[int]bool{}, delayed: map[int]bool{},
	}
	g.form()
	g.shiftDemand()
	g.remember()
	return g
}

// coordinate runs the group and a coordinator of it until the context ends. The settings need no group and no shape.
func (g *fakeGroup) coordinate(ctx context.Context, settings lockstep.Settings, engine lockstep.Engine) {
	settings.Group, settings.Shape = "g", g.shape
	c := lockstep.NewCoordinator(settings, engine, lockstep.NewTokens(1))
	go g.run(ctx)
	go func() { _ = c.Run(ctx) }()
}

// form opens the group in the current epoch with map 0.
func (g *fakeGroup) form() {
	g.ranks = nil
	g.step = 0
	for r := range g.shape.Ranks {
		rank := &fakeRank{content: "0", counts: make([]uint32, g.shape.Sets*g.shape.Experts)}
		for range g.shape.Sets {
			var experts []int
			for e := r; e < g.shape.Experts; e += g.shape.Ranks {
				experts = append(experts, e)
			}
			rank.placement = append(rank.placement, experts)
		}
		g.ranks = append(g.ranks, rank)
	}
}

// remember stores the states of all ranks for later reads of delayed ranks. The caller holds the mutex, or is the only
// user of the group.
func (g *fakeGroup) remember() {
	now := pastStates{since: time.Now()}
	for r := range g.ranks {
		now.states = append(now.states, g.stateOf(r))
	}
	g.past = append(g.past, now)
	for len(g.past) > 1 && time.Since(g.past[1].since) >= reportLag+g.furtherLag {
		g.past = g.past[1:]
	}
}

// pastStateOf returns the state that a rank had before reportLag. The caller holds the mutex.
func (g *fakeGroup) pastStateOf(rank int) lockstep.State {
	g.remember()
	s := g.past[0].states[rank]
	s.MaxAge = reportLag
	return s
}

// shiftDemand draws a new random demand.
func (g *fakeGroup) shiftDemand() {
	g.demand = nil
	for range g.shape.Sets {
		set := make([]uint32, g.shape.Experts)
		for i, e := range g.random.Perm(g.shape.Experts) {
			set[e] = uint32(200 / (i + 1))
		}
		g.demand = append(g.demand, set)
	}
}

// varyDemand changes the demand for each expert by up to a part of it.
func (g *fakeGroup) varyDemand(part float64) {
	for _, set := range g.demand {
		for e := range set {
			set[e] = uint32(float64(set[e]) * (1 + part*(2*g.random.Float64()-1)))
		}
	}
}

// run begins passes until the context ends.
func (g *fakeGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(g.passTime())
		g.pass()
	}
}

// passTime returns the time of the next pass.
func (g *fakeGroup) passTime() time.Duration {
	if g.expertShare == 0 {
		return passTime
	}
	pass := (1 - g.expertShare + g.expertShare*g.skew()) * float64(passTime)
	g.locked(func() {
		if time.Now().Before(g.copiedAt) {
			pass *= 1 + copySlowdown
		}
	})
	return time.Duration(pass)
}

// pass begins the next pass, unless the group is idle or held, and records a split if ranks use different maps.
func (g *fakeGroup) pass() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	defer g.remember()
	if g.isIdle {
		return
	}
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held == next {
			g.stalled += passTime
			return
		}
	}
	g.step = next
	g.passes++
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == next {
			r.mapping, r.content, r.placement = r.armed, r.next, r.plan
			r.armed, r.prepared = 0, 0
		}
	}
	for i, r := range g.ranks {
		if r.content != g.ranks[0].content {
			g.splits = append(g.splits, fmt.Sprintf("pass %d: rank %d on %s, rank 0 on %s", next, i, r.content, g.ranks[0].content))
		}
	}
	for set, experts := range g.demand {
		for e, count := range experts {
			g.ranks[len(g.ranks)-1].counts[set*g.shape.Experts+e] += count
		}
	}
}

// reform closes the group and opens it again in the next epoch. Ranks keep their fencing tokens.
func (g *fakeGroup) reform() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.epoch++
	fences := make([]uint64, len(g.ranks))
	for i, r := range g.ranks {
		fences[i] = r.fence
	}
	g.form()
	for i, r := range g.ranks {
		r.fence = fences[i]
	}
}

func (g *fakeGroup) engine() lockstep.Engine {
	return lockstep.Engine{Read: g.read, Give: g.give}
}

func (g *fakeGroup) read(ctx context.Context, rank int, withCounts, withPlacement bool) (lockstep.State, error) {
	time.Sleep(time.Millisecond)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.cutOff[rank] {
		return lockstep.State{}, eris.New("no answer")
	}
	r := g.ranks[rank]
	s := g.stateOf(rank)
	if g.delayed[rank] {
		s, withCounts = g.pastStateOf(rank), false
	}
	if withCounts {
		s.Counts = slices.Clone(r.counts)
	}
	if withPlacement {
		for _, experts := range r.placement {
			s.Placement = append(s.Placement, slices.Clone(experts))
		}
	}
	return s, ctx.Err()
}

// stateOf returns the state that a rank reports. The caller holds the mutex.
func (g *fakeGroup) stateOf(rank int) lockstep.State {
	r := g.ranks[rank]
	return lockstep.State{
		Born: 1, Epoch: g.epoch, IsOpen: true, Rank: rank, Size: len(g.ranks), Step: g.step,
		MapVersion: r.mapping, PreparedVersion: r.prepared, ArmedVersion: r.armed, ArmedStep: r.armedStep, HeldStep: r.held, Pace: 1, Running: g.running(),
	}
}

// running returns the number of running requests of each rank. The caller holds the mutex.
func (g *fakeGroup) running() int {
	if g.isIdle {
		return 0
	}
	return 1
}

func (g *fakeGroup) give(_ context.Context, rank int, order lockstep.Order) (*lockstep.State, error) {
	time.Sleep(time.Millisecond)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.cutOff[rank] {
		return nil, eris.New("no answer")
	}
	if g.random.Float64() >= g.lateFraction {
		if err := g.execute(rank, order); err != nil {
			return nil, err
		}
		if g.delayed[rank] {
			return nil, nil
		}
		after := g.stateOf(rank)
		return &after, nil
	}
	if g.random.IntN(4) > 0 {
		late := time.Duration(g.random.Int64N(int64(g.maxDelay)))
		time.AfterFunc(late, func() {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			_ = g.execute(rank, order)
		})
	}
	return nil, eris.New("no answer")
}

// execute applies an order to a rank. The caller holds the mutex.
func (g *fakeGroup) execute(rank int, o lockstep.Order) error {
	r := g.ranks[rank]
	if o.Fence < r.fence {
		return lockstep.ErrFenced
	}
	r.fence = o.Fence
	defer g.remember()
	if o.Epoch != g.epoch {
		return lockstep.ErrInvalidState
	}
	switch o.Kind {
	case lockstep.Prepare:
		return g.prepare(rank, o)
	case lockstep.Arm:
		if r.armed == o.Version && r.armedStep == o.Step {
			return nil
		}
		if r.prepared != o.Version || o.Step <= g.step {
			return lockstep.ErrInvalidState
		}
		r.armed, r.armedStep = o.Version, o.Step
	case lockstep.Disarm:
		if r.mapping == o.Version {
			return lockstep.ErrInvalidState
		}
		if r.armed == o.Version {
			r.armed = 0
		}
	case lockstep.Hold:
		if r.held == o.Step {
			return nil
		}
		if r.held != 0 || o.Step <= g.step {
			return lockstep.ErrInvalidState
		}
		r.held = o.Step
	case lockstep.Release:
		if r.held == o.Step {
			r.held = 0
		}
	}
	return nil
}

func (g *fakeGroup) prepare(rank int, o lockstep.Order) error {
	r := g.ranks[rank]
	if o.Version <= r.highest || r.armed != 0 {
		return lockstep.ErrInvalidState
	}
	var plan [][]int
	took := copyTime
	for set, placement := range o.Map {
		took += time.Duration(countNew(placement[rank], r.placement[set])) * g.copyTime
		if countNew(placement[rank], r.placement[set]) > g.shape.StagingSlots || len(placement[rank]) > g.shape.Slots {
			return lockstep.ErrInvalidState
		}
		plan = append(plan, placement[rank])
	}
	r.highest, r.waiting, r.prepared = o.Version, o.Version, 0
	if ready := time.Now().Add(took); g.copyTime > 0 && ready.After(g.copiedAt) {
		g.copiedAt = ready
	}
	time.AfterFunc(took, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if r.waiting == o.Version {
			r.prepared, r.next, r.plan = o.Version, fmt.Sprint(o.Version, o.Map), plan
		}
	})
	return nil
}

// countNew returns how many experts of next are not held.
func countNew(next []int, held []int) int {
	count := 0
	for _, e := range next {
		if !slices.Contains(held, e) {
			count++
		}
	}
	return count
}

// skew returns the load of the busiest rank divided by the mean load, averaged over all sets.
func (g *fakeGroup) skew() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	total := 0.0
	for set, demand := range g.demand {
		placement := make(balance.Placement, len(g.ranks))
		for i, r := range g.ranks {
			placement[i] = r.placement[set]
		}
		load := make([]float64, len(demand))
		for e, count := range demand {
			load[e] = float64(count)
		}
		total += balance.Skew(placement, load, nil) / float64(len(g.demand))
	}
	return total
}
