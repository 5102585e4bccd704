// Package expertmap holds the expert map of a group: which expert has a replica in which slot of which rank, for each
// layer, and how the tokens of an expert are divided among its replicas. All ranks of a group use the same map in
// each step. The planner (package balance) makes new maps, the switch protocol sends them in encoded form, and Moves
// returns the replicas that ranks have to load to go from one map to the next.
package expertmap

import (
	"github.com/rotisserie/eris"
)

const (
	// Empty marks a slot that holds no expert.
	Empty = -1
	// FullWeight is the greatest weight. A replica that takes all tokens of its expert has it, and so have all
	// replicas of an expert whose tokens are divided evenly.
	FullWeight = 65535
)

type (
	// Map is an immutable expert map. The zero value holds no map; New and Decode make one.
	Map struct {
		group   string
		version uint64
		shape   Shape
		// placed and weights are indexed by Shape.Index and do not change once the map is made.
		placed  []int16
		weights []uint16
	}

	// Place is the position of a replica.
	Place struct {
		Rank int
		Slot int
	}
)

// New returns version 1 of a map. It assigns the experts to the ranks round-robin, one replica each, and fills the
// remaining slots with further replicas in the same order.
func New(group string, shape Shape) (Map, error) {
	if err := shape.Validate(); err != nil {
		return Map{}, err
	}
	placed := make([]int16, shape.Size())
	for layer := range shape.Layers {
		for n := range shape.LayerSize() {
			rank, slot := n%shape.Ranks, n/shape.Ranks
			placed[shape.Index(layer, rank, slot)] = initialExpert(shape, rank, slot)
		}
	}
	m := Map{group: group, version: 1, shape: shape}
	return m.WithPlacement(placed, nil)
}

// initialExpert returns the expert that New puts in a slot. No rank gets two replicas of one expert.
func initialExpert(shape Shape, rank, slot int) int16 {
	n := slot*shape.Ranks + rank
	if slot >= shape.Experts {
		return Empty
	}
	return int16((n + n/lcm(shape.Ranks, shape.Experts)) % shape.Experts)
}

// lcm returns the least common multiple.
func lcm(a, b int) int {
	x, y := a, b
	for y != 0 {
		x, y = y, x%y
	}
	return a / x * b
}

// Group returns the name of the group.
func (m Map) Group() string { return m.group }

// Version returns the version. A map with a higher version replaces one with a lower version.
func (m Map) Version() uint64 { return m.version }

// Shape returns the size of the map.
func (m Map) Shape() Shape { return m.shape }

// IsZero reports whether the value is the zero Map.
func (m Map) IsZero() bool { return m.placed == nil }

// Expert returns the expert in a slot, or Empty.
func (m Map) Expert(layer, rank, slot int) int {
	return int(m.placed[m.shape.Index(layer, rank, slot)])
}

// Weight returns the weight of the replica in a slot, relative to the other replicas of its expert.
func (m Map) Weight(layer, rank, slot int) int {
	return int(m.weights[m.shape.Index(layer, rank, slot)])
}

// Placed returns a copy of the experts of all slots, in the order of Shape.Index.
func (m Map) Placed() []int16 { return append([]int16(nil), m.placed...) }

// Weights returns a copy of the weights of all slots, in the order of Shape.Index.
func (m Map) Weights() []uint16 { return append([]uint16(nil), m.weights...) }

// Replicas returns the places of an expert's replicas in a layer, ordered by rank and slot.
func (m Map) Replicas(layer, expert int) []Place {
	var places []Place
	for rank := range m.shape.Ranks {
		for slot := range m.shape.Slots {
			if m.Expert(layer, rank, slot) == expert {
				places = append(places, Place{Rank: rank, Slot: slot})
			}
		}
	}
	return places
}

// Shares returns, for each slot in the order of Shape.Index, the fraction of its expert's tokens that its replica
// takes. The shares of one expert in one layer add up to 1. Empty slots have 0.
func (m Map) Shares() []float64 {
	shares := make([]float64, len(m.placed))
	sums := make([]float64, m.shape.Experts)
	size := m.shape.LayerSize()
	for start := 0; start < len(m.placed); start += size {
		clear(sums)
		for n := start; n < start+size; n++ {
			if e := m.placed[n]; e >= 0 {
				sums[e] += float64(m.weights[n])
			}
		}
		for n := start; n < start+size; n++ {
			if e := m.placed[n]; e >= 0 {
				shares[n] = float64(m.weights[n]) / sums[e]
			}
		}
	}
	return shares
}

// WithVersion returns the map with another version.
func (m Map) WithVersion(version uint64) Map {
	m.version = version
	return m
}

// WithGroup returns the map with another group name.
func (m Map) WithGroup(group string) Map {
	m.group = group
	return m
}

// WithPlacement returns a map of the same group, version and shape with other experts in its slots. Nil weights
// divide the tokens of each expert evenly. The slices are copied. It returns an error when a layer does not place
// every expert.
func (m Map) WithPlacement(placed []int16, weights []uint16) (Map, error) {
	m.placed = append([]int16(nil), placed...)
	m.weights = append([]uint16(nil), weights...)
	if weights == nil {
		m.weights = evenWeights(m.placed)
	}
	return m, m.validate()
}

// evenWeights returns the same weight for every replica.
func evenWeights(placed []int16) []uint16 {
	weights := make([]uint16, len(placed))
	for n, e := range placed {
		if e != Empty {
			weights[n] = FullWeight
		}
	}
	return weights
}

// validate checks that every layer places every expert with a weight above 0.
func (m Map) validate() error {
	if err := m.shape.Validate(); err != nil {
		return err
	}
	if len(m.placed) != m.shape.Size() {
		return eris.Errorf("expert map: %d slots given, the shape has %d", len(m.placed), m.shape.Size())
	}
	if len(m.weights) != m.shape.Size() {
		return eris.Errorf("expert map: %d weights given, the shape has %d", len(m.weights), m.shape.Size())
	}
	sums := make([]int, m.shape.Experts)
	for layer := range m.shape.Layers {
		clear(sums)
		if err := m.validateLayer(layer, sums); err != nil {
			return err
		}
	}
	return nil
}

// validateLayer checks one layer. Sums is scratch space with one zero for each expert.
func (m Map) validateLayer(layer int, sums []int) error {
	start := layer * m.shape.LayerSize()
	for n := start; n < start+m.shape.LayerSize(); n++ {
		e := int(m.placed[n])
		if e == Empty {
			continue
		}
		if e < 0 || e >= m.shape.Experts {
			return eris.Errorf("expert map: layer %d names expert %d of %d", layer, e, m.shape.Experts)
		}
		sums[e] += int(m.weights[n])
	}
	for e, sum := range sums {
		if sum == 0 {
			return eris.Errorf("expert map: layer %d leaves expert %d without a replica that takes tokens", layer, e)
		}
	}
	return nil
}
