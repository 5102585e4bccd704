package expertmap

import "github.com/rotisserie/eris"

const (
	// MaxExperts is the largest number of experts in a layer, and of slots of a rank in a layer.
	MaxExperts = 1 << 14
	// MaxSlots is the largest number of slots of a map, over all layers and ranks.
	MaxSlots = 1 << 22
)

// Shape is the size of an expert map.
type Shape struct {
	// Ranks is the number of ranks in the group.
	Ranks int
	// Experts is the number of experts in each layer.
	Experts int
	// Layers is the number of layers that have experts.
	Layers int
	// Slots is the number of replicas that each rank can hold in each layer.
	Slots int
}

// Size returns the number of slots of the map.
func (s Shape) Size() int { return s.Layers * s.LayerSize() }

// LayerSize returns the number of slots of one layer.
func (s Shape) LayerSize() int { return s.Ranks * s.Slots }

// Index returns the position of a slot in arrays over all slots, which are ordered by layer, rank and slot.
func (s Shape) Index(layer, rank, slot int) int {
	return (layer*s.Ranks+rank)*s.Slots + slot
}

// Validate returns an error that names the first field out of range.
func (s Shape) Validate() error {
	switch {
	case s.Ranks < 1 || s.Ranks > MaxSlots:
		return eris.Errorf("expert map: Ranks is %d, allowed 1 to %d", s.Ranks, MaxSlots)
	case s.Experts < 1 || s.Experts > MaxExperts:
		return eris.Errorf("expert map: Experts is %d, allowed 1 to %d", s.Experts, MaxExperts)
	case s.Layers < 1 || s.Layers > MaxSlots:
		return eris.Errorf("expert map: Layers is %d, allowed 1 to %d", s.Layers, MaxSlots)
	case s.Slots < 1 || s.Slots > MaxExperts:
		return eris.Errorf("expert map: Slots is %d, allowed 1 to %d", s.Slots, MaxExperts)
	case s.Layers*s.Ranks > MaxSlots || s.Size() > MaxSlots:
		return eris.Errorf("expert map: %d slots in all, allowed %d", s.Size(), MaxSlots)
	case s.LayerSize() < s.Experts:
		return eris.Errorf("expert map: %d slots a layer cannot hold %d experts", s.LayerSize(), s.Experts)
	}
	return nil
}
