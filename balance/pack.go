package balance

import (
	"slices"
	"sort"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/expertmap"
)

// Pack returns a map made from nothing but the loads: each spare slot goes to the expert whose replicas are
// the most loaded, and the replicas are dealt out, the most loaded first, each to the rank that is earliest
// with it. Slots keep their expert where the present map already has it on the same rank. Pack is how a
// group without a useful map gets its first one, and what Planner is compared with.
func Pack(present expertmap.Map, load []float64, group Group) (expertmap.Map, error) {
	shape := present.Shape()
	if err := group.Validate(shape); err != nil {
		return expertmap.Map{}, err
	}
	if len(load) != shape.Layers*shape.Experts {
		return expertmap.Map{}, eris.Errorf("pack: load has %d entries, the map needs %d", len(load), shape.Layers*shape.Experts)
	}
	p := &packer{shape: shape, group: group, state: newLayer(shape, group.Speeds)}
	before := present.Placed()
	placed := make([]int16, 0, shape.Size())
	for number := range shape.Layers {
		if err := p.layer(number, load[number*shape.Experts:(number+1)*shape.Experts]); err != nil {
			return expertmap.Map{}, err
		}
		p.align(before[len(placed) : len(placed)+shape.LayerSize()])
		placed = append(placed, p.placed...)
	}
	return present.WithVersion(present.Version()+1).WithPlacement(placed, nil)
}

// packer packs one layer after the other.
type packer struct {
	shape  expertmap.Shape
	group  Group
	state  *layer
	placed []int16
	room   []int
}

// layer packs one layer into placed.
func (p *packer) layer(number int, load []float64) error {
	total := p.setRoom(number)
	if total < p.shape.Experts {
		return eris.Errorf("pack: layer %d has room for %d replicas of %d experts", number, total, p.shape.Experts)
	}
	counts := replicaCounts(load, total, p.aliveRanks())
	p.placed = make([]int16, p.shape.LayerSize())
	for n := range p.placed {
		p.placed[n] = expertmap.Empty
	}
	times := make([]float64, p.shape.Ranks)
	for _, e := range byPart(load, counts) {
		part := load[e] / float64(counts[e])
		for range counts[e] {
			p.deal(int16(e), part, times)
		}
	}
	return nil
}

// setRoom sets how many replicas each rank may hold in a layer, and returns the sum. Memory that does not
// fill all slots is spread evenly over the layers, offset from rank to rank.
func (p *packer) setRoom(number int) int {
	p.room = make([]int, p.shape.Ranks)
	total := 0
	for r := range p.room {
		p.room[r] = p.shape.Slots
		if p.group.Speeds[r] == 0 {
			p.room[r] = 0
		} else if p.group.Capacity != nil {
			whole, rest := p.group.Capacity[r]/p.shape.Layers, p.group.Capacity[r]%p.shape.Layers
			if (number+r)%p.shape.Layers < rest {
				whole++
			}
			p.room[r] = min(p.room[r], whole)
		}
		total += p.room[r]
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

// replicaCounts gives each expert one replica and the rest to those with the most load a replica; no expert
// has more replicas than there are ranks.
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

// byPart returns the experts in falling order of their load a replica.
func byPart(load []float64, counts []int) []int {
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

// deal puts a replica on the rank that is earliest with it. A replica that fits only beside another of the
// same expert is left out, unless it is the first.
func (p *packer) deal(e int16, part float64, times []float64) {
	at, earliest := none, maxTime
	for r := range times {
		if p.room[r] == 0 || slices.Contains(p.row(r), e) {
			continue
		}
		if time := times[r] + part*p.state.cost[r]; time < earliest {
			at, earliest = r, time
		}
	}
	if at == none {
		return
	}
	p.room[at]--
	times[at] = earliest
	row := p.row(at)
	for slot := range row {
		if row[slot] == expertmap.Empty {
			row[slot] = e
			return
		}
	}
}

// row returns the slots of a rank.
func (p *packer) row(rank int) []int16 {
	return p.placed[rank*p.shape.Slots : (rank+1)*p.shape.Slots]
}

// align reorders the slots of each rank so that an expert that stays keeps its slot.
func (p *packer) align(before []int16) {
	for r := range p.shape.Ranks {
		row := p.row(r)
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
