// Package placement chooses the group of ranks that serves a request at an entry. It prefers groups in the failure domain
// of the entry and moves load to others gradually as those fill up. All entries see the same load report, which is some
// hundred milliseconds old. The choice is therefore random with probabilities that change continuously with the fill of
// the groups: a rule with a threshold would make all entries shift at once and oscillate. The package does no I/O and
// reads no clock.
package placement

import (
	"math"
	"time"
)

const (
	// spillStart is the fill up to which a group in the own domain takes every request. On the model of the tests, 0.7
	// sends half as many more streams to other domains, and 0.85 makes streams late where one domain has most demand.
	spillStart = 0.8
	// spillWidth is the excess of fill over the mean of the other groups at which no request goes to the own domain any
	// more. The loop of placement, report and placement is stable while the age of a report, divided by the length of a
	// stream, is below spillWidth.
	spillWidth = 0.3
	// lateStart is the pause ratio above which pauses raise the fill beyond spillStart, and lateFull the one that counts as
	// a fill of 1: the objective itself, while the target is 0.9 of it. Pauses within the target cost callers nothing, so
	// they cause no crossing of domains.
	lateStart, lateFull = 1.0, 1 / 0.9
	// pauseLife is the age up to which a pause ratio counts fully. Beyond that its weight halves in each pauseHalfLife,
	// so that a group which no stream enters because of its pauses is tried again.
	pauseLife, pauseHalfLife = 500 * time.Millisecond, time.Second
	// maxPrior is the largest pause ratio that is assumed of a group without recent samples.
	maxPrior = 1.0
	// maxLate bounds the fill that pauses cause. Groups that miss the objective by more are equally useless to callers.
	maxLate = 1.2
	// overrun is the share of its limit by which the streams of a group may exceed the limit while the groups together
	// have room. Without it, all entries would send everything to the one group that had room in their common report.
	overrun = 0.1
	// minRoom is the smallest share of the limit that counts as room of a group that takes requests. It keeps the
	// weights of groups positive that admit requests although their fill is 1 or more.
	minRoom = 0.02
)

type (
	// Group is the state of one group as an entry knows it.
	Group struct {
		// LocalShare is the share of the usable ranks that are in the domain of the entry.
		LocalShare float64
		// Running is the number of streams of all entries, Limit how many may run at once, and Slots how many the ranks
		// can run. A group with a limit of 0 takes no request.
		Running, Limit, Slots float64
		// PauseRatio is the inter-event latency divided by its target, 0 if it is not known. PauseAge is the time since
		// it was last observed.
		PauseRatio float64
		PauseAge   time.Duration
	}

	// Choice is the group for a request.
	Choice struct {
		// Index is the index of the group.
		Index int
		// Fill is how full the group is: 0 is idle, and from 1 on it is full or misses the objective for pauses.
		Fill float64
	}

	// chooser holds the input of Choose and the pause ratio that is assumed of groups without recent samples.
	chooser struct {
		groups []Group
		share  float64
		prior  float64
	}
)

// Estimate returns the streams that run at a group now: those of a load report, and the change since then. An entry knows
// only the change of its own streams, and assumes that the others have decided alike, since they have the same report. It
// multiplies its own change by the root of the number of entries: by less, placement would react to changes that are
// already under way, and by more, the estimate would vary more than the streams do.
func Estimate(reported, own, ownThen, entries float64) float64 {
	return max(reported+math.Sqrt(max(entries, 1))*(own-ownThen), own)
}

// Choose returns the group for a request, or false if the groups together have no room. The function draw returns random
// numbers in [0, 1).
func Choose(groups []Group, share float64, draw func() float64) (Choice, bool) {
	if !haveRoom(groups, share) {
		return Choice{}, false
	}
	c := chooser{groups: groups, share: share, prior: prior(groups)}
	home := c.home()
	chosen := home
	if home < 0 || draw() < c.spill(home) {
		if other := c.other(home, draw()); other >= 0 {
			chosen = other
		}
	}
	if chosen < 0 {
		// With a share above 1, a group may have room below its limit and none in its slots.
		return Choice{}, false
	}
	return Choice{Index: chosen, Fill: c.fill(chosen)}, true
}

// haveRoom reports whether the groups together have room for another request. The room of a group that is far over its
// limit is not missing in the others.
func haveRoom(groups []Group, share float64) bool {
	running, limit := 0.0, 0.0
	for _, g := range groups {
		running += min(g.Running, (1+overrun)*share*g.Limit)
		limit += share * g.Limit
	}
	return running < limit
}

// prior returns the mean pause ratio of the groups, weighted by how recent it is.
func prior(groups []Group) float64 {
	total, weights := 0.0, 0.0
	for _, g := range groups {
		w := g.freshness()
		total += w * g.PauseRatio
		weights += w
	}
	if weights == 0 {
		return 0
	}
	return min(total/weights, maxPrior)
}

// freshness returns the weight of the pause ratio, from 1 for a recent one to 0 for one that is unknown.
func (g Group) freshness() float64 {
	if g.PauseRatio <= 0 {
		return 0
	}
	stale := max(g.PauseAge-pauseLife, 0)
	return math.Exp2(-float64(stale) / float64(pauseHalfLife))
}

// fill returns how full a group is, by its streams or by its pauses.
func (c chooser) fill(i int) float64 {
	g := c.groups[i]
	if g.Limit <= 0 {
		return 1
	}
	w := g.freshness()
	ratio := w*g.PauseRatio + (1-w)*c.prior
	byStreams := g.Running / g.Limit
	if ratio <= lateStart {
		return byStreams
	}
	return max(byStreams, min(spillStart+(1-spillStart)*(ratio-lateStart)/(lateFull-lateStart), maxLate))
}

// isOpen reports whether a group may get the request, given that one has room.
func (c chooser) isOpen(i int) bool {
	g := c.groups[i]
	return g.Running < min((1+overrun)*c.share*g.Limit, max(g.Slots, g.Limit))
}

// home returns the open group that has the largest share of its ranks in the own domain, and the least full one of
// several. It returns -1 if no such group has a rank in the own domain.
func (c chooser) home() int {
	home := -1
	for i, g := range c.groups {
		if g.LocalShare <= 0 || !c.isOpen(i) {
			continue
		}
		if home < 0 || g.LocalShare > c.groups[home].LocalShare ||
			g.LocalShare == c.groups[home].LocalShare && c.fill(i) < c.fill(home) {
			home = i
		}
	}
	return home
}

// spill returns the probability with which a request leaves the home group for another one.
func (c chooser) spill(home int) float64 {
	fill := c.fill(home)
	if fill <= spillStart {
		return 0
	}
	total, weights := 0.0, 0.0
	for i, g := range c.groups {
		if i != home && c.isOpen(i) {
			total += g.Limit * c.fill(i)
			weights += g.Limit
		}
	}
	if weights == 0 {
		return 0
	}
	return (fill - max(total/weights, spillStart)) / spillWidth
}

// other draws an open group other than home with a probability proportional to its room. It returns -1 if there is none.
func (c chooser) other(home int, drawn float64) int {
	room := func(i int) float64 {
		if i == home || !c.isOpen(i) {
			return 0
		}
		return c.groups[i].Limit * max(1+overrun-c.fill(i), minRoom)
	}
	total := 0.0
	for i := range c.groups {
		total += room(i)
	}
	left, chosen := drawn*total, -1
	for i := range c.groups {
		r := room(i)
		if r <= 0 {
			continue
		}
		chosen = i
		if left -= r; left < 0 {
			break
		}
	}
	return chosen
}
