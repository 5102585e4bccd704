// Package mapswitch moves the ranks of an expert-parallel group from one expert map to the next so that in
// every step all of them use the same one. The Coordinator runs beside the leader of the replicated log, a
// Participant runs in the sidecar for each rank. Both are state machines without I/O: messages, read-backs
// and the time go in, messages and effects come out.
package mapswitch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// MapReference names an expert map without its content.
	MapReference struct {
		// Version is the planner's number of the map; 0 stands for no map.
		Version uint64
		// Checksum is the xxhash64 of the content.
		Checksum uint64
	}

	// Map is an expert map whose content only the engine reads.
	Map struct {
		MapReference
		// Content is the opaque placement of experts.
		Content []byte
	}

	// Member is one engine process that holds a rank of a group.
	Member struct {
		// Rank counts from 0.
		Rank int
		// Name is the upstream behind which the engine runs.
		Name string
		// Incarnation is new with every start of the engine.
		Incarnation uint64
	}

	// Layout is an expert map with the members that run it, from a step on.
	Layout struct {
		// Sequence is the number of the switch that brought the layout; 0 stands for no layout.
		Sequence uint64
		// Series is the sequence of the switch that founded the group. Steps are counted within a series; a
		// group of which no member survives is founded anew.
		Series uint64
		// Step is the first step that runs on the layout.
		Step uint64
		// Map names the expert map.
		Map MapReference
		// Members are sorted by rank.
		Members []Member
		// Stalled is true when a removed member is dead: unfinished steps before Step are aborted.
		Stalled bool
	}
)

// NewMap returns a map with the checksum of its content.
func NewMap(version uint64, content []byte) Map {
	return Map{MapReference: MapReference{Version: version, Checksum: xxhash.Sum64(content)}, Content: content}
}

// HasValidChecksum reports whether the content matches the checksum.
func (m Map) HasValidChecksum() bool { return xxhash.Sum64(m.Content) == m.Checksum }

// Has reports whether the member, in this incarnation, belongs to the layout.
func (l Layout) Has(m Member) bool { return slices.Contains(l.Members, m) }

// HasEngine reports whether the engine, in this incarnation, holds a rank of the layout.
func (l Layout) HasEngine(name string, incarnation uint64) bool {
	return slices.ContainsFunc(l.Members, func(m Member) bool { return m.Name == name && m.Incarnation == incarnation })
}

// SharesMember reports whether a member belongs to both layouts.
func (l Layout) SharesMember(other Layout) bool {
	return slices.ContainsFunc(l.Members, other.Has)
}

// WithSeriesAfter returns the layout with the series in which it follows the one in force.
func (l Layout) WithSeriesAfter(inForce Layout) Layout {
	l.Series = l.Sequence
	if l.SharesMember(inForce) {
		l.Series = inForce.Series
	}
	return l
}

// WithStep returns the layout with another first step.
func (l Layout) WithStep(step uint64) Layout {
	l.Step = step
	return l
}

// IsSame reports whether two layouts are equal.
func (l Layout) IsSame(other Layout) bool {
	return l.Sequence == other.Sequence && l.Series == other.Series && l.Step == other.Step && l.Map == other.Map &&
		l.Stalled == other.Stalled && slices.Equal(l.Members, other.Members)
}

// sortMembers returns the members in the order of their ranks.
func sortMembers(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return a.Rank - b.Rank })
	return sorted
}
