package ranks

import (
	"time"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
	"guavahitch.example/guavahitch/wire"
)

// countsInterval is the time between two reports of a group's counts to the balancer.
const countsInterval = 2 * time.Second

// counts collects the token counts of the ranks of one group for the balancer. A report needs new counts of every rank,
// all of them under the layout in force.
type counts struct {
	shape    expertmap.Shape
	latest   []*wire.RankCounts
	sequence uint64
	reported time.Time
}

func newCounts(shape expertmap.Shape) counts {
	return counts{shape: shape, latest: make([]*wire.RankCounts, shape.Ranks)}
}

// add stores the counts of a rank. Counts of an unknown rank or of another size are ignored.
func (c *counts) add(counted *wire.RankCounts) {
	rank := int(counted.Rank)
	if rank < 0 || rank >= len(c.latest) || len(counted.Tokens) != c.shape.Layers*c.shape.Slots {
		return
	}
	c.latest[rank] = counted
}

// isDue reports whether the next report is due.
func (c *counts) isDue(now time.Time) bool { return now.Sub(c.reported) >= countsInterval }

// report returns the counts of all ranks under the layout in force. It returns false when a rank has not reported since
// the last report, or counted under another layout.
func (c *counts) report(m expertmap.Map, layout uint64, now time.Time) (balance.Report, bool) {
	c.reported = now
	c.sequence++
	report := balance.Report{
		Sequence: c.sequence, At: now, Tokens: make([]float64, c.shape.Layers*c.shape.Experts),
		RankTime: make([]float64, c.shape.Ranks), RankTokens: make([]float64, c.shape.Ranks),
	}
	for rank, counted := range c.latest {
		if counted == nil || counted.Layout != layout {
			return balance.Report{}, false
		}
		report.RankTime[rank] = time.Duration(counted.BusyUs * int64(time.Microsecond)).Seconds()
		c.addRank(&report, m, rank, counted)
	}
	c.latest = make([]*wire.RankCounts, c.shape.Ranks)
	return report, true
}

// addRank adds the counts of a rank's slots to the experts that these slots hold under the map.
func (c *counts) addRank(report *balance.Report, m expertmap.Map, rank int, counted *wire.RankCounts) {
	for layer := range c.shape.Layers {
		for slot := range c.shape.Slots {
			tokens := float64(counted.Tokens[layer*c.shape.Slots+slot])
			expert := m.Expert(layer, rank, slot)
			if expert == expertmap.Empty {
				continue
			}
			report.Tokens[layer*c.shape.Experts+expert] += tokens
			report.RankTokens[rank] += tokens
		}
	}
}
