package quarantine_test

// A small model in virtual time: entries, upstreams that die of one request, and control that distributes verdicts
// late. It measures policies; nothing of it is used outside tests.

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
	spreadTime     = 50 * time.Millisecond // longest time from a verdict to an entry
	innocentTime   = 2 * time.Second
	deadlyTime     = 100 * time.Millisecond
	resendPause    = 60 * time.Millisecond
	patience       = 60 * time.Second
	modelLength    = 120 * time.Second
)

type (
	// policy switches the mechanisms of quarantine on.
	policy struct {
		name     string
		verdicts bool // entries check verdicts
		banAll   bool // all that ran in one crash is refused
		alone    bool // suspects run alone
		onePlace bool // all entries try a suspect at the same upstream
		delay    bool // a trial waits until the verdicts have spread
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

	place struct {
		down    bool
		running []*job
		waiting []*job // suspects that wait to run alone
		crash   int
	}

	model struct {
		policy   policy
		now      time.Duration
		events   []event
		random   *rand.Rand
		tracker  *quarantine.Tracker
		views    [modelEntries]quarantine.View
		held     [modelEntries]int // version of each view
		version  int
		places   [modelUpstreams]place
		crashes  int
		lost     int
		failed   int
		innocent int
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

// arrive takes a job at its entry and dispatches it as the policy says.
func (m *model) arrive(j *job) {
	f, _ := quarantine.FromBytes(j.suspect.Fingerprint)
	j.suspect.Alone = false
	if m.policy.verdicts {
		treatment, refused := m.views[j.entry].Check(m.time(), j.suspect.Organisation, f, true)
		if refused != nil {
			j.ended(false)
			return
		}
		j.suspect.Alone = m.policy.alone && (treatment == quarantine.Alone || j.crashes > 0)
		if m.policy.banAll && treatment == quarantine.Alone {
			j.ended(false)
			return
		}
	}
	at := m.choose(j, f)
	if at < 0 {
		m.again(j)
		return
	}
	p := &m.places[at]
	if j.suspect.Alone {
		p.waiting = append(p.waiting, j)
		m.next(at)
		return
	}
	m.begin(at, j)
}

// again lets a job try for a place later, while its caller waits.
func (m *model) again(j *job) {
	if m.now-j.born > patience {
		j.ended(false)
		return
	}
	m.after(100*time.Millisecond, func() { m.arrive(j) })
}

func (m *model) choose(j *job, f quarantine.Fingerprint) int {
	best := -1
	for n := range m.places {
		at := n
		if j.suspect.Alone && m.policy.onePlace {
			at = int((f.Key() + uint64(n)) % modelUpstreams)
		}
		p := &m.places[at]
		isOpen := !p.down && at != j.exclude
		switch {
		case !isOpen:
		case j.suspect.Alone && m.policy.onePlace:
			return at
		case !j.suspect.Alone && (len(p.waiting) > 0 || len(p.running) >= modelSlots || isAlone(p)):
		case best < 0 || len(p.running)+modelSlots*len(p.waiting) < len(m.places[best].running)+modelSlots*len(m.places[best].waiting):
			best = at
		}
	}
	return best
}

func isAlone(p *place) bool { return len(p.running) == 1 && p.running[0].suspect.Alone }

// next starts a suspect once nothing else runs.
func (m *model) next(at int) {
	p := &m.places[at]
	if p.down || len(p.running) > 0 || len(p.waiting) == 0 {
		return
	}
	j := p.waiting[0]
	p.waiting = p.waiting[1:]
	m.begin(at, j)
}

func (m *model) begin(at int, j *job) {
	p := &m.places[at]
	p.running = append(p.running, j)
	crash := p.crash
	if j.deadly {
		m.after(deadlyTime, func() {
			if p.crash == crash {
				m.die(at)
			}
		})
		return
	}
	m.after(innocentTime, func() {
		if p.crash != crash {
			return
		}
		p.running = slices.DeleteFunc(p.running, func(other *job) bool { return other == j })
		f, _ := quarantine.FromBytes(j.suspect.Fingerprint)
		if j.suspect.Alone {
			m.tracker.Clear(j.suspect.Organisation, f)
			m.spread()
		}
		j.ended(true)
		m.next(at)
	})
}

// die ends an upstream. Its sidecar reports to control first and then fails the attempts, as sidecars do.
func (m *model) die(at int) {
	p := &m.places[at]
	dead, waiting := p.running, p.waiting
	p.running, p.waiting, p.down = nil, nil, true
	p.crash++
	m.crashes++
	m.lost++
	report := &wire.DeathReport{CrashId: fmt.Sprint(m.crashes)}
	for _, j := range dead {
		report.Running = append(report.Running, j.suspect)
	}
	m.after(reportTime, func() {
		m.tracker.RecordDeath(m.time(), report)
		m.spread()
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
	if j.crashes >= 2 && m.policy.verdicts {
		m.views[j.entry].RefuseLocally(m.time(), j.suspect.Organisation, f)
		j.ended(false)
		return
	}
	m.retry(j)
}

// retry sends a suspect again.
func (m *model) retry(j *job) {
	wait := time.Duration(0)
	if m.policy.delay {
		wait = quarantine.TrialDelay
	}
	m.after(wait, func() { m.arrive(j) })
}

// spread brings the verdicts to the entries, each at its own time.
func (m *model) spread() {
	verdicts := m.tracker.Verdicts()
	m.version++
	version := m.version
	for n := range m.views {
		m.after(time.Duration(m.random.Int64N(int64(spreadTime))), func() {
			if version > m.held[n] {
				m.held[n] = version
				m.views[n].SetVerdicts(verdicts)
			}
		})
	}
}

func (m *model) send(organisation, body string, deadly bool, ended func(answered bool)) {
	m.arrive(&job{
		suspect: suspect(organisation, body, false), deadly: deadly, born: m.now, entry: m.random.IntN(modelEntries),
		exclude: -1, ended: ended,
	})
}

// resend sends the deadly request again and again, through any entry.
func (m *model) resend() {
	m.send("tuulai", "deadly", true, func(bool) {
		m.after(resendPause, m.resend)
	})
}

func simulate(p policy, seed uint64, senders int) *model {
	m := &model{policy: p, random: rand.New(rand.NewPCG(seed, 1)), tracker: quarantine.NewTracker(quarantine.Settings{})}
	var offer func()
	offer = func() {
		if m.now > modelLength-patience {
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

var full = policy{name: "guavahitch", verdicts: true, alone: true, onePlace: true, delay: true}

func BenchmarkDeadlyRequest(b *testing.B) {
	policies := []policy{{name: "none"}, {name: "ban-batch", verdicts: true, banAll: true}, full}
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
