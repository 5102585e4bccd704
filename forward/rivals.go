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

// readRivals reads the rivals that the request has in its next attempt.
func (j *job) readRivals(now time.Time) {
	j.rivals = quarantine.Rivals{}
	if memory := j.server.settings.Memory; !memory.IsEmpty() {
		j.rivals = memory.Rivals(now, j.subject())
	}
}

// apartFromRivals returns the candidates that are left to a request when its rivals get a share of them, too. All entries
// divide the same candidates alike.
func (j *job) apartFromRivals(candidates []candidate) []candidate {
	if len(candidates) < 2 || j.rivals.Count < 2 {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.Instance().ID, b.Instance().ID) })
	shares := min(j.rivals.Count, len(candidates))
	own := make([]candidate, 0, len(candidates)/shares+1)
	for n := j.rivals.Index % shares; n < len(candidates); n += shares {
		own = append(own, candidates[n])
	}
	return own
}

// awaitRivals reads the rivals of a request, and holds it back for a while if there are too few upstreams to keep them apart.
func (j *job) awaitRivals() {
	now := time.Now()
	if !j.mustAwaitRivals(now) {
		return
	}
	defer func() { j.rivalWait += time.Since(now) }()
	left := time.Duration(rivalWaitShare * float64(j.deadline.Sub(now)))
	timer := time.NewTimer(min(rivalWait, left))
	defer timer.Stop()
	for {
		changed := j.server.settings.Memory.Changes()
		if !j.mustAwaitRivals(time.Now()) {
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

// mustAwaitRivals reads the rivals of the request and reports whether those that go first leave no upstream to it.
func (j *job) mustAwaitRivals(now time.Time) bool {
	j.readRivals(now)
	return j.rivals.Index > 0 && j.rivals.Index >= j.countServing(now)
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
