package balance_test

import (
	"testing"
	"time"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
)

// timed counts the processor time of a policy.
type timed struct {
	*decided
	b     *testing.B
	spent time.Duration
}

func (p *timed) report(r balance.Report, d *day) {
	from := processorTime(p.b)
	p.decided.report(r, d)
	p.spent += processorTime(p.b) - from
}

func (p *timed) step(now time.Time, minute int, d *day) (expertmap.Map, balance.Option, bool) {
	from := processorTime(p.b)
	defer func() { p.spent += processorTime(p.b) - from }()
	return p.decided.step(now, minute, d)
}

// BenchmarkLook gives the processor time that one group costs control over a day, with a report and a look a
// minute.
func BenchmarkLook(b *testing.B) {
	for _, s := range shapes {
		b.Run("size="+s.name, func(b *testing.B) {
			var spent time.Duration
			for b.Loop() {
				p := &timed{decided: newDecided(s.shape, tuulai), b: b}
				replay(record("day", s.shape, 1), p)
				spent += p.spent
			}
			share := spent.Seconds() / float64(b.N) / (24 * 3600)
			b.ReportMetric(100*share, "cpu-%/group")
			b.ReportMetric(1000*spent.Seconds()/float64(b.N)/minutesADay, "ms/look")
		})
	}
}
