// Package departure holds the set of upstreams whose departure control has acknowledged. The set is part of the replicated
// state, so that a heartbeat from before a departure does not bring the upstream back after a restart. Departures expire by
// log time, which a restart does not reset. The package is pure: time is an argument.
package departure

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Retention is the log time for which a departure is kept. It is longer than a heartbeat can be delayed.
const Retention = 5 * time.Minute

type (
	// Departure is the end of an incarnation of an upstream.
	Departure struct {
		ID string
		// Born is the start of the latest incarnation that the departure covers, in milliseconds since 1970. Earlier
		// incarnations are covered, too.
		Born int64
		// IsDraining reports that the upstream finishes the requests that it has. Otherwise, it has left.
		IsDraining bool
		// IsUnknown reports that no such upstream was known when it left.
		IsUnknown bool
		// LoggedMs is the log time of the departure, in milliseconds since 1970.
		LoggedMs int64
	}

	// Set is a set of departures, at most one for each ID. It is immutable, and its zero value is empty.
	Set struct {
		byID map[string]Departure
		// unknown is the number of departures with IsUnknown.
		unknown int
	}
)

// NewSet returns the set of the departures.
func NewSet(departures []Departure) Set {
	s := Set{byID: make(map[string]Departure, len(departures))}
	for _, d := range departures {
		s.put(d)
	}
	return s
}

// put adds or replaces a departure in a set that is not shared yet.
func (s *Set) put(d Departure) {
	s.drop(d.ID)
	s.byID[d.ID] = d
	if d.IsUnknown {
		s.unknown++
	}
}

// drop removes a departure from a set that is not shared yet.
func (s *Set) drop(id string) {
	if s.byID[id].IsUnknown {
		s.unknown--
	}
	delete(s.byID, id)
}

// Unknown returns the number of departures of upstreams that were not known when they left.
func (s Set) Unknown() int { return s.unknown }

// With returns the set with the departures of a log entry, and those of them that the set did not include before. It drops
// departures that have expired at the log time of the entry.
func (s Set) With(departures []Departure, loggedMs int64) (next Set, added []Departure) {
	next = s.WithoutExpired(loggedMs)
	next.byID = maps.Clone(next.byID)
	if next.byID == nil {
		next.byID = map[string]Departure{}
	}
	for _, d := range departures {
		if next.Includes(d) {
			continue
		}
		d.LoggedMs = loggedMs
		next.put(d)
		added = append(added, d)
	}
	return next, added
}

// WithoutExpired returns the set without the departures that are older than Retention at a log time.
func (s Set) WithoutExpired(logTimeMs int64) Set {
	oldestMs := logTimeMs - Retention.Milliseconds()
	kept := s
	for id, d := range s.byID {
		if d.LoggedMs >= oldestMs {
			continue
		}
		if len(kept.byID) == len(s.byID) {
			kept.byID = maps.Clone(s.byID)
		}
		kept.drop(id)
	}
	return kept
}

// Includes reports whether the set holds the departure, or one that says more: of a later incarnation, or that a draining
// upstream has left.
func (s Set) Includes(d Departure) bool {
	held, isHeld := s.byID[d.ID]
	if !isHeld || held.Born < d.Born {
		return false
	}
	return held.Born > d.Born || !held.IsDraining || d.IsDraining
}

// Covering returns the departure that covers an incarnation, and whether there is one.
func (s Set) Covering(id string, born int64) (Departure, bool) {
	held, isHeld := s.byID[id]
	return held, isHeld && born <= held.Born
}

// All returns the departures in the order of their IDs.
func (s Set) All() []Departure {
	return slices.SortedFunc(maps.Values(s.byID), func(a, b Departure) int { return strings.Compare(a.ID, b.ID) })
}
