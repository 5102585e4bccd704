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

// Moves returns the replicas that ranks must load to go from one map to the next, ordered by layer, rank and slot. An
// expert that a rank already holds in any slot is not loaded again, and a slot that becomes empty needs no load. It
// returns an error when the shapes differ.
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
