package lockstep_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/lockstep"
)

// Where arming takes a part of a pass that the next map shortens much, the next pass but one is early enough; where it takes
// several passes, the group had rather run these with the old map than stand still.
func ExampleLead() {
	few := lockstep.Lead{
		Pass: 130 * time.Millisecond, Saving: 60 * time.Millisecond, GapObjective: 120 * time.Millisecond,
		Arming: []time.Duration{12 * time.Millisecond, 36 * time.Millisecond},
	}
	many := lockstep.Lead{
		Pass: 90 * time.Millisecond, Saving: 20 * time.Millisecond, GapObjective: 150 * time.Millisecond,
		Arming: []time.Duration{80 * time.Millisecond, 90 * time.Millisecond, 240 * time.Millisecond},
	}
	fmt.Println(few.Passes(), many.Passes())
	// Output: 1 3
}

// Load pattern: the demand shifts, and a switch follows each time, in groups whose ranks are armed within a pass and in
// groups where that takes several. Guards against a lead that is rounded to passes, with which a large group stands still, and
// against one that is always rounded up, with which a small group runs long passes on the old map.
func TestLeadCostsNoMoreThanEitherRounding(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		name              string
		pass, saving, gap time.Duration
		fastest, slowest  time.Duration
		rareShare         float64
	}{
		{"small group, long passes", 130 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 0},
		{"small group, short passes", 60 * time.Millisecond, 10 * time.Millisecond, 120 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 0},
		{"large group", 90 * time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond, 50 * time.Millisecond, 80 * time.Millisecond, 0.15},
		{"large group, passes over the objective", 160 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond, 50 * time.Millisecond, 80 * time.Millisecond, 0.15},
	} {
		t.Run(c.name, func(t *testing.T) {
			arming := func() time.Duration {
				if random.Float64() < c.rareShare {
					return 3 * c.slowest
				}
				return c.fastest + time.Duration(random.Float64()*float64(c.slowest-c.fastest))
			}
			var recent []time.Duration
			costs := [3]time.Duration{}
			for range 2000 {
				if len(recent) == 8 {
					lead := lockstep.Lead{Pass: c.pass, Saving: c.saving, GapObjective: c.gap, Arming: recent}
					took, phase := arming(), random.Float64()
					rounded := 1 + int(1.2*float64(slowestOf(recent))/float64(c.pass)+0.5)
					whole := 2 + int(1.2*float64(slowestOf(recent))/float64(c.pass))
					for n, passes := range []int{int(lead.Passes()), rounded, whole} {
						costs[n] += c.saving * time.Duration(passes-1)
						standing := took - time.Duration((float64(passes-1)+phase)*float64(c.pass))
						if standing > 0 {
							costs[n] += standing
							if c.pass <= c.gap && c.pass+standing > c.gap {
								costs[n] += 500 * time.Millisecond
							}
						}
					}
				}
				recent = append(recent, arming())
				recent = recent[max(len(recent)-8, 0):]
			}
			t.Logf("weighed %v, rounded %v, whole passes %v", costs[0], costs[1], costs[2])
			require.LessOrEqual(t, float64(costs[0]), 1.05*float64(min(costs[1], costs[2])))
		})
	}
}

func slowestOf(times []time.Duration) time.Duration {
	slowest := time.Duration(0)
	for _, d := range times {
		slowest = max(slowest, d)
	}
	return slowest
}
