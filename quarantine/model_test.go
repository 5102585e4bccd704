package quarantine_test

// This file simulates, in virtual time, entries, upstreams that crash on one request, and control, whose verdicts
// reach the entries with a delay. It compares quarantine policies.

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

const (
	modelUpstreams = 12
	modelEntries   = 4
	modelSlots     = 16
	restartTime    = 5 * time.Second
	reportTime     = 10 * time.Millisecond
	maxSpreadTime  = 50 * time.Millisecond // maximum delay of a verdict on its way to an entry
	innocentTime   = 2 * time.Second
	deadlyTime     = 100 * time.Millisecond
	resendPause    = 60 * time.Millisecond
	callerTimeout  = 60 * time.Second
	modelLength    = 120 * time.Second
)

type (
	// policy selects the mechanisms of quarantine.
	policy struct {
		name          string
		checkVerdicts bool // entries check requests against the verdicts
		refuseAll     bool // every request that was running in a crash is refused
		runAlone      bool // suspects run alone
		sameUpstream  bool // all entries try a suspect on the same upstream
		delayTrials   bool // a trial waits until the verdicts have reached all entries
	}

	event struct {
		at  time.Duration
		run func()
	}

	job struct {
		suspect *wire.Suspect
		deadly  bool
		born    time.Duration
		entry   int
		crashes int
		exclude int
		ended   func(answered bool)
	}

	modelUpstream struct {
		down       bool
		running    []*job
		waiting    []*job // suspects waiting to run alone
		crashCount int
	}

	model struct {
		policy    policy
		now       time.Duration
		events    []event
		random    *rand.Rand
		tracker   *quarantine.Tracker
		views     [modelEntries]quarantine.View
		held      [modelEntries]int // version of the verdicts in each view
		version   int
		upstreams [modelUpstreams]modelUpstream
		crashes   int
		lost      int
		failed    int
		innocent  int
	}
)

func (m *model) time() time.Time { return start.Add(m.now) }

func (m *model) after(d time.Duration, run func()) {
	at := m.now + d
	n, _ := slices.BinarySearchFunc(m.events, at, func(e event, t time.Duration) int {
		return cmp.Or(cmp.Compare(e.at, t), -1)
	})
	m.events = slices.Insert(m.events, n, event{at: at, run: run})
}

// dispatch checks a job at its entry and dispatches it according to the policy.
func (m *model) dispatch(j *job) {
	f, _ := quarantine.FromBytes(j.suspect.Fingerprint)
	j.suspect.Alone = false
	if m.policy.checkVerdicts {
		treatment, refused := m.views[j.entry].Check(m.time(), j.suspect.Organisation, f, true)
		if refused != nil {
			j.ended(false)
			return
		}
		j.suspect.Alone = m.policy.runAlone && (treatment == quarantine.Alone || j.crashes > 0)
		if m.policy.refuseAll && treatment == quarantine.Alone {
			j.ended(false)
			return
		}
	}
	at := m.choose(j, f)
	if at < 0 {
		m.dispatchLater(j)
		return
	}
	p := &m.upstreams[at]
	if j.suspect.Alone {
		p.waiting = append(p.waiting, j)
		m.startTrial(at)
		return
	}
	m.begin(at, j)
}

// dispatchLater dispatches a job again after a delay, until its caller gives up after callerTimeout.
func (m *model) dispatchLater(j *job) {
	if m.now-j.born > callerTimeout {
		j.ended(false)
		return
	}
	m.after(100*time.Millisecond, func() { m.dispatch(j) })
}

func (m *model) choose(j *job, f quarantine.Fingerprint) int {
	best := -1
	for n := range m.upstreams {
		at := n
		if j.suspect.Alone && m.policy.sameUpstream {
			at = int((f.Key() + uint64(n)) % modelUpstreams)
		}
		p := &m.upstreams[at]
		isOpen := !p.down && at != j.exclude
		switch {
		case !isOpen:
		case j.suspect.Alone && m.policy.sameUpstream:
			return at
		case !j.suspect.Alone && (len(p.waiting) > 0 || len(p.running) >= modelSlots || isAlone(p)):
		case best < 0 || len(p.running)+modelSlots*len(p.waiting) < len(m.upstreams[best].running)+modelSlots*len(m.upstreams[best].waiting):
			best = at
		}
	}
	return best
}

func isAlone(p *modelUpstream) bool { return len(p.running) == 1 && p.running[0].suspect.Alone }

// startTrial starts the next waiting suspect if the upstream runs nothing else.
func (m *model) startTrial(at int) {
	p := &m.upstreams[at]
	if p.down || len(p.running) > 0 || len(p.waiting) == 0 {
		return
	}
	j := p.waiting[0]
	p.waiting = p.waiting[1:]
	m.begin(at, j)
}

