package expertmap

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Move is one replica that a rank must load before it can use a new map.
type Move struct {
	Layer  int
	Rank   int
	Slot   int
	Expert int
	// Replaces is the expert that the slot held before, or Empty.
	Replaces int
}

// Moves returns what the ranks must load to go from one map to the next, by layer, rank and slot. An expert
// that a rank holds already, in whichever slot, is not loaded again; an emptied slot needs no load.
func Moves(from, to Map) ([]Move, error) {
	if from.shape != to.shape {
		return nil, eris.Errorf("expert map: shapes differ, %+v and %+v", from.shape, to.shape)
	}
	var moves []Move
	slots := to.shape.Slots
	for start := 0; start < len(to.placed); start += slots {
		before, after := from.placed[start:start+slots], to.placed[start:start+slots]
		for slot, e := range after {
			if e == Empty || slices.Contains(before, e) || slices.Contains(after[:slot], e) {
				continue
			}
			row := start / slots
			moves = append(moves, Move{
				Layer: row / to.shape.Ranks, Rank: row % to.shape.Ranks, Slot: slot,
				Expert: int(e), Replaces: int(before[slot]),
			})
		}
	}
	return moves, nil
}
