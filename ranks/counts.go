package ranks

import (
	"time"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
	"guavahitch.example/guavahitch/wire"
)

// countsInterval is the time between two reports of a group to the balancer.
const countsInterval = 2 * time.Second

// counts puts the counts of the ranks of one group together. A rank that has not reported since the last time,
// or that counted under another layout, is missing.
type counts struct {
	shape    expertmap.Shape
	latest   []*wire.RankCounts
	sequence uint64
	reported time.Time
}

func newCounts(shape expertmap.Shape) counts {
	return counts{shape: shape, latest: make([]*wire.RankCounts, shape.Ranks)}
}

func (c *counts) add(counted *wire.RankCounts) {
	rank := int(counted.Rank)
	if rank < 0 || rank >= len(c.latest) || len(counted.Tokens) != c.shape.Layers*c.shape.Slots {
		return
	}
	c.latest[rank] = counted
}

// isDue reports whether the next report is due.
func (c *counts) isDue(now time.Time) bool { return now.Sub(c.reported) >= countsInterval }

// report returns what the ranks counted under the layout in force, when every rank has counted.
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
