// Package mapswitch moves an expert-parallel group from one expert map to the next, so that in every step all
// ranks use the same map. It works as a two-phase commit: ranks load the weights, promise not to begin the first
// step of the new map (the arm), and run it once the decision is committed to the replicated log. The Coordinator
// runs next to the leader of the log; a Participant runs in the sidecar for each rank. Both are state machines
// without I/O: they take messages, engine states and the time, and return messages and actions for the caller.
package mapswitch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// MapReference identifies an expert map by version and checksum.
	MapReference struct {
		// Version is the number that the planner gave the map; 0 means no map.
		Version uint64
		// Checksum is the xxhash64 of the content.
		Checksum uint64
	}

	// Map is an expert map with its content, which only the engine interprets.
	Map struct {
		MapReference
		// Content is the encoded placement of experts on ranks.
		Content []byte
	}

	// Member is an engine process that holds a rank of a group.
	Member struct {
		// Rank counts from 0.
		Rank int
		// Name is the name of the engine. It begins with the name of the upstream behind which the engine runs.
		Name string
		// Incarnation is the incarnation of the engine process, see EngineState.
		Incarnation uint64
	}

	// Layout is an expert map together with the members that run it and the step at which it takes effect.
	Layout struct {
		// Sequence is the number of the switch that introduced the layout; 0 means no layout.
		Sequence uint64
		// Series is the sequence number of the switch that started the count of steps. Step numbers are
		// comparable only within a series. A layout that shares no member with the one in force starts a
		// new series.
		Series uint64
		// Step is the first step that uses the layout.
		Step uint64
		// Map identifies the expert map.
		Map MapReference
		// Members are sorted by rank.
		Members []Member
		// Stalled is true when a removed member is dead. Unfinished steps before Step are then aborted.
		Stalled bool
	}
)

// NewMap returns a map with the checksum of its content.
func NewMap(version uint64, content []byte) Map {
	return Map{MapReference: MapReference{Version: version, Checksum: xxhash.Sum64(content)}, Content: content}
}

// HasValidChecksum reports whether the checksum matches the content.
func (m Map) HasValidChecksum() bool { return xxhash.Sum64(m.Content) == m.Checksum }

// Has reports whether the layout contains the member with the same rank, name and incarnation.
func (l Layout) Has(m Member) bool { return slices.Contains(l.Members, m) }

// HasEngine reports whether the engine with this name and incarnation holds a rank of the layout.
func (l Layout) HasEngine(name string, incarnation uint64) bool {
	return slices.ContainsFunc(l.Members, func(m Member) bool { return m.Name == name && m.Incarnation == incarnation })
}

// SharesMember reports whether at least one member belongs to both layouts.
func (l Layout) SharesMember(other Layout) bool {
	return slices.ContainsFunc(l.Members, other.Has)
}

// WithSeriesAfter returns the layout with its series set: that of the layout in force if both share a member, else
// a new series.
func (l Layout) WithSeriesAfter(inForce Layout) Layout {
	l.Series = l.Sequence
	if l.SharesMember(inForce) {
		l.Series = inForce.Series
	}
	return l
}

// WithStep returns the layout with the given first step.
func (l Layout) WithStep(step uint64) Layout {
	l.Step = step
	return l
}

// IsSame reports whether two layouts are equal.
func (l Layout) IsSame(other Layout) bool {
	return l.Sequence == other.Sequence && l.Series == other.Series && l.Step == other.Step && l.Map == other.Map &&
		l.Stalled == other.Stalled && slices.Equal(l.Members, other.Members)
}

// sortMembers returns a copy of the members sorted by rank.
func sortMembers(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return a.Rank - b.Rank })
	return sorted
}
