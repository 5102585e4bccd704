package routing

// scored is a candidate with its estimate.
type scored struct {
	candidate *candidate
	estimate  estimate
}

// choose returns the candidate for a request, by a draw of 64 random bits.
//
// Other entries see the same late reports and would all choose the candidate with the lowest score. To avoid this
// herding, the requests that they have probably sent since the reports are placed on the candidates by water-filling:
// they raise the lowest scores to a common level. Each candidate below that level is chosen with a probability
// proportional to the requests that it receives. Without unreported requests, the candidate with the lowest score is
// chosen.
func choose(found []scored, draw uint64) scored {
	if len(found) == 0 {
		return scored{}
	}
	sortByScore(found)
	unreported := 0.0
	for n := range found {
		unreported += found[n].estimate.unreported
	}
	level, count := fillLevel(found, unreported)
	left := unitInterval(mix(draw)) * unreported
	for n := range count {
		left -= (level - found[n].estimate.score) / found[n].estimate.slope
		if left <= 0 {
			return found[n]
		}
	}
	return found[0]
}

// fillLevel returns the score to which volume further requests raise the lowest candidates, and how many candidates
// are below it.
func fillLevel(found []scored, volume float64) (level float64, count int) {
	widths, weighted := 0.0, 0.0
	for n := range found {
		e := found[n].estimate
		if n > 0 && e.score*widths-weighted >= volume {
			break
		}
		widths += 1 / e.slope
		weighted += e.score / e.slope
		count++
	}
	return (volume + weighted) / widths, count
}

// sortByScore sorts in place by insertion, which suits a few candidates. Equal candidates keep their order.
func sortByScore(found []scored) {
	for n := 1; n < len(found); n++ {
		for m := n; m > 0 && found[m].estimate.score < found[m-1].estimate.score; m-- {
			found[m], found[m-1] = found[m-1], found[m]
		}
	}
}
