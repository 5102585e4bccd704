package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

// subject returns a request of organisation a with parts in its prompt.
func subject(body string, parts ...string) quarantine.Subject {
	s := quarantine.Subject{Organisation: "a", Request: quarantine.NewFingerprint("a", "/v1", []byte(body))}
	for _, id := range parts {
		s.Parts = append(s.Parts, quarantine.NewPart(id))
	}
	return s
}

// ran returns the suspect of a request that was sent some time before its upstream ended.
func ran(body string, sentBefore time.Duration, parts ...string) *wire.Suspect {
	s := subject(body, parts...).Suspect()
	s.RanMs = sentBefore.Milliseconds()
	return s
}

func crashReport(id string, running ...*wire.Suspect) *wire.DeathReport {
	return &wire.DeathReport{CrashId: id, Running: running}
}

func isRefused(m *quarantine.Memory, now time.Time, body string) bool {
	return m.Check(now, subject(body)) != nil
}

func progressOf(m *quarantine.Memory, now time.Time, body string) {
	m.RecordCompletion(now, subject(body))
}

// exchange passes evidence between memories until none has news, and returns the number of messages.
func exchange(now time.Time, memories ...*quarantine.Memory) int {
	sent := make([]uint64, len(memories))
	for messages := 0; ; {
		isQuiet := true
		for n, m := range memories {
			evidence, revision, _ := m.Evidence(now, sent[n])
			if sent[n] = revision; evidence == nil {
				continue
			}
			isQuiet = false
			for k, other := range memories {
				if k != n {
					messages++
					now = now.Add(3 * time.Millisecond)
					other.Merge(now, proto.CloneOf(evidence))
				}
			}
		}
		if isQuiet || messages > 1000 {
			return messages
		}
	}
}

// What one entry saw of a crash and another of the next must lead to a refusal at both and at a third one, and passing it
// on must come to an end.
func TestEvidenceOfSeveralEntriesAddsUp(t *testing.T) {
	first, second, third := quarantine.NewMemory(), quarantine.NewMemory(), quarantine.NewMemory()
	first.RecordDeath(start, crashReport("u1/1", ran("x", time.Second), ran("y", time.Second)))
	second.RecordDeath(start.Add(2*time.Second), crashReport("u2/1", ran("x", time.Second)))
	now := start.Add(2 * time.Second)
	require.False(t, isRefused(first, now, "x"))
	require.False(t, isRefused(second, now, "x"))
	require.Less(t, exchange(now, first, second, third), 20)
	for _, m := range []*quarantine.Memory{first, second, third} {
		require.True(t, isRefused(m, now.Add(time.Second), "x"))
		require.False(t, isRefused(m, now.Add(time.Second), "y"))
	}
}

// Progress that is passed on must not become newer with each hop and go round for ever.
func TestProgressIsPassedOnOnce(t *testing.T) {
	memories := []*quarantine.Memory{quarantine.NewMemory(), quarantine.NewMemory(), quarantine.NewMemory()}
	memories[0].RecordDeath(start, crashReport("u1/1", ran("x", time.Second)))
	exchange(start, memories...)
	progressOf(memories[1], start.Add(time.Second), "x")
	require.Less(t, exchange(start.Add(time.Second), memories...), 40)
}

// Upstreams that end together, for example with their failure domain, count once: the second attempt of an innocent
// request had not been sent when they ended. With the times of sending removed, the request would be refused.
func TestUpstreamsThatEndTogetherCountOnce(t *testing.T) {
	for _, c := range []struct {
		sentBefore time.Duration
		isRefused  bool
	}{{time.Second, false}, {0, true}} {
		m := quarantine.NewMemory()
		for n := range 5 {
			m.RecordDeath(start.Add(time.Duration(n)*time.Millisecond), crashReport(fmt.Sprint(n), ran("x", c.sentBefore)))
		}
		require.Equal(t, c.isRefused, isRefused(m, start.Add(time.Second), "x"))
	}
}

