package mapswitch

// The durable state of a group: the replicated log applies records to it, in the same way on every replica.

const (
	// Applied means that the record changed the state.
	Applied Verdict = iota
	// Fenced means that a leader of a later term holds the group.
	Fenced
	// Decided means that the sequence number was decided before.
	Decided
	// Invalid means that the record does not fit the state; a correct coordinator proposes none.
	Invalid
)

type (
	// Verdict tells what became of a record.
	Verdict int

	// State is the durable state of a group. The zero value is a group without a map.
	State struct {
		// Term is that of the leader which holds the group.
		Term uint64
		// Sequence is the last number that is decided, whether run or abandoned.
		Sequence uint64
		// InForce is the layout of the last switch that was decided to run.
		InForce Layout
	}

	// Record is one durable record of a group: a takeover by a new leader, or the decision of one switch.
	Record struct {
		Group    string
		Term     uint64
		Replica  string
		Takeover bool
		// Sequence is the number of the switch that is decided.
		Sequence uint64
		// Run is true when Layout comes into force, false when the switch is abandoned.
		Run    bool
		Layout Layout
		// ChangeID and Cause explain the record.
		ChangeID string
		Cause    string
	}
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"applied", "fenced", "decided", "invalid"}[v]
}

// Apply returns the state after the record. A takeover also abandons the switch that the former leader may
// have armed, so that its ranks can go on.
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

// canFollow reports whether the layout fits the one in force: in the same series it begins later.
func (s State) canFollow(l Layout) bool {
	if l.Sequence != s.Sequence+1 || len(l.Members) == 0 || l.Series != l.WithSeriesAfter(s.InForce).Series {
		return false
	}
	return l.Series == l.Sequence || l.Step > s.InForce.Step
}
