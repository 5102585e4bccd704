// Package operator speaks HTTP to operators: it takes inventories, tells the status of changes, and hands out
// the durable records and the events of all processes. The verbs of the command line use its client; every
// request carries the operators' token.
package operator

import (
	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/wire"
)

const (
	// HeaderChange is the id of a submitted change; a resend carries the same one.
	HeaderChange = "Guavahitch-Change"
	// HeaderExpected is the revision that a submitted inventory replaces.
	HeaderExpected = "Guavahitch-Expected-Revision"
	// HeaderRevision is the revision of an inventory that is handed out.
	HeaderRevision = "Guavahitch-Revision"
	// HeaderOperator names who submits a change.
	HeaderOperator = "Guavahitch-Operator"
	// HeaderReason says why.
	HeaderReason = "Guavahitch-Reason"
)

type (
	// Change is the status of a change.
	Change struct {
		ChangeID string
		// State is "accepted", "in-force", "refused" or "unknown".
		State    string
		Revision uint64
		Reason   string `json:",omitempty"`
		// Winner is the change that took the revision, when this one lost it.
		Winner   string `json:",omitempty"`
		Operator string `json:",omitempty"`
		// AcceptedMs and InForceMs are milliseconds since 1970; 0 for not yet.
		AcceptedMs int64
		InForceMs  int64
		// Waiting are the processes that may still act on an older revision.
		Waiting []string `json:",omitempty"`
		Term    uint64
		Replica string
	}

	// Record is one durable decision of control.
	Record struct {
		Index    uint64
		Term     uint64
		Replica  string
		TimeMs   int64
		Kind     string
		Subject  string
		Decision string
		Cause    string
		Rule     string
		Revision uint64
		ChangeID string `json:",omitempty"`
		// Alternatives are what else was weighed, best first.
		Alternatives []Alternative `json:",omitempty"`
		Figures      []Figure      `json:",omitempty"`
	}

	// Alternative is one way that was weighed.
	Alternative struct {
		Name string
		Cost float64
		Gain float64
	}

	// Figure is one number that a decision rested on.
	Figure struct {
		Name  string
		Value float64
		Unit  string
	}

	// Events are the events of all processes, in the order of their clocks.
	Events struct {
		Events []Event
		// Missing names the processes that did not answer.
		Missing []string `json:",omitempty"`
		// Dropped counts the events that processes no longer held, by process.
		Dropped map[string]uint64 `json:",omitempty"`
	}

	// Event is one change of state in one process.
	Event struct {
		WallUs  int64
		Logical uint32
		Process string
		Kind    string
		Request string `json:",omitempty"`
		Group   string `json:",omitempty"`
		Change  string `json:",omitempty"`
		Peer    string `json:",omitempty"`
		Detail  string `json:",omitempty"`
		Outcome string `json:",omitempty"`
	}

	// Failure is the body of a refusal.
	Failure struct {
		Error dispatch.RefusalError
	}
)

func changeOf(status *wire.ChangeStatus) Change {
	return Change{
		ChangeID: status.ChangeId, State: status.State, Revision: status.Revision, Reason: status.Reason,
		Winner: status.Winner, Operator: status.Operator, AcceptedMs: status.AcceptedMs, InForceMs: status.InForceMs,
		Waiting: status.Waiting, Term: status.Term, Replica: status.Replica,
	}
}

func recordOf(r *wire.Record) Record {
	record := Record{
		Index: r.Index, Term: r.Term, Replica: r.Replica, TimeMs: r.TimeMs, Kind: r.Kind, Subject: r.Subject,
		Decision: r.Decision, Cause: r.Cause, Rule: r.Rule, Revision: r.Revision, ChangeID: r.ChangeId,
	}
	for _, a := range r.Alternatives {
		record.Alternatives = append(record.Alternatives, Alternative{Name: a.Name, Cost: a.Cost, Gain: a.Gain})
	}
	for _, f := range r.Figures {
		record.Figures = append(record.Figures, Figure{Name: f.Name, Value: f.Value, Unit: f.Unit})
	}
	return record
}

func eventOf(e *wire.Event) Event {
	return Event{
		WallUs: e.WallUs, Logical: e.Logical, Process: e.Process, Kind: e.Kind, Request: e.Request, Group: e.Group,
		Change: e.Change, Peer: e.Peer, Detail: e.Detail, Outcome: e.Outcome,
	}
}
