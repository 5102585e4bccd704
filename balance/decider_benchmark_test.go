package balance_test

import (
	"testing"
	"time"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
)

// timedPolicy measures the processor time of a policy.
type timedPolicy struct {
	*deciderPolicy
	b     *testing.B
	spent time.Duration
}

func (p *timedPolicy) report(r balance.Report, d *day) {
	from := processorTime(p.b)
	p.deciderPolicy.report(r, d)
	p.spent += processorTime(p.b) - from
}

func (p *timedPolicy) step(now time.Time, minute int, d *day) (expertmap.Map, balance.Option, bool) {
	from := processorTime(p.b)
	defer func() { p.spent += processorTime(p.b) - from }()
	return p.deciderPolicy.step(now, minute, d)
}

// BenchmarkLook measures the processor time that one group costs control over a day, with a report and a decision
// each minute.
func BenchmarkLook(b *testing.B) {
	for _, s := range shapes {
		b.Run("size="+s.name, func(b *testing.B) {
			var spent time.Duration
			for b.Loop() {
				p := &timedPolicy{deciderPolicy: newDeciderPolicy(s.shape, skewAverseRule), b: b}
				replay(record("day", s.shape, 1), p)
				spent += p.spent
			}
			share := spent.Seconds() / float64(b.N) / (24 * 3600)
			b.ReportMetric(100*share, "cpu-%/group")
			b.ReportMetric(1000*spent.Seconds()/float64(b.N)/minutesADay, "ms/look")
		})
	}
}
