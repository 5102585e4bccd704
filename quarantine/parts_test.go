package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

// refusesPart reports whether a new request with the parts would be refused.
func refusesPart(m *quarantine.Memory, now time.Time, parts ...string) bool {
	return m.Check(now, subject("new request", parts...)) != nil
}

// Two requests that share a deadly part, one of them tried at two upstreams, must be enough to refuse the part, but not the
// parts that sound requests share with them.
func TestDeadlyPartIsRefusedAfterTwoRequests(t *testing.T) {
	m := quarantine.NewMemory()
	m.RecordProgress(start.Add(-time.Minute), subject("sound", "common"))
	m.RecordDeath(start, crashReport("1", ran("r1", 60*time.Millisecond, "common", "deadly")))
	m.RecordDeath(start.Add(70*time.Millisecond), crashReport("2", ran("r1", 60*time.Millisecond, "common", "deadly")))
	require.False(t, refusesPart(m, start.Add(time.Second), "deadly"))
	m.RecordDeath(start.Add(time.Second), crashReport("3", ran("r2", 60*time.Millisecond, "common", "deadly")))
	now := start.Add(2 * time.Second)
	require.True(t, refusesPart(m, now, "common", "deadly"))
	require.False(t, refusesPart(m, now, "common"))
	require.False(t, refusesPart(m, now, "common", "other"))
}

// A request that is resent speaks against itself only. Its parts are not refused, whatever they are.
func TestResentRequestDoesNotSpeakAgainstItsParts(t *testing.T) {
	m := quarantine.NewMemory()
	for n := range 4 {
		m.RecordDeath(start.Add(time.Duration(n)*time.Second), crashReport(fmt.Sprint(n), ran("deadly", 60*time.Millisecond, "session")))
	}
	now := start.Add(5 * time.Second)
	require.True(t, isRefused(m, now, "deadly"))
	require.False(t, refusesPart(m, now, "session"))
}

// Progress of a shared part must not free the deadly part beside it, whenever it comes. The shared part of sound requests
// runs in the same crashes; with its progress unknown, neither could be told from the other after two crashes.
func TestProgressOfASharedPartDoesNotFreeTheDeadlyOne(t *testing.T) {
	for _, isKnown := range []bool{true, false} {
		m := quarantine.NewMemory()
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		sound := subject("sound", "shared")
		if isKnown {
			m.RecordProgress(at(-1000), sound)
		}
		for n := range 2 {
			m.RecordDeath(at(200*n), crashReport(fmt.Sprint(n),
				ran(fmt.Sprint("deadly ", n), 60*time.Millisecond, "shared", "deadly"), ran(fmt.Sprint("sound ", n), 90*time.Millisecond, "shared")))
		}
		require.Equal(t, isKnown, refusesPart(m, at(300), "deadly"))
		if isKnown {
			m.RecordProgress(at(400), sound)
		}
		require.Equal(t, isKnown, refusesPart(m, at(500), "deadly"))
		require.False(t, refusesPart(m, at(500), "shared"))
	}
}

// While no request with a shared part was ever answered, the part of fewer requests must be refused and not the one that
// sound requests share with it. Where both are of the same requests, they cannot be told apart.
func TestThePartOfFewerRequestsIsRefused(t *testing.T) {
	for _, withSound := range []bool{true, false} {
		m := quarantine.NewMemory()
		for n := range 3 {
			report := crashReport(fmt.Sprint(n), ran(fmt.Sprint("deadly ", n), 60*time.Millisecond, "shared", "deadly"))
			if withSound {
				report.Running = append(report.Running, ran(fmt.Sprint("sound ", n), 90*time.Millisecond, "shared"))
			}
			m.RecordDeath(start.Add(time.Duration(n)*time.Second), report)
		}
		now := start.Add(3 * time.Second)
		require.True(t, refusesPart(m, now, "deadly"))
		require.Equal(t, !withSound, refusesPart(m, now, "shared"))
	}
}

