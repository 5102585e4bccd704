package balance

import (
	"time"

	"guavahitch.example/guavahitch/expertmap"
	"guavahitch.example/guavahitch/wire"
)

const (
	// KindMap is the kind of a record that starts a switch.
	KindMap = "map"
	// KindNotNow is the kind of a record that keeps the map as it is.
	KindNotNow = "not-now"
)

type (
	// Reason is why a group is or is not rebalanced.
	Reason string

	// Decision is the result of one decision on a group, with the options and figures that explain it.
	Decision struct {
		Group string
		At    time.Time
		// Switch is true when the group should switch to Map, and false when it keeps its map.
		Switch bool
		Reason Reason
		// Map is the map to switch to; the zero Map when Switch is false.
		Map expertmap.Map
		// Chosen is the option from which Map was built.
		Chosen Option
		// Alternatives are the options compared: the best change, then "keep the map" (the present map), then further
		// changes. After a failed search it holds only the error.
		Alternatives []Alternative
		Figures      []Figure
		Rule         Rule
	}

	// Alternative is one of the options compared. Gain and Cost are in weighted seconds of answered requests.
	Alternative struct {
		Name string
		Gain float64
		Cost float64
	}

	// Figure is one number on which the decision rests.
	Figure struct {
		Name  string
		Value float64
		Unit  string
	}
)

const (
	// ReasonGain means that the gain exceeds the cost by the margin.
	ReasonGain Reason = "gain worth the cost"
	// ReasonLostRank means that experts are moved off a lost rank, whatever the cost.
	ReasonLostRank Reason = "experts have to leave a lost rank"
	// ReasonSettling means that control started, or a failure of the group ended, less than the settle time ago.
	ReasonSettling Reason = "settling after a start"
	// ReasonFailing means that a failure of the group is not over.
	ReasonFailing Reason = "a failure of the group is not over"
	// ReasonSwitching means that a switch of the group is under way.
	ReasonSwitching Reason = "a switch is under way"
	// ReasonInterval means that the group's last switch is less than the minimum interval ago.
	ReasonInterval Reason = "too soon after the last switch"
	// ReasonStore means that other groups use the weight store's whole rate.
	ReasonStore Reason = "the weight store is taken by other groups"
	// ReasonStale means that the counts are too old, or are missing for too many layers.
	ReasonStale Reason = "counts too old or incomplete"
	// ReasonEven means that the ranks are so even that even a perfect map would not be worth a switch.
	ReasonEven Reason = "ranks even enough"
	// ReasonCost means that no option's gain exceeds its cost by the margin.
	ReasonCost Reason = "gain not worth the cost"
	// ReasonNoPlan means that the search for a better map failed.
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

// IsDurable reports whether the decision needs a durable record. Waiting during or shortly after a switch needs none,
// because the switch has its own record and each wait would add another one.
func (d Decision) IsDurable() bool {
	return d.Switch || d.Reason != ReasonSwitching && d.Reason != ReasonInterval
}

// withFigure returns the decision with one more figure.
func (d Decision) withFigure(name string, value float64, unit string) Decision {
	d.Figures = append(d.Figures[:len(d.Figures):len(d.Figures)], Figure{Name: name, Value: value, Unit: unit})
	return d
}
