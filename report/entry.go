package report

import "time"

// entry.go holds the lines of the parts of a report.

type (
	// Change is one submitted configuration change.
	Change struct {
		Time     time.Time
		ChangeID string
		// Subject names the revision that the change asked for.
		Subject string
		// State is "accepted", "in-force" or "refused".
		State string
		Cause string
		// InForceMs is the time from accepted to in force, in milliseconds; 0 for not yet.
		InForceMs int64 `json:",omitempty"`
	}

	// MapChange is one decision to change the expert map of a group.
	MapChange struct {
		Time  time.Time
		Group string
		// Record is the number that `explain` takes.
		Record   string
		Decision string
		Cause    string
		Rule     string
		// SkewBefore and SkewExpected are the step time's max over mean of ranks; 0 when not recorded.
		SkewBefore   float64
		SkewExpected float64
		// MovedGB is what the decision has ranks load from the weight store.
		MovedGB float64
	}

	// Line is one other decision.
	Line struct {
		Time     time.Time
		Record   string
		Subject  string
		Decision string
		Cause    string
	}

	// Tally counts decisions of one kind.
	Tally struct {
		Subject  string
		Decision string
		Cause    string `json:",omitempty"`
		Count    int
	}

	// Traffic counts the requests of one organisation and service by outcome.
	Traffic struct {
		Organisation string
		Service      string
		Answered     uint64
		NotRun       uint64
		Ran          uint64
		Unknown      uint64
	}

	// Point is one value at one time.
	Point struct {
		Time  time.Time
		Value float64
	}

	// Series is the course of one value.
	Series struct {
		Name   string
		Points []Point
	}
)

func (t Traffic) sum() uint64 { return t.Answered + t.NotRun + t.Ran + t.Unknown }

// RefusedShare is the part of all requests that were refused as not run.
func (t Traffic) RefusedShare() float64 { return t.share(t.NotRun) }

// UnknownShare is the part of all requests whose outcome stayed unknown.
func (t Traffic) UnknownShare() float64 { return t.share(t.Unknown) }

func (t Traffic) share(count uint64) float64 {
	if t.sum() == 0 {
		return 0
	}
	return float64(count) / float64(t.sum())
}
