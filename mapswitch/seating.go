package mapswitch

import "slices"

// Choice of the members of a group's next layout when engines have restarted, gone or come.

type (
	// Candidate is an engine that is announced and able to hold a rank of the group.
	Candidate struct {
		// Name is the upstream behind which the engine runs.
		Name string
		// Incarnation is that of the running engine.
		Incarnation uint64
	}

	// Assignment is a choice of members.
	Assignment struct {
		// Members hold the ranks, without those in Vacant.
		Members []Member
		// Vacant are the ranks for which no engine is present.
		Vacant []int
		// IsChanged is true when Members differ from the layout in force.
		IsChanged bool
		// IsStalled is true when a member in force holds no rank any more. It may be dead or die before the
		// switch takes effect, so the others must not wait for it to finish a step.
		IsStalled bool
	}
)

// AssignRanks returns the members for a group of the given number of ranks. Engines keep their ranks; a restarted
// engine takes its own rank again; spares, in the order of presence, take the others.
func AssignRanks(inForce Layout, ranks int, present []Candidate) Assignment {
	var s Assignment
	taken := make([]bool, len(present))
	for rank := range ranks {
		n := seatOf(inForce, rank, present, taken)
		if n < 0 {
			continue
		}
		taken[n] = true
	}
	for rank := range ranks {
		s.sit(rank, inForce, present, taken)
	}
	for _, m := range inForce.Members {
		if !slices.Contains(s.Members, m) {
			s.IsStalled = true
		}
	}
	s.IsChanged = !slices.Equal(s.Members, inForce.Members)
	return s
}

// seatOf returns the index of the engine that held the rank, restarted or not, or -1.
func seatOf(inForce Layout, rank int, present []Candidate, taken []bool) int {
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

// spareOf returns the index of the first engine that holds no rank, or -1. An engine does not change its rank
// while it runs.
func spareOf(inForce Layout, present []Candidate, taken []bool) int {
	for n, p := range present {
		if !taken[n] && !inForce.HasEngine(p.Name, p.Incarnation) {
			return n
		}
	}
	return -1
}

// sit adds the member of one rank: the engine that held it, else the first spare.
func (s *Assignment) sit(rank int, inForce Layout, present []Candidate, taken []bool) {
	n := seatOf(inForce, rank, present, make([]bool, len(present)))
	if n < 0 {
		n = spareOf(inForce, present, taken)
	}
	if n < 0 {
		s.Vacant = append(s.Vacant, rank)
		return
	}
	taken[n] = true
	s.Members = append(s.Members, Member{Rank: rank, Name: present[n].Name, Incarnation: present[n].Incarnation})
}
