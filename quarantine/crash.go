package quarantine

import (
	"cmp"
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// This file keeps the crashes that were reported and counts those that speak against a request.

// maxReportDelay is the longest time on its way by which a report of a crash is corrected.
const maxReportDelay = time.Second

type (
	// crash is one end of an upstream, with the requests that were running there according to all reports.
	crash struct {
		id   string
		at   time.Time
		runs []run
		// carriers holds the indices of the runs of each request and of each part.
		carriers map[key][]int
		// revision is that of the last report that added a request. isOwn is set if this process reported requests itself.
		revision uint64
		isOwn    bool
	}

	// run is a request that was running in a crash.
	run struct {
		request key
		// parts are the shared parts of its prompt.
		parts []key
		// sent is when the request was sent to the upstream; zero if that is not known.
		sent time.Time
		// after is the ID of the crash after which the request was sent again, empty if it is not known to follow one.
		after string
		// isAnswering is set if the answer had gone on well. Such a run speaks against the request alone, not against its
		// parts.
		isAnswering bool
	}

	// deathCount is the number of crashes that speak against a request or part, by how far its answer had come in them.
	deathCount struct {
		early, answering int
	}
)

// crash returns the crash with the ID, which it adds if it is new. It returns nil if the crash is older than all kept
// and none may be added. Reports are late by the time on their way, so the earliest of the times that they give is kept where
// the order of crashes counts. A much earlier time is that of an entry that had lost the upstream before.
func (t *Tracker) crash(id string, at time.Time) *crash {
	if c := t.crashes[id]; c != nil {
		if early := c.at.Sub(at); t.settings.InSequence && 0 < early && early <= maxReportDelay {
			t.moveCrash(c, at)
		}
		return c
	}
	if len(t.byTime) >= t.settings.Crashes {
		if at.Before(t.byTime[0].at) {
			return nil
		}
		delete(t.crashes, t.byTime[0].id)
		t.byTime = t.byTime[1:]
	}
	c := &crash{id: id, at: at, carriers: map[key][]int{}}
	t.crashes[id] = c
	n, _ := slices.BinarySearchFunc(t.byTime, c, (*crash).compare)
	t.byTime = slices.Insert(t.byTime, n, c)
	return c
}

// moveCrash corrects the time of a crash, and with it the times at which its requests were sent.
func (t *Tracker) moveCrash(c *crash, at time.Time) {
	correction := at.Sub(c.at)
	c.at = at
	slices.SortFunc(t.byTime, (*crash).compare)
	for n := range c.runs {
		if s := &c.runs[n]; !s.sent.IsZero() {
			s.sent = s.sent.Add(correction)
		}
	}
	for _, k := range c.subjects() {
		if r := t.records[k]; r != nil {
			slices.SortFunc(r.crashes, (*crash).compare)
		}
	}
}

// compare orders crashes by time.
func (c *crash) compare(other *crash) int {
	return cmp.Or(c.at.Compare(other.at), cmp.Compare(c.id, other.id))
}

// observe adds what a report says of a crash to the evidence, and returns the crash, or nil if nothing is news.
func (t *Tracker) observe(now time.Time, report *wire.DeathReport) *crash {
	c := t.crash(report.GetCrashId(), now.Add(-milliseconds(report.GetAgeMs())))
	if c == nil {
		return nil
	}
	isNews := false
	for _, suspect := range report.GetRunning() {
		isNews = t.addRun(c, suspect, false) || isNews
	}
	for _, suspect := range report.GetAnswering() {
		isNews = t.addRun(c, suspect, true) || isNews
	}
	if !isNews {
		return nil
	}
	t.revision++
	c.revision = t.revision
	return c
}

// subjects returns the keys of all requests that were running in a crash, then those of their parts, without repetition.
func (c *crash) subjects() []key {
	var requests, parts []key
	seen := map[key]bool{}
	for _, s := range c.runs {
		requests = append(requests, s.request)
		for _, k := range s.parts {
			if !seen[k] {
				seen[k] = true
				parts = append(parts, k)
			}
		}
	}
	return append(requests, parts...)
}

// addRun adds a request that was running in a crash and reports whether that is news. Of two runs of a request, the one that had not
// been answering is kept.
func (t *Tracker) addRun(c *crash, suspect *wire.Suspect, isAnswering bool) bool {
	f, ok := FromBytes(suspect.GetFingerprint())
	if !ok {
		return false
	}
	s := run{request: key{organisation: suspect.GetOrganisation(), fingerprint: f}, after: suspect.GetAfterCrash(), isAnswering: isAnswering}
	if !isAnswering {
		s.parts = partKeys(suspect.GetParts())
	}
	if suspect.GetRanMs() > 0 {
		s.sent = c.at.Add(-milliseconds(suspect.GetRanMs()))
	}
	known := c.carriers[s.request]
	switch {
	case len(known) == 0 && len(c.runs) < maxRuns:
		c.add(s)
	case len(known) > 0 && c.runs[known[0]].isAnswering && !isAnswering:
		c.replace(known[0], s)
	default:
		return false
	}
	t.suspectAll(c, s)
	return true
}

// replace puts another run of the same request in the place of one without parts.
func (c *crash) replace(index int, s run) {
	for _, k := range s.parts {
		c.carriers[k] = append(c.carriers[k], index)
	}
	c.runs[index] = s
}

// add appends a run.
func (c *crash) add(s run) {
	for _, k := range s.subjects() {
		c.carriers[k] = append(c.carriers[k], len(c.runs))
	}
	c.runs = append(c.runs, s)
}

// subjects returns the keys of the request and of its parts.
func (s *run) subjects() []key { return append([]key{s.request}, s.parts...) }

// partKeys returns the distinct keys of the parts in a message, at most maxParts.
func partKeys(parts [][]byte) []key {
	var keys []key
	for _, part := range parts {
		f, ok := FromBytes(part)
		k := key{fingerprint: f, isPart: true}
		if ok && len(keys) < maxParts && !slices.Contains(keys, k) {
			keys = append(keys, k)
		}
	}
	return keys
}

// suspectAll adds a crash to the records of a request that was running in it and of its parts.
func (t *Tracker) suspectAll(c *crash, s run) {
	for _, k := range s.subjects() {
		t.suspect(c, k)
	}
}

// suspect adds a crash to a record, which it makes if there is none.
func (t *Tracker) suspect(c *crash, k key) {
	r := t.records[k]
	if r == nil {
		r = t.newRecord(k, c.at)
	}
	r.addCrash(c)
	if !r.proved {
		r.expires = later(r.expires, c.at.Add(t.settings.SuspectFor))
	}
	r.keepProgress()
}

// deaths returns the number of crashes that speak against a request or part: those since an answer last went on well that
// nothing else explains. Of crashes at the same time only one counts, because upstreams also end together for other
// reasons: the request must have been sent after the crash that counted before (Settings.InSequence). For a part, each
// crash must be that of another request, so that a request that is resent does not speak against its parts.
func (t *Tracker) deaths(r *record) deathCount {
	count := deathCount{early: r.earlierDeaths}
	crashes := slices.DeleteFunc(slices.Clone(r.crashes), func(c *crash) bool {
		return !c.at.After(r.progress) || t.isExplained(c, r)
	})
	switch {
	case r.key.isPart:
		count.early += countDistinct(crashes, r.key)
	case t.settings.InSequence:
		count = count.plus(countInSequence(crashes, r.key))
	default:
		for _, c := range crashes {
			count = count.plus(c.runOf(r.key).deaths())
		}
	}
	return count
}

// countDistinct counts the crashes, earliest first, that speak against a part. Each is that of another request, which was sent
// after the crash that counted before.
func countDistinct(crashes []*crash, part key) int {
	var last time.Time
	var counted []key
	for _, c := range crashes {
		if s := c.countedRun(part, last, counted); s != nil {
			counted = append(counted, s.request)
			last = c.at
		}
	}
	return len(counted)
}

// runOf returns the run of a request that ran in the crash.
func (c *crash) runOf(request key) *run { return &c.runs[c.carriers[request][0]] }

// countedRun returns a run of a request with the key that was sent after a time and is not among those counted, nil if
// there is none.
func (c *crash) countedRun(k key, after time.Time, counted []key) *run {
	for _, n := range c.carriers[k] {
		s := &c.runs[n]
		if s.isSentAfter(after) && !slices.Contains(counted, s.request) {
			return s
		}
	}
	return nil
}

// isExplained reports whether something else that ran in a crash is proved deadly. A request does not explain a crash to
// its own parts, one of which may be the cause.
func (t *Tracker) isExplained(c *crash, r *record) bool {
	if r.provedTerm > 0 {
		return false
	}
	for _, other := range t.proved {
		for _, n := range c.carriers[other.key] {
			if other.key.isPart || !slices.Contains(c.runs[n].parts, r.key) {
				return true
			}
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
