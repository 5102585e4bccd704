package balance

import (
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/expertmap"
)

type (
	// Planner searches better maps for a group. It keeps no state between plans.
	Planner struct {
		// Costs converts moves and switches into bytes and time.
		Costs Costs
		// MovesPerLayer bounds the improvements of one layer in one plan: a new replica, which is one move, or a swap
		// of two replicas, which is two. Moves that a lost rank forces are not bounded.
		MovesPerLayer int
		// EvenShares gives all replicas of an expert equal shares of its tokens, for engines that cannot weigh them.
		EvenShares bool
	}

	// Costs are the costs of a change of map.
	Costs struct {
		// ExpertBytes is the size of one expert of one layer.
		ExpertBytes int64
		// StoreRate is the group's share of the weight store's rate, in bytes a second.
		StoreRate float64
		// Pause is how long all ranks wait for a switch. PausePerMove is added for each replica that the rank with
		// the most new replicas takes into use.
		Pause        time.Duration
		PausePerMove time.Duration
	}

	// Plan is the result of a search: the figures of the present map, and a curve of options that move more and more
	// replicas.
	Plan struct {
		// Present is how even the present map is under the estimated load.
		Present Figures
		// Options are ordered by their number of moves. The first option changes weights and makes only the moves
		// that a lost rank forces. It is the only option when no other move gains anything.
		Options []Option

		present expertmap.Map
		planner Planner
		group   Group
		load    []float64
		layers  [][]step
		forced  []int
		points  []point
	}

	// Option is one point of a plan's curve.
	Option struct {
		Moves int
		Bytes int64
		// LoadTime is how long loading from the weight store takes; Pause is how long all ranks wait.
		LoadTime time.Duration
		Pause    time.Duration
		// Slowdown is the estimated time of a step over that of perfectly even ranks.
		Slowdown float64
	}

	// Figures measure how even a map is under given loads.
	Figures struct {
		// Skew is the time of the busiest rank over the mean of the ranks. Each layer waits for its busiest rank.
		Skew float64
		// Slowdown is the time of a step over that of perfectly even ranks.
		Slowdown float64
	}
)

// NewPlanner returns a planner with the default MovesPerLayer.
func NewPlanner(costs Costs) Planner {
	return Planner{Costs: costs, MovesPerLayer: defaultMovesPerLayer}
}

// defaultMovesPerLayer is the MovesPerLayer of NewPlanner.
const defaultMovesPerLayer = 32

// Plan searches maps that are more even than the present one. Load holds the estimated tokens of each expert, by
// layer and expert, in any unit.
func (p Planner) Plan(present expertmap.Map, load []float64, group Group) (*Plan, error) {
	shape := present.Shape()
	if err := group.Validate(shape); err != nil {
		return nil, err
	}
	if len(load) != shape.Layers*shape.Experts {
		return nil, eris.Errorf("plan: load has %d entries, the map needs %d", len(load), shape.Layers*shape.Experts)
	}
	if group.totalSpeed() == 0 {
		return nil, eris.New("plan: all ranks of the group are lost")
	}
	plan := &Plan{
		Present: Measure(present, load, group),
		present: present, planner: p, group: group, load: load,
		layers: make([][]step, shape.Layers),
		forced: make([]int, shape.Layers),
	}
	if err := plan.search(); err != nil {
		return nil, err
	}
	return plan, nil
}

// search finds the moves of each layer and combines them into one curve.
func (p *Plan) search() error {
	shape := p.present.Shape()
	s := newSearch(shape, p.group, p.freeSlots(), p.planner.EvenShares)
	placed, shares := p.present.Placed(), p.present.Shares()
	loading := make([]int, shape.Ranks)
	var segments []segment
	startTime, forcedMoves := 0.0, 0
	for number := range shape.Layers {
		ideal := p.loadLayer(s.state, number, placed, shares)
		steps, ok := s.repair(nil, loading)
		if !ok {
			return eris.Errorf("plan: no slot is left for an expert of layer %d", number)
		}
		p.forced[number] = len(steps)
		forcedMoves += len(steps)
		p.divideLoads(s.state)
		layerTime := s.state.maxRankTime()
		startTime += layerTime
		if ideal > 0 {
			steps = s.improve(steps, p.planner.MovesPerLayer, ideal)
		}
		p.layers[number] = steps
		segments = append(segments, segmentsOf(number, layerTime, p.forced[number], steps)...)
	}
	p.points = curveOf(segments, p.layers, loading, shape.Slots, p.group.Staging, forcedMoves)
	p.addOptions(startTime)
	return nil
}