// A request whose answer goes on well between two crashes, or after the second, must not stay refused. Without the
// progress it is refused.
func TestProgressFreesARequest(t *testing.T) {
	second := start.Add(10 * time.Second)
	for _, c := range []struct {
		name      string
		progress  time.Time
		isRefused bool
	}{
		{"none", time.Time{}, true}, {"between", start.Add(5 * time.Second), false}, {"after", second.Add(time.Second), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := quarantine.NewMemory()
			m.RecordDeath(start, crashReport("1", ran("x", time.Second)))
			if !c.progress.IsZero() && c.progress.Before(second) {
				progressOf(m, c.progress, "x")
			}
			m.RecordDeath(second, crashReport("2", ran("x", time.Second)))
			if c.progress.After(second) {
				progressOf(m, c.progress, "x")
			}
			require.Equal(t, c.isRefused, isRefused(m, second.Add(2*time.Second), "x"))
		})
	}
}

// An innocent request that was running beside a deadly one in two crashes must not be refused. Without the deadly request
// in the reports it is.
func TestRequestBesideADeadlyOneIsNotRefused(t *testing.T) {
	for _, isDeadlyReported := range []bool{true, false} {
		m := quarantine.NewMemory()
		for n := range 4 {
			report := crashReport(fmt.Sprint(n))
			if isDeadlyReported {
				report.Running = append(report.Running, ran("deadly", time.Second))
			}
			if n == 0 || n == 3 {
				report.Running = append(report.Running, ran("innocent", time.Second))
			}
			m.RecordDeath(start.Add(time.Duration(n)*5*time.Second), report)
		}
		now := start.Add(16 * time.Second)
		require.Equal(t, isDeadlyReported, isRefused(m, now, "deadly"))
		require.Equal(t, !isDeadlyReported, isRefused(m, now, "innocent"))
	}
}

// After the refusal has ended, one request is tried at a time; a further crash refuses it for longer, and an answer that
// goes well frees it.
func TestTrialAfterARefusal(t *testing.T) {
	m := quarantine.NewMemory()
	m.RecordDeath(start, crashReport("1", ran("x", time.Second)))
	m.RecordDeath(start.Add(5*time.Second), crashReport("2", ran("x", time.Second)))
	refused := m.Begin(start.Add(5*time.Second), subject("x"))
	require.NotNil(t, refused)
	trial := start.Add(5 * time.Second).Add(refused.RetryAfter)
	require.Nil(t, m.Begin(trial, subject("x")))
	require.NotNil(t, m.Begin(trial.Add(time.Second), subject("x")))
	m.RecordDeath(trial.Add(time.Second), crashReport("3", ran("x", time.Second)))
	again := m.Check(trial.Add(time.Second), subject("x"))
	require.NotNil(t, again)
	require.True(t, isRefused(m, trial.Add(2*refused.RetryAfter), "x"))

	progressOf(m, trial.Add(3*refused.RetryAfter), "x")
	require.False(t, isRefused(m, trial.Add(3*refused.RetryAfter), "x"))
}

// What a deadly request explains must stay explained until nothing counts any more of those that ran beside it.
func TestExplanationOutlivesSuspicion(t *testing.T) {
	m := quarantine.NewMemory()
	for n := range 2 {
		m.RecordDeath(start.Add(time.Duration(n)*time.Second), crashReport(fmt.Sprint(n),
			ran("deadly", time.Second), ran(fmt.Sprint("innocent ", n), time.Second)))
	}
	for seconds := 1; seconds < 600; seconds += 10 {
		now := start.Add(time.Duration(seconds) * time.Second)
		later := quarantine.NewMemory()
		evidence, _, _ := m.Evidence(now, 0)
		later.Merge(now, evidence)
		later.RecordDeath(now, crashReport("later", ran("innocent 1", 100*time.Millisecond)))
		require.False(t, isRefused(later, now, "innocent 1"), "%d s", seconds)
	}
}

