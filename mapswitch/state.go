package mapswitch

// This file holds the durable state of a group. Every replica applies the records of the replicated log to it and
// reaches the same state.

const (
	// Applied means that the record changed the state.
	Applied Verdict = iota
	// Fenced means that the record's term is not the one that holds the group: a later leader has taken over, or
	// the leader proposed a decision before its own takeover.
	Fenced
	// Decided means that the takeover or the sequence number was applied by an earlier record.
	Decided
	// Invalid means that the record contradicts the state. A correct coordinator never proposes such a record.
	Invalid
)

type (
	// Verdict is the result of applying a record.
	Verdict int

	// State is the durable state of a group. The zero value describes a group that runs no map.
	State struct {
		// Term is the term of the leader that controls the group.
		Term uint64
		// Sequence is the number of the last decided switch, whether it was run or abandoned.
		Sequence uint64
		// InForce is the layout of the last switch decided to run. Its first step may still lie ahead.
		InForce Layout
	}

	// Record is an entry of the replicated log for a group: a takeover by a new leader or the decision of a switch.
	Record struct {
		Group    string
		Term     uint64
		Replica  string
		Takeover bool
		// Sequence is the number of the decided switch.
		Sequence uint64
		// Run is true if Layout comes into force and false if the switch is abandoned.
		Run    bool
		Layout Layout
		// ChangeID and Cause tell operators which change led to the record and why.
		ChangeID string
		Cause    string
	}
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"applied", "fenced", "decided", "invalid"}[v]
}

// Apply returns the state after the record. A takeover also abandons the switch that the previous leader may have
// armed, so that the ranks that hold for it can continue.
func (s State) Apply(r Record) (State, Verdict) {
	if r.Takeover {
		return s.takeover(r)
	}
	if r.Term != s.Term {
		return s, Fenced
	}
	return s.decide(r)
}

func (s State) takeover(r Record) (State, Verdict) {
	if r.Term == s.Term {
		return s, Decided
	}
	if r.Term < s.Term {
		return s, Fenced
	}
	s.Term = r.Term
	s.Sequence++
	return s, Applied
}

func (s State) decide(r Record) (State, Verdict) {
	if r.Sequence <= s.Sequence {
		return s, Decided
	}
	if r.Sequence != s.Sequence+1 {
		return s, Invalid
	}
	if r.Run && !s.canFollow(r.Layout) {
		return s, Invalid
	}
	s.Sequence = r.Sequence
	if r.Run {
		s.InForce = r.Layout
	}
	return s, Applied
}

// canFollow reports whether the layout may follow the one in force. It must have the next sequence number, members
// and the right series; within the same series it must begin at a later step.
func (s State) canFollow(l Layout) bool {
	if l.Sequence != s.Sequence+1 || len(l.Members) == 0 || l.Series != l.WithSeriesAfter(s.InForce).Series {
		return false
	}
	return l.Series == l.Sequence || l.Step > s.InForce.Step
}
