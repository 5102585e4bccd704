package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "guavahitch.example/guavahitch/proptest"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

// TestEachMechanismLimitsTheDamage resends one deadly request from two callers at nearly the same time. With all
// mechanisms it crashes two upstreams and fails no other request. Without verdicts, trial delay or a common trial
// upstream it crashes more; without running suspects alone, other requests fail.
func TestEachMechanismLimitsTheDamage(t *testing.T) {
	worst := func(p policy) (lost, failed int) {
		for seed := range uint64(40) {
			m := simulate(p, seed, 2)
			lost, failed = max(lost, m.lost), failed+m.failed
		}
		return lost, failed
	}
	lost, failed := worst(allMechanisms)
	require.Equal(t, 2, lost)
	require.Zero(t, failed)

	for _, without := range []func(p *policy){
		func(p *policy) { p.checkVerdicts = false },
		func(p *policy) { p.delayTrials = false },
		func(p *policy) { p.sameUpstream = false },
	} {
		p := allMechanisms
		without(&p)
		lost, _ = worst(p)
		require.Greater(t, lost, 2)
	}
	p := allMechanisms
	p.runAlone = false
	_, failed = worst(p)
	require.Positive(t, failed)
}

// drawReports draws crash reports with requests of a few organisations and bodies, some of them with repeated IDs.
func drawReports(t *rapid.T) []*wire.DeathReport {
	var all []*wire.DeathReport
	for n := range rapid.IntRange(1, 40).Draw(t, "crashes") {
		report := &wire.DeathReport{CrashId: fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id"))}
		for range rapid.IntRange(0, 6).Draw(t, "running") {
			organisation := fmt.Sprint("organisation-", rapid.IntRange(0, 3).Draw(t, "organisation"))
			report.Running = append(report.Running, suspect(organisation, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "body")), false))
		}
		all = append(all, report)
	}
	return all
}

func TestVerdictsStayWithinBoundsAndOrganisations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := quarantine.Settings{PerOrganisation: 4, Limit: 10}
		tracker, twin := quarantine.NewTracker(settings), quarantine.NewTracker(settings)
		ran := map[string]map[string]bool{}
		for n, report := range drawReports(t) {
			now := start.Add(time.Duration(n) * time.Second)
			first, second := tracker.RecordDeath(now, report), twin.RecordDeath(now, report)
			require.Len(t, second, len(first))
			for i := range first {
				require.True(t, proto.Equal(first[i], second[i]))
			}
			for _, s := range report.Running {
				id := s.Organisation + string(s.Fingerprint)
				if ran[id] == nil {
					ran[id] = map[string]bool{}
				}
				ran[id][report.CrashId] = true
			}
			require.LessOrEqual(t, tracker.Len(), settings.Limit)
			held := map[string]int{}
			for _, v := range tracker.Verdicts() {
				held[v.Organisation]++
				require.LessOrEqual(t, held[v.Organisation], settings.PerOrganisation)
				crashes := len(ran[v.Organisation+string(v.Fingerprint)])
				require.Positive(t, crashes, "only requests that ran are suspects")
				require.False(t, v.Proved && crashes < 2, "one crash is no proof")
			}
		}
	})
}

func TestOneOrganisationCannotEvictAnother(t *testing.T) {
	tracker := quarantine.NewTracker(quarantine.Settings{PerOrganisation: 8, Limit: 20})
	tracker.RecordDeath(start, &wire.DeathReport{CrashId: "first", Running: []*wire.Suspect{suspect("small", "x", false)}})
	for n := range 200 {
		report := &wire.DeathReport{CrashId: fmt.Sprint(n)}
		for organisation := range 5 {
			report.Running = append(report.Running, suspect(fmt.Sprint("large-", organisation), fmt.Sprint(n), false))
		}
		tracker.RecordDeath(start.Add(time.Second), report)
	}
	verdicts := tracker.Verdicts()
	require.Equal(t, "small", verdicts[len(verdicts)-1].Organisation)
}

func TestRequestsOfTheSameTwoCrashesAreRefusedForAWhile(t *testing.T) {
	tracker := quarantine.NewTracker(quarantine.Settings{})
	view := &quarantine.View{}
	for _, crash := range []string{"1", "2"} {
		tracker.RecordDeath(start, &wire.DeathReport{CrashId: crash, Running: []*wire.Suspect{suspect("a", "x", false), suspect("b", "y", false)}})
	}
	view.SetVerdicts(tracker.Verdicts())
	_, refused := view.Check(start, "b", quarantine.NewFingerprint("b", "/v1", []byte("y")), true)
	require.Equal(t, quarantine.SuspectFor, refused.RetryAfter)
	tracker.Expire(start.Add(quarantine.SuspectFor))
	require.Zero(t, tracker.Len())
}

func TestASuspectIsClearedOrExpires(t *testing.T) {
	tracker := quarantine.NewTracker(quarantine.Settings{})
	f := quarantine.NewFingerprint("a", "/v1", []byte("x"))
	crash := &wire.DeathReport{CrashId: "1", Running: []*wire.Suspect{suspect("a", "x", false), suspect("a", "y", false)}}
	tracker.RecordDeath(start, crash)
	require.True(t, tracker.Clear("a", f))
	require.False(t, tracker.Clear("b", f))
	require.Equal(t, 1, tracker.Len())
	tracker.Expire(start.Add(quarantine.SuspectFor))
	require.Zero(t, tracker.Len())
}
