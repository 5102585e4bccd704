package balance

import (
	"slices"
	"sort"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/expertmap"
)

// Pack returns a map made from the loads alone. Each spare slot goes to the expert with the greatest load per
// replica. The replicas are then assigned in decreasing order of load, each to the rank that finishes first with it.
// An expert that the present map already has on the same rank keeps its slot. A group without a useful map gets its
// first one from Pack, and Planner is compared with it.
func Pack(present expertmap.Map, load []float64, group Group) (expertmap.Map, error) {
	shape := present.Shape()
	if err := group.Validate(shape); err != nil {
		return expertmap.Map{}, err
	}
	if len(load) != shape.Layers*shape.Experts {
		return expertmap.Map{}, eris.Errorf("pack: load has %d entries, the map needs %d",
			len(load), shape.Layers*shape.Experts)
	}
	p := &packer{shape: shape, group: group, state: newLayer(shape, group.Speeds)}
	before := present.Placed()
	placed := make([]int16, 0, shape.Size())
	for number := range shape.Layers {
		if err := p.layer(number, load[number*shape.Experts:(number+1)*shape.Experts]); err != nil {
			return expertmap.Map{}, err
		}
		p.keepSlots(before[len(placed) : len(placed)+shape.LayerSize()])
		placed = append(placed, p.placed...)
	}
	return present.WithVersion(present.Version()+1).WithPlacement(placed, nil)
}

// packer packs the layers one after the other.
type packer struct {
	shape     expertmap.Shape
	group     Group
	state     *layer
	placed    []int16
	freeSlots []int
}

// layer packs one layer into placed.
func (p *packer) layer(number int, load []float64) error {
	total := p.setFreeSlots(number)
	if total < p.shape.Experts {
		return eris.Errorf("pack: layer %d has room for %d replicas of %d experts",
			number, total, p.shape.Experts)
	}
	counts := replicaCounts(load, total, p.aliveRanks())
	p.placed = make([]int16, p.shape.LayerSize())
	for n := range p.placed {
		p.placed[n] = expertmap.Empty
	}
	times := make([]float64, p.shape.Ranks)
	for _, e := range byReplicaLoad(load, counts) {
		share := load[e] / float64(counts[e])
		for range counts[e] {
			p.assign(int16(e), share, times)
		}
	}
	return nil
}

// setFreeSlots sets how many replicas each rank may hold in a layer, and returns the sum. A capacity below the number
// of slots is spread evenly over the layers. Where it does not divide evenly, the layers that get one more replica
// differ from rank to rank.
func (p *packer) setFreeSlots(number int) int {
	p.freeSlots = make([]int, p.shape.Ranks)
	total := 0
	for r := range p.freeSlots {
		p.freeSlots[r] = p.shape.Slots
		if p.group.Speeds[r] == 0 {
			p.freeSlots[r] = 0
		} else if p.group.Capacity != nil {
			whole, rest := p.group.Capacity[r]/p.shape.Layers, p.group.Capacity[r]%p.shape.Layers
			if (number+r)%p.shape.Layers < rest {
				whole++
			}
			p.freeSlots[r] = min(p.freeSlots[r], whole)
		}
		total += p.freeSlots[r]
	}
	return total
}

// aliveRanks returns the number of ranks that are not lost.
func (p *packer) aliveRanks() int {
	alive := 0
	for _, speed := range p.group.Speeds {
		if speed > 0 {
			alive++
		}
	}
	return alive
}

// replicaCounts gives each expert one replica, and each further replica to the expert with the greatest load per
// replica. No expert has more replicas than there are ranks.
func replicaCounts(load []float64, total, ranks int) []int {
	counts := make([]int, len(load))
	for e := range counts {
		counts[e] = 1
	}
	for range total - len(load) {
		at := none
		for e := range load {
			if counts[e] < ranks && (at == none || load[e]/float64(counts[e]) > load[at]/float64(counts[at])) {
				at = e
			}
		}
		if at == none {
			break
		}
		counts[at]++
	}
	return counts
}

// byReplicaLoad returns the experts in decreasing order of their load per replica.
func byReplicaLoad(load []float64, counts []int) []int {
	order := make([]int, len(load))
	for e := range order {
		order[e] = e
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		return load[a]/float64(counts[a]) > load[b]/float64(counts[b])
	})
	return order
}

// assign puts a replica on the rank that finishes first with it. A replica is left out when all ranks with a free
// slot already hold one of the same expert.
func (p *packer) assign(e int16, share float64, times []float64) {
	at, earliest := none, maxTime
	for r := range times {
		if p.freeSlots[r] == 0 || slices.Contains(p.slotsOf(r), e) {
			continue
		}
		if time := times[r] + share*p.state.cost[r]; time < earliest {
			at, earliest = r, time
		}
	}
	if at == none {
		return
	}
	p.freeSlots[at]--
	times[at] = earliest
	row := p.slotsOf(at)
	for slot := range row {
		if row[slot] == expertmap.Empty {
			row[slot] = e
			return
		}
	}
}

// slotsOf returns the slots of a rank.
func (p *packer) slotsOf(rank int) []int16 {
	return p.placed[rank*p.shape.Slots : (rank+1)*p.shape.Slots]
}

// keepSlots reorders the slots of each rank so that an expert that stays on a rank keeps its slot.
func (p *packer) keepSlots(before []int16) {
	for r := range p.shape.Ranks {
		row := p.slotsOf(r)
		old := before[r*p.shape.Slots : (r+1)*p.shape.Slots]
		for slot, e := range old {
			for from := range row {
				if e != expertmap.Empty && row[from] == e {
					row[from], row[slot] = row[slot], row[from]
				}
			}
		}
	}
}
