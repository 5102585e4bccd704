package registry_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/quota"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
)

// asker is an entry that always asks for quota at one upstream.
type asker struct {
	mutex   sync.Mutex
	heard   quota.Limit
	limits  []quota.Limit
	granted []time.Time
}

// next asks for more than the limit allows, and reports the limit that the entry has heard.
func (a *asker) next(time.Time, bool) (limits []quota.Limit, demands []quota.Demand) {
	if a.heard.Upstream != "" {
		limits = []quota.Limit{a.heard}
	}
	return limits, []quota.Demand{{Service: "s", Requests: 100}}
}

func (a *asker) onGrants(now time.Time, grants []quota.Grant) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, g := range grants {
		for range g.Requests {
			a.granted = append(a.granted, now)
		}
	}
}

func (a *asker) onLimits(_ time.Time, limits []quota.Limit) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.limits = append(a.limits, limits...)
}

// grantsAfter returns how many requests were granted after a time.
func (a *asker) grantsAfter(from time.Time) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := 0
	for _, at := range a.granted {
		if at.After(from) {
			count++
		}
	}
	return count
}

// follow starts a follower of the group that asks for quota.
func (a *asker) follow(g *group) {
	follower := registry.NewFollower(registry.FollowerSettings{
		Seeds: func() []string { return append([]string(nil), g.seeds...) }, IsEntry: true, Log: quietLog(),
		OnUpstreams: func([]roster.Entry, []roster.Entry) {},
		Quota: registry.QuotaClient{
			Next: a.next, OnGrants: a.onGrants, OnLimits: a.onLimits, Lacking: func() <-chan struct{} { return nil },
		},
	})
	ctx, cancel := context.WithCancel(g.t.Context())
	done := make(chan error, 1)
	go func() { done <- follower.Run(ctx) }()
	g.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// leaderID waits until a replica leads and returns its ID.
func (g *group) leaderID() string {
	leader := g.leader()
	for id, r := range g.running {
		if r == leader {
			return id
		}
	}
	return ""
}

// Guards against quota that ends for good with a leader, or is granted twice when it changes, and against a limit that only the
// entry which heard it knows.
func TestQuotaOutlivesItsLeader(t *testing.T) {
	const limit = 20.0
	g := newGroup(t, 5, 2)
	g.submit(1)
	named := availability.RateLimit{IsNamed: true, PerSecond: limit}
	entries := []*asker{{heard: quota.Limit{Upstream: "u", Born: 1, Service: "s", RateLimit: named, Heard: time.Now()}}, {}}
	for _, e := range entries {
		e.follow(g)
	}
	began := time.Now()
	count := func(from time.Time) int { return entries[0].grantsAfter(from) + entries[1].grantsAfter(from) }
	require.Eventually(t, func() bool { return entries[1].grantsAfter(began) > 10 }, 20*time.Second, 10*time.Millisecond)
	time.Sleep(2 * time.Second)
	g.stop(g.leaderID())
	lost := time.Now()
	require.Eventually(t, func() bool { return count(lost.Add(time.Second)) > 10 }, 20*time.Second, 10*time.Millisecond)
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, float64(count(began)), limit*time.Since(began).Seconds()+limit)
	entries[1].mutex.Lock()
	defer entries[1].mutex.Unlock()
	require.NotEmpty(t, entries[1].limits)
	require.Equal(t, named, entries[1].limits[0].RateLimit)
}
