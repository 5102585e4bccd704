package balance

import "sort"

type (
	// segment is a run of successive moves in one layer that lowers the layer's time, the time of its busiest rank.
	segment struct {
		layer int
		// steps is the number of moves of the layer up to the end of this segment.
		steps int
		// moves and gain belong to this segment alone. The gain is the decrease of the layer's time, in the unit of
		// rank times.
		moves int
		gain  float64
	}

	// point is a point of the curve: the total moves and gain of all segments up to and including segment.
	point struct {
		segment segment
		moves   int
		gain    float64
		// maxLoads is the largest number of replicas that one rank loads.
		maxLoads int
	}
)

// segmentsOf divides the steps of a layer into segments of decreasing gain per move: each segment ends where the gain
// per move from its start is greatest. Steps after the last one that lowers the layer's time are dropped.
func segmentsOf(number int, start float64, forced int, steps []step) []segment {
	var segments []segment
	done, layerTime := forced, start
	for done < len(steps) {
		best, bestGain := 0, 0.0
		for n := done; n < len(steps); n++ {
			if gain := (layerTime - steps[n].layerTime) / float64(n+1-done); gain > bestGain {
				best, bestGain = n+1, gain
			}
		}
		if best == 0 {
			break
		}
		segments = append(segments, segment{
			layer: number, steps: best, moves: best - done, gain: layerTime - steps[best-1].layerTime,
		})
		layerTime, done = steps[best-1].layerTime, best
	}
	return segments
}

// curveOf orders the segments of all layers by gain per move, greatest first, and returns the points of the curve. A
// segment that would make a rank load more replicas than it can stage is left out, with all later segments of its
// layer.
func curveOf(segments []segment, layers [][]step, loading []int, slots, staging, forcedMoves int) []point {
	sort.SliceStable(segments, func(i, j int) bool {
		return segments[i].gain*float64(segments[j].moves) > segments[j].gain*float64(segments[i].moves)
	})
	maxLoads := 0
	for _, n := range loading {
		maxLoads = max(maxLoads, n)
	}
	points := []point{{segment: segment{layer: none}, moves: forcedMoves, maxLoads: maxLoads}}
	ended := make([]bool, len(layers))
	for _, seg := range segments {
		steps := layers[seg.layer][seg.steps-seg.moves : seg.steps]
		if ended[seg.layer] || !reserveStaging(loading, steps, slots, staging) {
			ended[seg.layer] = true
			continue
		}
		last := points[len(points)-1]
		for _, st := range steps {
			maxLoads = max(maxLoads, loading[int(st.slot)/slots])
		}
		points = append(points, point{
			segment: seg, moves: last.moves + seg.moves, gain: last.gain + seg.gain, maxLoads: maxLoads,
		})
	}
	return points
}

// reserveStaging adds the steps to the number of replicas that each rank loads. If a rank would exceed its staging
// limit, it undoes the change and returns false.
func reserveStaging(loading []int, steps []step, slots, staging int) bool {
	for n, st := range steps {
		r := int(st.slot) / slots
		loading[r]++
		if loading[r] <= staging {
			continue
		}
		for _, undo := range steps[:n+1] {
			loading[int(undo.slot)/slots]--
		}
		return false
	}
	return true
}