// loadLayer resets the state to a layer of the present map and returns the time of perfectly even ranks.
func (p *Plan) loadLayer(l *layer, number int, placed []int16, shares []float64) float64 {
	shape := p.present.Shape()
	from, to := number*shape.LayerSize(), (number+1)*shape.LayerSize()
	load := p.load[number*shape.Experts : (number+1)*shape.Experts]
	if p.planner.EvenShares {
		l.reset(placed[from:to], nil, load)
	} else {
		l.reset(placed[from:to], shares[from:to], load)
	}
	return sum(load) / p.group.totalSpeed()
}

// divideLoads divides the load of each expert among its replicas.
func (p *Plan) divideLoads(l *layer) {
	if p.planner.EvenShares {
		for e := range l.first {
			l.divide(e, nil)
		}
		return
	}
	l.levelAll(maxLevelRounds)
}

// freeSlots returns how many more replicas each rank's memory can hold.
func (p *Plan) freeSlots() []int {
	shape := p.present.Shape()
	free := make([]int, shape.Ranks)
	for r := range free {
		free[r] = shape.Layers * shape.Slots
		if p.group.Capacity != nil {
			free[r] = min(free[r], p.group.Capacity[r])
		}
	}
	for n, e := range p.present.Placed() {
		if e != expertmap.Empty {
			free[n/shape.Slots%shape.Ranks]--
		}
	}
	return free
}

// addOptions converts the points of the curve into options with their costs. StartTime is the time of a step before
// any optional move.
func (p *Plan) addOptions(startTime float64) {
	ideal := sum(p.load) / p.group.totalSpeed()
	for _, pt := range p.points {
		option := p.planner.Costs.option(pt.moves, pt.maxLoads)
		option.Slowdown = 1
		if ideal > 0 {
			option.Slowdown = (startTime - pt.gain) / ideal
		}
		p.Options = append(p.Options, option)
	}
}

// option returns the costs of a switch. MaxLoads is the largest number of replicas that one rank loads.
func (c Costs) option(moves, maxLoads int) Option {
	size := int64(moves) * c.ExpertBytes
	return Option{
		Moves: moves, Bytes: size,
		LoadTime: time.Duration(float64(size) / c.StoreRate * float64(time.Second)),
		Pause:    c.Pause + time.Duration(maxLoads)*c.PausePerMove,
	}
}

// Build returns the map of an option, one version above the present one.
func (p *Plan) Build(option int) (expertmap.Map, error) {
	if option < 0 || option >= len(p.points) {
		return expertmap.Map{}, eris.Errorf("plan: option %d of %d",
			option, len(p.points))
	}
	shape := p.present.Shape()
	take := append([]int(nil), p.forced...)
	for _, pt := range p.points[1 : option+1] {
		take[pt.segment.layer] = pt.segment.steps
	}
	s := newSearch(shape, p.group, p.freeSlots(), p.planner.EvenShares)
	placed, shares := p.present.Placed(), p.present.Shares()
	weights := make([]uint16, len(placed))
	for number := range shape.Layers {
		p.loadLayer(s.state, number, placed, shares)
		for _, st := range p.layers[number][:take[number]] {
			s.place(int(st.slot), st.expert)
		}
		p.divideLoads(s.state)
		from := number * shape.LayerSize()
		copy(placed[from:], s.state.held)
		s.state.weights(weights[from:from+shape.LayerSize()], p.planner.EvenShares)
	}
	return p.present.WithVersion(p.present.Version()+1).WithPlacement(placed, weights)
}

// weights writes the weight of each replica among the replicas of its expert.
func (l *layer) weights(into []uint16, even bool) {
	for n, e := range l.held {
		switch {
		case e == expertmap.Empty:
			into[n] = 0
		case even || l.load[e] <= 0 || l.count[e] == 1:
			into[n] = expertmap.FullWeight
		default:
			into[n] = uint16(l.replicaLoad[n]/l.load[e]*expertmap.FullWeight + 0.5)
		}
	}
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// Reweight returns the map with the weights of the replicas changed for the given loads and no replica moved. Slots
// of lost ranks are emptied. It returns an error if an expert has replicas on lost ranks only.
func (p Planner) Reweight(m expertmap.Map, load []float64, group Group) (expertmap.Map, error) {
	if err := group.Validate(m.Shape()); err != nil {
		return expertmap.Map{}, err
	}
	plan := &Plan{present: m, planner: p, group: group, load: load, layers: make([][]step, m.Shape().Layers)}
	plan.forced = make([]int, m.Shape().Layers)
	plan.points = []point{{}}
	return plan.Build(0)
}
