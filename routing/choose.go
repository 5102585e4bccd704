package routing

// scored is a candidate with its estimate.
type scored struct {
	candidate *candidate
	estimate  estimate
}

// choose returns the candidate for a request, by a draw of 64 random bits.
//
// Other entries see the same reports, equally late, and choose as this one does. What they have sent since is
// poured over the candidates of the lowest score until all of it is placed, as water finds its level; each of these
// is then chosen with the probability of its share. With nothing unseen this is the candidate of the lowest score.
func choose(found []scored, draw uint64) scored {
	if len(found) == 0 {
		return scored{}
	}
	sortByScore(found)
	unseen := 0.0
	for n := range found {
		unseen += found[n].estimate.unseen
	}
	level, count := pour(found, unseen)
	left := unit(mix(draw)) * unseen
	for n := range count {
		left -= (level - found[n].estimate.score) / found[n].estimate.slope
		if left <= 0 {
			return found[n]
		}
	}
	return found[0]
}

// pour returns the score to which volume requests raise the lowest candidates, and how many of them are below it.
func pour(found []scored, volume float64) (level float64, count int) {
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

// sortByScore sorts few candidates in place, equal ones in the order in which they came.
func sortByScore(found []scored) {
	for n := 1; n < len(found); n++ {
		for m := n; m > 0 && found[m].estimate.score < found[m-1].estimate.score; m-- {
			found[m], found[m-1] = found[m-1], found[m]
		}
	}
}
