package mapswitch

import "slices"

// This file chooses the members of a group's next layout after engines have restarted, left or joined.

type (
	// Candidate is an announced engine that can hold a rank of the group.
	Candidate struct {
		// Name is the name of the engine. It begins with the name of the upstream behind which the engine runs.
		Name string
		// Incarnation is the incarnation of the running engine.
		Incarnation uint64
	}

	// Assignment maps the ranks of a group to engines.
	Assignment struct {
		// Members are the engines that hold ranks, in the order of the ranks. Ranks in Vacant have no member.
		Members []Member
		// Vacant are the ranks for which no candidate is available.
		Vacant []int
		// IsChanged is true when Members differ from the layout in force.
		IsChanged bool
		// IsStalled is true when a member in force no longer holds a rank. That member may be dead, or die
		// before the switch takes effect, so the others must not wait for it to finish a step.
		IsStalled bool
	}
)

// AssignRanks assigns candidates to a group of the given number of ranks. Engines keep their ranks, restarted engines
// return to their old ranks, and spares fill the remaining ranks in the order of present.
func AssignRanks(inForce Layout, ranks int, present []Candidate) Assignment {
	var s Assignment
	taken := make([]bool, len(present))
	for rank := range ranks {
		n := previousHolder(inForce, rank, present, taken)
		if n < 0 {
			continue
		}
		taken[n] = true
	}
	for rank := range ranks {
		s.assignRank(rank, inForce, present, taken)
	}
	for _, m := range inForce.Members {
		if !slices.Contains(s.Members, m) {
			s.IsStalled = true
		}
	}
	s.IsChanged = !slices.Equal(s.Members, inForce.Members)
	return s
}

// previousHolder returns the index of the candidate that held the rank, restarted or not, or -1.
func previousHolder(inForce Layout, rank int, present []Candidate, taken []bool) int {
	if rank >= len(inForce.Members) {
		return -1
	}
	for n, p := range present {
		if !taken[n] && p.Name == inForce.Members[rank].Name {
			return n
		}
	}
	return -1
}

// firstSpare returns the index of the first candidate that holds no rank, or -1. It skips the members in force, since
// an engine cannot change its rank while it runs.
func firstSpare(inForce Layout, present []Candidate, taken []bool) int {
	for n, p := range present {
		if !taken[n] && !inForce.HasEngine(p.Name, p.Incarnation) {
			return n
		}
	}
	return -1
}

// assignRank adds the member for one rank: the engine that held the rank, else the first spare. A rank with neither
// becomes vacant.
func (s *Assignment) assignRank(rank int, inForce Layout, present []Candidate, taken []bool) {
	n := previousHolder(inForce, rank, present, make([]bool, len(present)))
	if n < 0 {
		n = firstSpare(inForce, present, taken)
	}
	if n < 0 {
		s.Vacant = append(s.Vacant, rank)
		return
	}
	taken[n] = true
	s.Members = append(s.Members, Member{Rank: rank, Name: present[n].Name, Incarnation: present[n].Incarnation})
}