// What entries know of parts must reach the others with the crashes, and the progress that only one of them saw as well.
func TestPartsArePassedOn(t *testing.T) {
	first, second, third := quarantine.NewMemory(), quarantine.NewMemory(), quarantine.NewMemory()
	third.RecordProgress(start.Add(-time.Second), subject("sound", "common"))
	first.RecordDeath(start, crashReport("1", ran("r1", 60*time.Millisecond, "common", "deadly")))
	second.RecordDeath(start.Add(time.Second), crashReport("2", ran("r2", 60*time.Millisecond, "common", "deadly")))
	now := start.Add(time.Second)
	require.Less(t, exchange(now, first, second, third), 60)
	for _, m := range []*quarantine.Memory{first, second, third} {
		require.True(t, refusesPart(m, now.Add(time.Second), "common", "deadly"))
		require.False(t, refusesPart(m, now.Add(time.Second), "common"))
	}
}

// killings describes upstreams that are killed while they answer requests with a common part and one of a session.
type killings struct {
	// upstreams is the number of upstreams, of which atOnce are killed at the same moment every 1.5 s.
	upstreams, atOnce int
	// sessions is the number of sessions that the requests belong to.
	sessions      int
	knowsProgress bool
}

// run simulates a minute and returns the share of requests that were refused.
func (k killings) run() float64 {
	const killEvery, requestEvery, runTime = 1500 * time.Millisecond, 15 * time.Millisecond, 400 * time.Millisecond
	type request struct {
		sent     time.Duration
		upstream int
		subject  quarantine.Subject
	}
	m := quarantine.NewMemory()
	random := rand.New(rand.NewPCG(1, 2))
	var running []request
	sent, refused, kills := 0, 0, 0
	for now := time.Duration(0); now < time.Minute; now += requestEvery {
		sent++
		s := subject(fmt.Sprint(now), "common", fmt.Sprint("session ", random.IntN(k.sessions)))
		if m.Check(start.Add(now), s) == nil {
			running = append(running, request{sent: now, upstream: random.IntN(k.upstreams), subject: s})
		} else {
			refused++
		}
		for len(running) > 0 && now-running[0].sent >= runTime {
			if k.knowsProgress {
				m.RecordProgress(start.Add(now), running[0].subject)
			}
			running = running[1:]
		}
		if now%killEvery != 0 {
			continue
		}
		for range k.atOnce {
			lost := random.IntN(k.upstreams)
			kills++
			report := crashReport(fmt.Sprint("kill ", kills))
			running = slices.DeleteFunc(running, func(r request) bool {
				if r.upstream != lost {
					return false
				}
				suspect := r.subject.Suspect()
				suspect.RanMs = max((now - r.sent).Milliseconds(), 1)
				report.Running = append(report.Running, suspect)
				return true
			})
			m.RecordDeath(start.Add(now), report)
		}
	}
	return float64(refused) / float64(sent)
}

// A frequent part must not be refused because a fifth of the upstreams is killed again and again while they run requests
// with it. With the progress of answers left out, it would be.
func TestFrequentPartIsNotRefusedWhileUpstreamsAreKilled(t *testing.T) {
	frequent := killings{upstreams: 10, atOnce: 2, sessions: 1, knowsProgress: true}
	require.Zero(t, frequent.run())
	frequent.knowsProgress = false
	require.Positive(t, frequent.run())
}

// Nor must rarer parts, such as those of sessions, be refused because an upstream is killed every 1.5 s: 99 of 100 requests
// are answered in spite of that.
func TestRarePartsAreNotRefusedWhileUpstreamsAreKilled(t *testing.T) {
	for _, sessions := range []int{5, 50, 500, 5000} {
		refused := killings{upstreams: 12, atOnce: 1, sessions: sessions, knowsProgress: true}.run()
		require.LessOrEqual(t, refused, 0.01, "%d sessions", sessions)
	}
}

// Crashes with ever new parts and requests must not fill the memory, nor push out what is proved deadly.
func TestMemoryIsBounded(t *testing.T) {
	tracker := quarantine.NewTracker(quarantine.Settings{PerOrganisation: 50, Limit: 120, Crashes: 20})
	for n := range 2 {
		tracker.RecordDeath(start.Add(time.Duration(n)*time.Second), crashReport(fmt.Sprint("deadly ", n), ran(fmt.Sprint("r", n), 60*time.Millisecond, "deadly")))
	}
	for n := range 500 {
		report := crashReport(fmt.Sprint(n))
		for k := range 5 {
			report.Running = append(report.Running, ran(fmt.Sprint(n, k), 60*time.Millisecond, fmt.Sprint(n, "x", k), fmt.Sprint(n, "y", k)))
		}
		tracker.RecordDeath(start.Add(time.Duration(n)*50*time.Millisecond), report)
		require.LessOrEqual(t, tracker.Len(), 120)
	}
	proved := slices.ContainsFunc(tracker.Verdicts(), func(v *wire.Quarantine) bool { return v.Proved && v.IsPart })
	require.True(t, proved)
}