// What cleared a request must be known for as long as the crashes that it cleared, also at a process that did not see it.
// Otherwise a later crash of something else makes the old ones count again.
func TestClearedCrashesStayCleared(t *testing.T) {
	m := quarantine.NewMemory()
	popular := subject("popular", "common")
	at := start
	for n := range 4 {
		m.RecordDeath(at, crashReport(fmt.Sprint(n), ran("popular", time.Second, "common"), ran(fmt.Sprint("other ", n), time.Second, "common")))
		at = at.Add(5 * time.Second)
		m.RecordCompletion(at, popular)
		at = at.Add(5 * time.Second)
	}
	witness := quarantine.NewMemory()
	evidence, _, _ := m.Evidence(at, 0)
	witness.Merge(at, evidence)
	for minute := range 60 {
		now := at.Add(time.Duration(minute) * time.Minute)
		witness.RecordDeath(now, crashReport(fmt.Sprint("unrelated ", minute), ran(fmt.Sprint("unrelated ", minute), time.Second)))
		require.Nil(t, witness.Check(now, popular), "minute %d", minute)
	}
}

// Memories that receive the same evidence in another order, and some of it twice, must refuse the same requests.
func TestOrderOfEvidenceDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type item struct {
			at     time.Time
			report *wire.DeathReport
			body   string
		}
		var items []item
		for n := range rapid.IntRange(1, 8).Draw(t, "items") {
			at := start.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "second")) * time.Second)
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				items = append(items, item{at: at, body: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "body"))})
				continue
			}
			report := crashReport(fmt.Sprint(n))
			for range rapid.IntRange(1, 2).Draw(t, "running") {
				suspect := ran(
					fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "body")), time.Second, fmt.Sprint("part ", rapid.IntRange(0, 1).Draw(t, "part")),
				)
				if rapid.Bool().Draw(t, "answering") {
					report.Answering = append(report.Answering, suspect)
				} else {
					report.Running = append(report.Running, suspect)
				}
			}
			items = append(items, item{at: at, report: report})
		}
		now := start.Add(61 * time.Second)
		apply := func(order []int) *quarantine.Memory {
			m := quarantine.NewMemory()
			for _, n := range order {
				age := now.Sub(items[n].at).Milliseconds()
				evidence := &wire.Evidence{}
				if report := items[n].report; report != nil {
					evidence.Deaths = []*wire.DeathReport{{CrashId: report.CrashId, Running: report.Running, Answering: report.Answering, AgeMs: age}}
				} else {
					f := quarantine.NewFingerprint("a", "/v1", []byte(items[n].body))
					part := quarantine.NewPart("part " + items[n].body)
					evidence.Progress = []*wire.Progress{
						{Fingerprint: f.Bytes(), Organisation: "a", AgeMs: age}, {Fingerprint: part.Bytes(), IsPart: true, AgeMs: age},
					}
				}
				m.Merge(now, evidence)
			}
			return m
		}
		order := make([]int, len(items))
		for n := range order {
			order[n] = n
		}
		other := rapid.Permutation(order).Draw(t, "order")
		first, second := apply(order), apply(append(other, other[0]))
		for body := range 3 {
			require.Equal(t, isRefused(first, now, fmt.Sprint(body)), isRefused(second, now, fmt.Sprint(body)), "body %d", body)
		}
		for part := range 2 {
			id := fmt.Sprint("part ", part)
			require.Equal(t, refusesPart(first, now, id), refusesPart(second, now, id), id)
		}
	})
}

// Two entries each saw an upstream end under the same request. Once they have exchanged their evidence, both refuse it.
func ExampleMemory() {
	now := time.Now()
	deadly := quarantine.Subject{Organisation: "tuulai", Request: quarantine.NewFingerprint("tuulai", "/draft", []byte("deadly"))}
	first, second := quarantine.NewMemory(), quarantine.NewMemory()
	first.RecordDeath(now, &wire.DeathReport{CrashId: "u1/1", AgeMs: 900, Running: []*wire.Suspect{deadly.Suspect()}})
	second.RecordDeath(now, &wire.DeathReport{CrashId: "u2/1", Running: []*wire.Suspect{deadly.Suspect()}})
	fmt.Println(first.Check(now, deadly))
	evidence, _, _ := second.Evidence(now, 0)
	first.Merge(now, evidence)
	fmt.Println(first.Check(now, deadly).Reason)
	// Output:
	// <nil>
	// deadly
}
