// Package operator implements the HTTP interface for operators, as a server and as a client. The server accepts
// inventories and returns the status of changes, the durable records of control, and the events of all processes. The
// command line uses the client. Every request carries the operators' token.
package operator

import (
	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/wire"
)

const (
	// HeaderChange carries the id of a submitted change; a retry carries the same id.
	HeaderChange = "Guavahitch-Change"
	// HeaderExpected carries the revision that a submitted inventory replaces.
	HeaderExpected = "Guavahitch-Expected-Revision"
	// HeaderRevision carries the revision of a returned inventory.
	HeaderRevision = "Guavahitch-Revision"
	// HeaderOperator carries the name of the operator who submits a change.
	HeaderOperator = "Guavahitch-Operator"
	// HeaderReason carries the operator's reason for a change.
	HeaderReason = "Guavahitch-Reason"
)

type (
	// Change is the status of a submitted inventory change.
	Change struct {
		ChangeID string
		// State is "accepted", "in-force", "refused" or "unknown".
		State    string
		Revision uint64
		Reason   string `json:",omitempty"`
		// Winner is the id of the change that was accepted for the revision when this one was refused.
		Winner   string `json:",omitempty"`
		Operator string `json:",omitempty"`
		// AcceptedMs and InForceMs are Unix times in milliseconds; 0 until the change reaches that state.
		AcceptedMs int64
		InForceMs  int64
		// Waiting names the processes that may still act on an older revision.
		Waiting []string `json:",omitempty"`
		Term    uint64
		Replica string
	}

	// Record is one durable decision of the control replicas.
	Record struct {
		// Index is the number of the record; records are numbered in the order in which they are stored.
		Index uint64
		// Term and Replica identify the leader that made the decision.
		Term    uint64
		Replica string
		// TimeMs is the Unix time in milliseconds.
		TimeMs   int64
		Kind     string
		Subject  string
		Decision string
		Cause    string
		Rule     string
		Revision uint64
		ChangeID string `json:",omitempty"`
		// Alternatives are the options that were compared. For an expert map these are the best change, then "keep the
		// map", then further changes, so they include the chosen one.
		Alternatives []Alternative `json:",omitempty"`
		// Figures are the numbers that the decision is based on.
		Figures []Figure `json:",omitempty"`
	}

	// Alternative is an option that was considered for a decision.
	Alternative struct {
		Name string
		Cost float64
		Gain float64
	}

	// Figure is a number that a decision is based on.
	Figure struct {
		Name  string
		Value float64
		Unit  string
	}

	// Events are the events of all processes, in the order of their hybrid logical clocks.
	Events struct {
		Events []Event
		// Missing names the processes that did not respond.
		Missing []string `json:",omitempty"`
		// Dropped counts, by process, the events that were discarded before they were read.
		Dropped map[string]uint64 `json:",omitempty"`
	}

	// Event is one change of state in one process.
	Event struct {
		// WallUs is the Unix time in microseconds. Logical is the logical part of the hybrid logical clock and orders
		// events with equal WallUs.
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

	// Failure is the response body of a failed request.
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
