package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "guavahitch.example/guavahitch/proptest"
	"guavahitch.example/guavahitch/roster"
)

var start = time.Unix(1_700_000_000, 0)

func instance(id string, born int64, sequence uint64, state roster.State) roster.Instance {
	return roster.Instance{ID: id, Born: born, Sequence: sequence, Service: "ledger", Address: "10.0.0.1:80", State: state}
}

// A late announcement of an earlier incarnation changes nothing.
func ExampleRoster() {
	r := roster.New()
	r.Announce(roster.Instance{ID: "a", Born: 2, Address: "10.0.0.1:80", State: roster.Ready}, start)
	fmt.Println(r.Announce(roster.Instance{ID: "a", Born: 1, Address: "10.0.0.9:80", State: roster.Ready}, start))
	fmt.Println(r.Get("a").Instance.Address)
	// Output:
	// false
	// 10.0.0.1:80
}

func TestOrderOfAnnouncements(t *testing.T) {
	for _, c := range []struct {
		name  string
		first roster.Instance
		then  roster.Instance
		want  roster.State
	}{
		{"drains", instance("a", 1, 1, roster.Ready), instance("a", 1, 2, roster.Draining), roster.Draining},
		{"late ready after draining", instance("a", 1, 5, roster.Draining), instance("a", 1, 4, roster.Ready), roster.Draining},
		{"draining overtakes", instance("a", 1, 5, roster.Ready), instance("a", 1, 4, roster.Draining), roster.Draining},
		{"starts again", instance("a", 1, 9, roster.Draining), instance("a", 2, 1, roster.Ready), roster.Ready},
		{"comes back after the end", instance("a", 1, 9, roster.Gone), instance("a", 1, 10, roster.Ready), roster.Gone},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := roster.New()
			r.Announce(c.first, start)
			r.Announce(c.then, start)
			require.Equal(t, c.want, r.Get("a").Instance.State)
		})
	}
}

// Guards against two upstreams at one address. A later start at an address ends the upstream that had it, and late
// announcements of the earlier one do not end the later one.
func TestAddressIsTakenOver(t *testing.T) {
	r := roster.New()
	r.Announce(instance("a", 1, 1, roster.Ready), start)
	r.Announce(instance("b", 2, 1, roster.Ready), start)
	require.Equal(t, roster.Gone, r.Get("a").Instance.State)
	r.Announce(instance("a", 1, 2, roster.Ready), start)
	require.Equal(t, roster.Ready, r.Get("b").Instance.State)
	require.Equal(t, roster.Gone, r.Get("a").Instance.State)
}

// Guards against another sender that takes a healthy upstream out of use by an announcement that names no service of the
// configuration, under its ID or at its address.
func TestUnservedAnnouncementsDoNotReplaceServedOnes(t *testing.T) {
	r := roster.New()
	r.SetServices(func(service string) bool { return service == "ledger" })
	unserved := func(id string, state roster.State) roster.Instance {
		i := instance(id, 9, 100, state)
		i.Service = "unknown"
		return i
	}
	requireSound := func(sequence uint64) {
		r.Announce(instance("a", 1, sequence, roster.Ready), start)
		require.Equal(t, instance("a", 1, sequence, roster.Ready), r.Get("a").Instance)
	}
	r.Announce(unserved("a", roster.Ready), start)
	requireSound(1)
	r.Announce(unserved("a", roster.Draining), start)
	requireSound(2)
	r.Announce(unserved("b", roster.Ready), start)
	requireSound(3)
	require.True(t, r.Leave("a", 1, start))
	r.Announce(unserved("a", roster.Ready), start)
	require.False(t, r.Announce(instance("a", 1, 4, roster.Ready), start), "a late announcement of an upstream that left")
	require.Equal(t, "unknown", r.Get("a").Instance.Service)
}

// Guards against an upstream that is not used although its service has come into the configuration after its announcements.
func TestServiceThatComesLater(t *testing.T) {
	r := roster.New()
	r.SetServices(func(string) bool { return false })
	r.Announce(instance("a", 1, 1, roster.Ready), start)
	r.SetServices(func(string) bool { return true })
	require.Equal(t, roster.Ready, r.Get("a").Instance.State)
	require.False(t, r.Announce(instance("a", 1, 2, roster.Ready), start))
}

