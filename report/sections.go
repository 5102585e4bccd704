package report

import "time"

// sections.go holds the types of the rows and plots in the sections of a report.

type (
	// Change is one submitted configuration change.
	Change struct {
		Time     time.Time
		ChangeID string
		// Subject names the revision that the change requested.
		Subject string
		// State is "accepted", "in-force" or "refused".
		State string
		Cause string
		// InForceMs is the time from acceptance until the change was in force, in milliseconds; 0 until then.
		InForceMs int64 `json:",omitempty"`
	}

	// MapChange is one decision to change the expert map of a group.
	MapChange struct {
		Time  time.Time
		Group string
		// Record is the name of the record, such as "record-17", as the verb explain takes it.
		Record   string
		Decision string
		Cause    string
		Rule     string
		// SkewBefore and SkewExpected are the ratio of the largest to the mean step time of the ranks, before the change
		// and as predicted after it; 0 when not recorded.
		SkewBefore   float64
		SkewExpected float64
		// MovedGB is the size of the weights that ranks load from the weight store for the change.
		MovedGB float64
	}

	// Line is one decision in a list of decisions, such as that of quarantine.
	Line struct {
		Time time.Time
		// Record is the name of the record, such as "record-17", as the verb explain takes it.
		Record   string
		Subject  string
		Decision string
		Cause    string
	}

	// Tally counts the equal decisions on one subject.
	Tally struct {
		Subject  string
		Decision string
		Cause    string `json:",omitempty"`
		Count    int
	}

	// Traffic counts the requests of one organisation to one service by outcome.
	Traffic struct {
		Organisation string
		Service      string
		Answered     uint64
		NotRun       uint64
		Ran          uint64
		Unknown      uint64
	}

	// Point is a value at a time.
	Point struct {
		Time  time.Time
		Value float64
	}

	// Series is a named time series.
	Series struct {
		Name   string
		Points []Point
	}
)

func (t Traffic) sum() uint64 { return t.Answered + t.NotRun + t.Ran + t.Unknown }

// RefusedShare returns the fraction of all requests that were refused without being run.
func (t Traffic) RefusedShare() float64 { return t.share(t.NotRun) }

// UnknownShare returns the fraction of all requests whose outcome is unknown.
func (t Traffic) UnknownShare() float64 { return t.share(t.Unknown) }

func (t Traffic) share(count uint64) float64 {
	if t.sum() == 0 {
		return 0
	}
	return float64(count) / float64(t.sum())
}
