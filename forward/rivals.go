package forward

import (
	"cmp"
	"slices"
	"time"

	"guavahitch.example/guavahitch/quarantine"
)

// This file keeps requests apart that are suspect because of the same crashes (quarantine.Rivals), so that the next crash tells
// which one is deadly.

const (
	// rivalWait is how long a request is held back at most while its rivals run.
	rivalWait = time.Second
	// rivalWaitShare limits the wait to a share of the time to the deadline.
	rivalWaitShare = 0.25
)

// rivals returns the rivals of the request.
func (j *job) rivals(now time.Time) quarantine.Rivals {
	memory := j.server.settings.Memory
	if memory.IsEmpty() {
		return quarantine.Rivals{}
	}
	return memory.Rivals(now, j.subject())
}

// apartFromRivals returns the candidates that are left to a request when its rivals get a share of them, too. All entries
// divide the same candidates alike.
func (j *job) apartFromRivals(candidates []candidate, now time.Time) []candidate {
	if len(candidates) < 2 {
		return candidates
	}
	rivals := j.rivals(now)
	if rivals.Count < 2 {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.Instance().ID, b.Instance().ID) })
	shares := min(rivals.Count, len(candidates))
	own := make([]candidate, 0, len(candidates)/shares+1)
	for n := rivals.Index % shares; n < len(candidates); n += shares {
		own = append(own, candidates[n])
	}
	return own
}

// awaitRivals holds a request back for a while if it has more rivals than there are upstreams to keep them apart.
func (j *job) awaitRivals() {
	now := time.Now()
	if !j.isCrowdedByRivals(now) {
		return
	}
	defer func() { j.rivalWait += time.Since(now) }()
	left := time.Duration(rivalWaitShare * float64(j.deadline.Sub(now)))
	timer := time.NewTimer(min(rivalWait, left))
	defer timer.Stop()
	for {
		changed := j.server.settings.Memory.Changes()
		if !j.isCrowdedByRivals(time.Now()) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-j.request.Context().Done():
			return
		}
	}
}

// isCrowdedByRivals reports whether the rivals that go first leave no upstream to the request.
func (j *job) isCrowdedByRivals(now time.Time) bool {
	rivals := j.rivals(now)
	return rivals.Index > 0 && rivals.Index >= j.countServing(now)
}

// countServing returns the number of upstreams that may get the request now.
func (j *job) countServing(now time.Time) int {
	count := 0
	for _, u := range j.usable(now) {
		state := u.currentState()
		if !slices.Contains(j.tried, u) && !state.IsSuspended(now) && u.takesRequests(state, now, j.server.settings.DrainTime) {
			count++
		}
	}
	return count
}