func (m *model) begin(at int, j *job) {
	p := &m.upstreams[at]
	p.running = append(p.running, j)
	crash := p.crashCount
	if j.deadly {
		m.after(deadlyTime, func() {
			if p.crashCount == crash {
				m.crash(at)
			}
		})
		return
	}
	m.after(innocentTime, func() {
		if p.crashCount != crash {
			return
		}
		p.running = slices.DeleteFunc(p.running, func(other *job) bool { return other == j })
		f, _ := quarantine.FromBytes(j.suspect.Fingerprint)
		if j.suspect.Alone {
			m.tracker.Clear(j.suspect.Organisation, f)
			m.distribute()
		}
		j.ended(true)
		m.startTrial(at)
	})
}

// crash stops an upstream. As in a real sidecar, the crash is reported to control before the attempts fail.
func (m *model) crash(at int) {
	p := &m.upstreams[at]
	dead, waiting := p.running, p.waiting
	p.running, p.waiting, p.down = nil, nil, true
	p.crashCount++
	m.crashes++
	m.lost++
	report := &wire.DeathReport{CrashId: fmt.Sprint(m.crashes)}
	for _, j := range dead {
		report.Running = append(report.Running, j.suspect)
	}
	m.after(reportTime, func() {
		m.tracker.RecordDeath(m.time(), report)
		m.distribute()
		for _, j := range dead {
			m.fail(j, at)
		}
		for _, j := range waiting {
			m.retry(j)
		}
	})
	m.after(restartTime, func() { p.down = false })
}

func (m *model) fail(j *job, at int) {
	j.crashes++
	j.exclude = at
	f, _ := quarantine.FromBytes(j.suspect.Fingerprint)
	if j.crashes >= 2 && m.policy.checkVerdicts {
		m.views[j.entry].RefuseLocally(m.time(), j.suspect.Organisation, f)
		j.ended(false)
		return
	}
	m.retry(j)
}

// retry dispatches a suspect again, after TrialDelay if the policy delays trials.
func (m *model) retry(j *job) {
	wait := time.Duration(0)
	if m.policy.delayTrials {
		wait = quarantine.TrialDelay
	}
	m.after(wait, func() { m.dispatch(j) })
}

// distribute delivers the verdicts to each entry after a random delay.
func (m *model) distribute() {
	verdicts := m.tracker.Verdicts()
	m.version++
	version := m.version
	for n := range m.views {
		m.after(time.Duration(m.random.Int64N(int64(maxSpreadTime))), func() {
			if version > m.held[n] {
				m.held[n] = version
				m.views[n].SetVerdicts(verdicts)
			}
		})
	}
}

func (m *model) send(organisation, body string, deadly bool, ended func(answered bool)) {
	m.dispatch(&job{
		suspect: suspect(organisation, body, false), deadly: deadly, born: m.now, entry: m.random.IntN(modelEntries),
		exclude: -1, ended: ended,
	})
}

// resend sends the deadly request repeatedly, each time through a random entry.
func (m *model) resend() {
	m.send("tuulai", "deadly", true, func(bool) {
		m.after(resendPause, m.resend)
	})
}

func simulate(p policy, seed uint64, senders int) *model {
	m := &model{policy: p, random: rand.New(rand.NewPCG(seed, 1)), tracker: quarantine.NewTracker(quarantine.Settings{})}
	var offer func()
	offer = func() {
		if m.now > modelLength-callerTimeout {
			return
		}
		m.innocent++
		m.send(fmt.Sprint("organisation-", m.innocent%5), fmt.Sprint(m.innocent), false, func(answered bool) {
			if !answered {
				m.failed++
			}
		})
		m.after(time.Duration(m.random.ExpFloat64()/40*float64(time.Second)), offer)
	}
	offer()
	for n := range senders {
		m.after(10*time.Second+time.Duration(n)*resendPause/2, m.resend)
	}
	for len(m.events) > 0 && m.events[0].at < modelLength {
		next := m.events[0]
		m.events = m.events[1:]
		m.now = next.at
		next.run()
	}
	return m
}

var allMechanisms = policy{name: "guavahitch", checkVerdicts: true, runAlone: true, sameUpstream: true, delayTrials: true}

func BenchmarkDeadlyRequest(b *testing.B) {
	policies := []policy{{name: "none"}, {name: "ban-batch", checkVerdicts: true, refuseAll: true}, allMechanisms}
	for _, p := range policies {
		b.Run("policy="+p.name, func(b *testing.B) {
			for range b.N {
				lost, failed, innocents := 0, 0, 0
				for seed := range uint64(20) {
					m := simulate(p, 100+seed, 1)
					lost = max(lost, m.lost)
					failed += m.failed
					innocents += m.innocent
				}
				b.ReportMetric(float64(lost), "upstreams-lost")
				b.ReportMetric(float64(failed), "innocents-failed")
				b.ReportMetric(float64(innocents), "innocents")
			}
		})
	}
}
