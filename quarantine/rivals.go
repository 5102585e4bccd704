package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// This file finds the requests that are suspect because of the same crashes, so that they can be sent to different upstreams.
// The next crash then tells which one is deadly.

// separationDeaths is the number of crashes from which a request is kept apart from others that ran in the same ones. After a
// single crash, all requests that were running are alike, and most crashes come from no request.
const separationDeaths = 2

// Rivals counts the requests that may have caused the last crash that speaks against a request, and are suspect because of
// several. The zero value means that there is no other one.
type Rivals struct {
	// Count is their number with the request itself.
	Count int
	// Index is the place of the request among them, from 0. The one that ran in the most crashes comes first.
	Index int
}

// Rivals returns the rivals of a request. All memories that hold the same evidence return the same.
func (m *Memory) Rivals(now time.Time, subject Subject) Rivals {
	if m.IsEmpty() {
		return Rivals{}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.needsReplay {
		m.replay(now)
	}
	return m.tracker.rivals(subject.requestKey())
}

// Changes returns a channel that is closed at the next piece of evidence.
func (m *Memory) Changes() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.changed
}

// rivals implements Memory.Rivals.
func (t *Tracker) rivals(k key) Rivals {
	r := t.records[k]
	if r == nil || r.proved || len(r.crashes) == 0 || t.deaths(r).total() < separationDeaths {
		return Rivals{}
	}
	last := r.crashes[len(r.crashes)-1]
	if t.places[last] == nil {
		t.places[last] = t.placesIn(last)
	}
	return t.places[last][k]
}

// placesIn returns the places of the requests of a crash that ran in several. It is empty if there is only one.
func (t *Tracker) placesIn(c *crash) map[key]Rivals {
	places := map[key]Rivals{}
	suspects := t.repeatedSuspects(c)
	if len(suspects) < 2 {
		return places
	}
	for n, r := range suspects {
		places[r.key] = Rivals{Count: len(suspects), Index: n}
	}
	return places
}

// repeatedSuspects returns the requests of a crash that ran in several crashes, those of the most crashes first. A request
// that is refused already is none of them.
func (t *Tracker) repeatedSuspects(c *crash) []*record {
	var suspects []*record
	deaths := map[*record]int{}
	for _, s := range c.runs {
		r := t.records[s.request]
		if r == nil || r.proved {
			continue
		}
		if deaths[r] = t.deaths(r).total(); deaths[r] >= separationDeaths {
			suspects = append(suspects, r)
		}
	}
	slices.SortFunc(suspects, func(a, b *record) int {
		return cmp.Or(cmp.Compare(deaths[b], deaths[a]), a.key.compare(b.key))
	})
	return suspects
}