// Guards against an upstream that another sender ends by its address before the configuration is known, and against two upstreams
// at one address after it has come.
func TestTakeoversWaitForTheConfiguration(t *testing.T) {
	r := roster.New()
	r.SetServices(func(string) bool { return false })
	unserved := instance("x", 9, 1, roster.Ready)
	unserved.Service = "unknown"
	for _, i := range []roster.Instance{instance("a", 1, 1, roster.Ready), unserved, instance("b", 2, 1, roster.Ready)} {
		r.Announce(i, start)
	}
	require.Equal(t, roster.Ready, r.Get("a").Instance.State)
	r.SetServices(func(service string) bool { return service == "ledger" })
	require.Equal(t, roster.Gone, r.Get("a").Instance.State)
	require.Equal(t, roster.Ready, r.Get("b").Instance.State)
}

func TestLeaveAndExpire(t *testing.T) {
	r := roster.New()
	r.Announce(instance("a", 5, 1, roster.Ready), start)
	require.False(t, r.Leave("a", 4, start), "an earlier incarnation left")
	require.True(t, r.Leave("a", 5, start))
	require.False(t, r.Announce(instance("a", 5, 9, roster.Ready), start))
	require.True(t, r.Announce(instance("a", 6, 1, roster.Ready), start))
	r.Expire(start.Add(29*time.Second), 30*time.Second)
	require.NotNil(t, r.Get("a"))
	r.Expire(start.Add(31*time.Second), 30*time.Second)
	require.Nil(t, r.Get("a"))
}

// Guards against heartbeats that each count as a change because a countdown in them has advanced, and against an upstream whose
// cold time begins, ends, or begins again without a change.
func TestCountdownIsARenewal(t *testing.T) {
	r := roster.New()
	sequence, now := uint64(0), start
	announce := func(after, left time.Duration) bool {
		now = now.Add(after)
		sequence++
		i := instance("a", 1, sequence, roster.Ready)
		i.ColdUntil = now.Add(left)
		return r.Announce(i, now)
	}
	require.True(t, announce(0, 5*time.Second), "new")
	revision := r.Revision()
	for range 3 {
		require.False(t, announce(1200*time.Millisecond, 3800*time.Millisecond+start.Add(1200*time.Millisecond).Sub(now)))
	}
	require.Equal(t, revision, r.Revision())
	require.Equal(t, start.Add(5*time.Second), r.Get("a").Instance.ColdUntil)
	require.Equal(t, now, r.Get("a").LastHeartbeat)
	require.True(t, r.Get("a").Instance.IsCold(now))
	require.True(t, announce(1200*time.Millisecond, 0), "warm")
	require.False(t, r.Get("a").Instance.IsCold(now))
	require.False(t, announce(1200*time.Millisecond, -time.Hour), "still warm")
	require.True(t, announce(1200*time.Millisecond, 2*time.Second), "cold")
	require.True(t, announce(1200*time.Millisecond, 20*time.Second), "cold for longer")
	require.False(t, announce(1200*time.Millisecond, 18*time.Second), "a late heartbeat")
}

// Guards against replicas that disagree on upstreams. Two rosters that receive the same announcements in different
// orders hold the same incarnations and states at the end.
func TestRostersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) roster.Instance {
			i := instance(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), rapid.Int64Range(1, 3).Draw(t, "born"),
				rapid.Uint64Range(1, 5).Draw(t, "sequence"), rapid.SampledFrom([]roster.State{roster.Ready, roster.Draining, roster.Gone}).Draw(t, "state"))
			i.Address = "10.0.0.1:" + i.ID
			return i
		})
		announced := rapid.SliceOfN(draw, 1, 12).Draw(t, "announced")
		shuffled := rapid.Permutation(announced).Draw(t, "shuffled")
		one, other := roster.New(), roster.New()
		for i := range announced {
			one.Announce(announced[i], start)
			other.Announce(shuffled[i], start)
		}
		for _, id := range []string{"a", "b"} {
			a, b := one.Get(id), other.Get(id)
			require.Equal(t, a == nil, b == nil)
			if a != nil {
				require.Equal(t, a.Instance.Born, b.Instance.Born)
				require.Equal(t, a.Instance.State, b.Instance.State)
			}
		}
	})
}
