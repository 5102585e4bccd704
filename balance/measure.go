package balance

import "guavahitch.example/guavahitch/expertmap"

// Measure returns how even a map is under the given loads and the speeds of the group. Each layer waits for its
// busiest rank, so the time of a step is the sum over the layers of the busiest rank's time. Lost ranks count neither
// for the mean nor as the busiest.
func Measure(m expertmap.Map, load []float64, group Group) Figures {
	return NewMeter(m, group).Measure(load)
}

// Meter measures one map under many loads.
type Meter struct {
	shape      expertmap.Shape
	placed     []int16
	shares     []float64
	cost       []float64
	aliveRanks float64
	speed      float64
}

// NewMeter returns a meter for a map on the ranks of a group.
func NewMeter(m expertmap.Map, group Group) *Meter {
	meter := &Meter{shape: m.Shape(), placed: m.Placed(), shares: m.Shares(), speed: group.totalSpeed()}
	for _, speed := range group.Speeds {
		cost := 0.0
		if speed > 0 {
			cost = 1 / speed
			meter.aliveRanks++
		}
		meter.cost = append(meter.cost, cost)
	}
	return meter
}

// Measure returns the figures of the map under the given loads, by layer and expert.
func (m *Meter) Measure(load []float64) Figures {
	stepTime, mean := 0.0, 0.0
	n := 0
	for number := range m.shape.Layers {
		ofLayer := load[number*m.shape.Experts:]
		busiest := 0.0
		for r := range m.shape.Ranks {
			time := 0.0
			for range m.shape.Slots {
				if e := m.placed[n]; e >= 0 {
					time += ofLayer[e] * m.shares[n]
				}
				n++
			}
			time *= m.cost[r]
			mean += time
			busiest = max(busiest, time)
		}
		stepTime += busiest
	}
	mean /= m.aliveRanks
	if mean == 0 {
		return Figures{Skew: 1, Slowdown: 1}
	}
	return Figures{Skew: stepTime / mean, Slowdown: stepTime / (sum(load) / m.speed)}
}

// RankTimes returns the time of each rank under the given loads, summed over the layers.
func (m *Meter) RankTimes(load []float64) []float64 {
	times := make([]float64, m.shape.Ranks)
	for n, e := range m.placed {
		if e >= 0 {
			r := n / m.shape.Slots % m.shape.Ranks
			number := n / m.shape.LayerSize()
			times[r] += load[number*m.shape.Experts+int(e)] * m.shares[n] * m.cost[r]
		}
	}
	return times
}
