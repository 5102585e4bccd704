package balance_test

import (
	"math/rand/v2"
	"sort"
	"time"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
)

const (
	// reportLag is the delay of the counts in minutes. lostReports and lostLayers are the fractions of reports and
	// layers that never arrive.
	reportLag   = 1
	lostReports = 0.05
	lostLayers  = 0.05
	countNoise  = 0.05
	staging     = 16
)

type (
	// policy is asked once a minute and may return a map to load and switch to.
	policy interface {
		step(now time.Time, minute int, d *day) (expertmap.Map, balance.Option, bool)
		report(r balance.Report, d *day)
	}

	// day replays one day of a trace under a policy, minute by minute.
	day struct {
		trace   *recordedTrace
		present expertmap.Map
		group   balance.Group
		meter   *balance.Meter
		pending expertmap.Map
		readyAt int
		// pause is that of the pending switch, paused that of the switch in this minute.
		pause  time.Duration
		paused time.Duration
		result result
	}

	// result holds the figures of one replayed day.
	result struct {
		skews  []float64
		moved  []float64
		pauses time.Duration
		switches,
		bytes int64
		lost, asked float64
	}
)

var midnight = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// replay replays a day under a policy.
func replay(t *recordedTrace, p policy) result {
	d := &day{trace: t, group: balance.NewGroup(t.shape.Ranks, staging)}
	counts := rand.New(rand.NewPCG(t.seed, 3))
	var late []balance.Report
	for minute := range minutesADay {
		now := midnight.Add(time.Duration(minute) * time.Minute)
		load, speeds := t.loads[minute], t.speeds[minute]
		if minute == 0 {
			first, _ := expertmap.New("g", t.shape)
			first, _ = balance.Pack(first, load, d.group)
			d.putInForce(first)
		}
		d.finishSwitch(minute)
		d.addResult(minute, load, speeds)
		late = append(late, d.reportOf(now, minute, load, speeds, counts))
		if len(late) > reportLag {
			if counts.Float64() >= lostReports {
				p.report(late[0], d)
			}
			late = late[1:]
		}
		d.startSwitch(now, minute, p)
	}
	return d.result
}

// putInForce puts a map in force.
func (d *day) putInForce(m expertmap.Map) {
	d.present = m
	d.meter = balance.NewMeter(m, d.group)
}

// finishSwitch puts the pending map in force once it is loaded.
func (d *day) finishSwitch(minute int) {
	if d.pending.IsZero() || minute < d.readyAt {
		return
	}
	d.putInForce(d.pending)
	d.pending = expertmap.Map{}
	d.paused = d.pause
	d.result.pauses += d.pause
	d.result.switches++
}

// startSwitch asks the policy for a map, and starts the switch unless another one is under way.
func (d *day) startSwitch(now time.Time, minute int, p policy) {
	m, option, ok := p.step(now, minute, d)
	if !ok || !d.pending.IsZero() {
		return
	}
	d.pending, d.pause = m, option.Pause
	d.readyAt = minute + 1 + int(option.LoadTime/time.Minute)
	d.result.bytes += option.Bytes
}

// addResult adds the figures of a minute under the true loads and speeds.
func (d *day) addResult(minute int, load, speeds []float64) {
	truth := balance.NewMeter(d.present, d.group.WithSpeeds(speeds)).Measure(load)
	d.result.skews = append(d.result.skews, truth.Skew)
	d.result.moved = append(d.result.moved, float64(d.result.bytes)/1e9)
	capacity := 1 / truth.Slowdown
	capacity *= 1 - d.paused.Minutes()
	d.paused = 0
	asked := demand(minute)
	d.result.asked += asked
	d.result.lost += max(0, asked-capacity)
}

// reportOf returns the report of a minute, with noise and gaps.
func (d *day) reportOf(now time.Time, minute int, load, speeds []float64, random *rand.Rand) balance.Report {
	r := balance.Report{
		Sequence: uint64(minute + 1), At: now,
		Tokens: make([]float64, len(load)), Missing: make([]bool, d.trace.shape.Layers),
	}
	for n, v := range load {
		r.Tokens[n] = v * (1 + countNoise*random.NormFloat64())
	}
	for n := range r.Missing {
		r.Missing[n] = random.Float64() < lostLayers
	}
	r.RankTokens = d.meter.RankTimes(load)
	r.RankTime = make([]float64, len(speeds))
	for n, speed := range speeds {
		r.RankTime[n] = r.RankTokens[n] / speed * (1 + countNoise*random.NormFloat64())
	}
	return r
}

// mean returns the mean skew of the day.
func (r result) mean() float64 {
	sum := 0.0
	for _, s := range r.skews {
		sum += s
	}
	return sum / float64(len(r.skews))
}

// p99 returns the 99th percentile of the skews of the day.
func (r result) p99() float64 {
	sorted := append([]float64(nil), r.skews...)
	sort.Float64s(sorted)
	return sorted[len(sorted)*99/100]
}
