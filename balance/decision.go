package balance

import (
	"time"

	"guavahitch.example/guavahitch/expertmap"
	"guavahitch.example/guavahitch/wire"
)

const (
	// KindMap is the kind of a record that starts a switch.
	KindMap = "map"
	// KindNotNow is the kind of a record that leaves the map as it is.
	KindNotNow = "not-now"
)

type (
	// Reason is why a group is or is not rebalanced.
	Reason string

	// Decision is the outcome of one look at a group, and explains itself.
	Decision struct {
		Group string
		At    time.Time
		// Switch is true when Map should be switched to, and false for a "not now".
		Switch bool
		Reason Reason
		// Map is the map to switch to; the zero Map for a "not now".
		Map expertmap.Map
		// Chosen is the option that Map was built from.
		Chosen Option
		// Alternatives are the options weighed, the best first; "keep" is the present map.
		Alternatives []Alternative
		Figures      []Figure
		Rule         Rule
	}

	// Alternative is one option weighed, in weighted seconds of answered requests.
	Alternative struct {
		Name string
		Gain float64
		Cost float64
	}

	// Figure is one number that the decision rests on.
	Figure struct {
		Name  string
		Value float64
		Unit  string
	}
)

const (
	// ReasonGain means that the gain is worth the cost.
	ReasonGain Reason = "gain worth the cost"
	// ReasonLostRank means that experts have to leave a lost rank, whatever it costs.
	ReasonLostRank Reason = "experts have to leave a lost rank"
	// ReasonSettling means that control or a rank of the group started a short time ago.
	ReasonSettling Reason = "settling after a start"
	// ReasonFailing means that the group is in the middle of a failure.
	ReasonFailing Reason = "a failure of the group is not over"
	// ReasonSwitching means that a switch of the group is under way.
	ReasonSwitching Reason = "a switch is under way"
	// ReasonInterval means that the last switch of the group was a short time ago.
	ReasonInterval Reason = "too soon after the last switch"
	// ReasonStore means that the weight store's rate is taken by other groups.
	ReasonStore Reason = "the weight store is taken by other groups"
	// ReasonStale means that the counts are too old or too many are missing.
	ReasonStale Reason = "counts too old or incomplete"
	// ReasonEven means that the ranks are so even that no change could pay.
	ReasonEven Reason = "ranks even enough"
	// ReasonCost means that no option's gain is worth its cost.
	ReasonCost Reason = "gain not worth the cost"
	// ReasonNoPlan means that no plan could be made.
	ReasonNoPlan Reason = "no plan possible"
)

// Record returns the durable record of the decision.
func (d Decision) Record() *wire.Record {
	record := &wire.Record{
		TimeMs: d.At.UnixMilli(), Kind: KindNotNow, Subject: d.Group, Decision: "keep the map",
		Cause: string(d.Reason), Rule: d.Rule.String(),
	}
	if d.Switch {
		record.Kind, record.Decision = KindMap, d.Alternatives[0].Name
	}
	for _, a := range d.Alternatives {
		record.Alternatives = append(record.Alternatives, &wire.Alternative{Name: a.Name, Gain: a.Gain, Cost: a.Cost})
	}
	for _, f := range d.Figures {
		record.Figures = append(record.Figures, &wire.Figure{Name: f.Name, Value: f.Value, Unit: f.Unit})
	}
	return record
}

// IsDurable reports whether the decision deserves a durable record. Waiting for a switch that has its own
// record does not, so that records stay few.
func (d Decision) IsDurable() bool {
	return d.Switch || d.Reason != ReasonSwitching && d.Reason != ReasonInterval
}

// withFigure adds a number that the decision rests on.
func (d Decision) withFigure(name string, value float64, unit string) Decision {
	d.Figures = append(d.Figures[:len(d.Figures):len(d.Figures)], Figure{Name: name, Value: value, Unit: unit})
	return d
}
