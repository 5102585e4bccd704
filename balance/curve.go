package balance

import "sort"

type (
	// segment is a run of moves of one layer that lowers the time of its latest rank.
	segment struct {
		layer int
		// steps is the number of moves of the layer after this segment.
		steps int
		// moves and gain are those of the segment itself; gain is in units of the layer's latest time.
		moves int
		gain  float64
	}

	// point is a place on the curve: the moves and gain of all segments up to it.
	point struct {
		segment segment
		moves   int
		gain    float64
		// busiest is the largest number of replicas that one rank loads.
		busiest int
	}
)

// segmentsOf cuts the steps of a layer where gain for each move is greatest, so that the gain for each move
// falls from segment to segment.
func segmentsOf(number int, start float64, forced int, steps []step) []segment {
	var segments []segment
	done, latest := forced, start
	for done < len(steps) {
		best, bestGain := 0, 0.0
		for n := done; n < len(steps); n++ {
			if gain := (latest - steps[n].latest) / float64(n+1-done); gain > bestGain {
				best, bestGain = n+1, gain
			}
		}
		if best == 0 {
			break
		}
		segments = append(segments, segment{
			layer: number, steps: best, moves: best - done, gain: latest - steps[best-1].latest,
		})
		latest, done = steps[best-1].latest, best
	}
	return segments
}

// curveOf orders the segments of all layers by their gain for each move and returns the points of the
// curve. A segment that would make a rank load more than it can stage ends its layer.
func curveOf(segments []segment, layers [][]step, loading []int, slots, staging, forcedMoves int) []point {
	sort.SliceStable(segments, func(i, j int) bool {
		return segments[i].gain*float64(segments[j].moves) > segments[j].gain*float64(segments[i].moves)
	})
	busiest := 0
	for _, n := range loading {
		busiest = max(busiest, n)
	}
	points := []point{{segment: segment{layer: none}, moves: forcedMoves, busiest: busiest}}
	ended := make([]bool, len(layers))
	for _, seg := range segments {
		steps := layers[seg.layer][seg.steps-seg.moves : seg.steps]
		if ended[seg.layer] || !stage(loading, steps, slots, staging) {
			ended[seg.layer] = true
			continue
		}
		last := points[len(points)-1]
		for _, st := range steps {
			busiest = max(busiest, loading[int(st.slot)/slots])
		}
		points = append(points, point{
			segment: seg, moves: last.moves + seg.moves, gain: last.gain + seg.gain, busiest: busiest,
		})
	}
	return points
}

// stage counts the steps against what each rank can stage, and takes them back if one rank cannot.
func stage(loading []int, steps []step, slots, staging int) bool {
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