// BenchmarkCheck measures the check before an attempt with a full table.
func BenchmarkCheck(b *testing.B) {
	for _, parts := range []int{0, 3, 30} {
		for _, isFull := range []bool{false, true} {
			b.Run(fmt.Sprintf("parts=%d/full=%t", parts, isFull), func(b *testing.B) {
				m := quarantine.NewMemory()
				if isFull {
					fill(m)
				}
				var ids []string
				for n := range parts {
					ids = append(ids, fmt.Sprint("sound ", n))
				}
				s := subject("sound", ids...)
				b.ReportAllocs()
				for b.Loop() {
					if m.Begin(start, s) != nil {
						b.Fatal("refused")
					}
				}
			})
		}
	}
}

// BenchmarkRecordDeath measures what a further crash costs with a full table.
func BenchmarkRecordDeath(b *testing.B) {
	m := quarantine.NewMemory()
	fill(m)
	for n := 0; b.Loop(); n++ {
		m.RecordDeath(start.Add(time.Second), crashReport(fmt.Sprint("next ", n), ran(fmt.Sprint("next ", n), time.Second, "a", "b")))
	}
}

// fill adds 200 crashes with twelve requests of four parts each.
func fill(m *quarantine.Memory) {
	for n := range 200 {
		report := crashReport(fmt.Sprint(n))
		for k := range 12 {
			report.Running = append(report.Running, ran(fmt.Sprint(n, k), time.Second, "common", fmt.Sprint(n%9), fmt.Sprint(n, k, "x"), fmt.Sprint(n, k, "y")))
		}
		m.RecordDeath(start, report)
	}
}

// Engines that die together while they run requests with a shared part must not get the part refused in the replicated
// state either. Without the times at which the requests began, they would.
func TestTrackerCountsEnginesThatDieTogetherOnce(t *testing.T) {
	for _, ranFor := range []time.Duration{time.Second, 0} {
		tracker, view := quarantine.NewTracker(quarantine.Settings{}), &quarantine.View{}
		for n := range 2 {
			tracker.RecordDeath(start, crashReport(fmt.Sprint(n), ran(fmt.Sprint("r", n), ranFor, "system")))
		}
		view.SetVerdicts(tracker.Verdicts())
		require.Equal(t, ranFor == 0, view.CheckParts(start, []quarantine.Fingerprint{quarantine.NewPart("system")}) != nil)
	}
}

// An entry whose request with a suspect part was answered tells control so once, and the part is no longer suspect. After
// that, two more crashes do not refuse it.
func TestAnsweredRequestClearsAPart(t *testing.T) {
	tracker, view := quarantine.NewTracker(quarantine.Settings{}), &quarantine.View{}
	system := quarantine.NewPart("system")
	death := func(n int) time.Time {
		at := start.Add(time.Duration(n) * 10 * time.Second)
		tracker.RecordDeath(at, crashReport(fmt.Sprint(n), ran(fmt.Sprint("r", n), time.Second, "system")))
		view.SetVerdicts(tracker.Verdicts())
		return at
	}
	now := death(0).Add(time.Second)
	require.Equal(t, []quarantine.Fingerprint{system}, view.TakeSuspectParts(now, []quarantine.Fingerprint{system}))
	require.Empty(t, view.TakeSuspectParts(now, []quarantine.Fingerprint{system}))
	require.True(t, tracker.ClearPart(now, system))
	require.False(t, tracker.ClearPart(now, system))
	death(1)
	require.Nil(t, view.CheckParts(death(2), []quarantine.Fingerprint{system}))
	death(3)
	require.NotNil(t, view.CheckParts(death(4), []quarantine.Fingerprint{system}))

	restored := quarantine.NewTracker(quarantine.Settings{})
	restored.Restore(tracker.Snapshot())
	require.True(t, proto.Equal(tracker.Snapshot(), restored.Snapshot()))
}
