package daemon_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/daemon"
	"guavahitch.example/guavahitch/expertmap"
	"guavahitch.example/guavahitch/fake"
	"guavahitch.example/guavahitch/settings"
)

const groupInventory = `{
  "Models": [{"Name": "m"}],
  "Groups": [{"Name": "g", "Model": "m", "Ranks": 4, "Experts": 8, "Layers": 2, "SpareSlots": 1}],
  "Organisations": [{"Name": "north"}],
  "Rules": {"AdmitUnlisted": true},
}`

// groupSystem is a cluster with a group of four ranks on six engines, two sidecars and three control replicas.
type groupSystem struct {
	*cluster
	ranks    *fake.Ranks
	sidecars []*daemon.Process
}

func newGroupSystem(t *testing.T) *groupSystem {
	g := &groupSystem{cluster: newClusterWith(t, 3, groupInventory)}
	g.ranks = fake.NewRanks(fake.RanksSettings{
		Engines: 6, Shape: expertmap.Shape{Ranks: 4, Experts: 8, Layers: 2, Slots: 3}, Step: 5 * time.Millisecond, Seed: 7,
	})
	require.NoError(t, g.ranks.Start(loopback))
	t.Cleanup(g.ranks.Stop)
	for n := range 2 {
		g.sidecars = append(g.sidecars, g.start(g.settings(n)))
	}
	g.awaitSteps()
	return g
}

func (g *groupSystem) settings(n int) *settings.Settings {
	name := []string{"up-1", "up-2"}[n]
	s := g.sidecarSettings(name, freeAddress(g.t), "service", "m", 4)
	s.Sidecar.Group, s.Sidecar.Ranks, s.Sidecar.RanksEngine, s.Sidecar.FirstRank = "g", 3, g.ranks.Address(), 3*n
	return s
}

// awaitSteps waits until the group has run a hundred further steps, and requires that no step mixed two expert maps.
func (g *groupSystem) awaitSteps() {
	begun, _, _ := g.ranks.Steps()
	require.Eventually(g.t, func() bool {
		step, _, _ := g.ranks.Steps()
		return step > begun+100
	}, waitTimeout, 5*time.Millisecond)
	require.Zero(g.t, g.ranks.MixedMapSteps())
}

// Guards against a group that stops, or runs a step on two expert maps, after the failure of an engine, of control's
// leader or of a sidecar.
func TestGroupContinuesThroughFailures(t *testing.T) {
	g := newGroupSystem(t)
	t.Run("an engine restarts", func(*testing.T) {
		g.ranks.Restart(1)
		g.awaitSteps()
	})
	t.Run("the leader of control crashes", func(*testing.T) {
		leader := g.leader()
		g.abort(g.controls[leader], g.replicas[leader].Name)
		g.awaitSteps()
		g.ranks.Restart(2)
		g.awaitSteps()
	})
	t.Run("a sidecar and an engine restart", func(*testing.T) {
		g.abort(g.sidecars[0], "up-1")
		g.ranks.Restart(0)
		g.sidecars[0] = g.start(g.settings(0))
		g.awaitSteps()
	})
}
