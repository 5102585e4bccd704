package relocation

import "time"

const (
	// copyDecay is the factor by which the weight of earlier switches falls with each one.
	copyDecay = 0.85
	// expectedWeight is the weight of what was expected of the copies, against that of a switch.
	expectedWeight = 1.0
	// defaultOverhead is the expected time of the copies of a switch besides the copying itself.
	defaultOverhead = 100 * time.Millisecond
)

// CopyTimes estimates how long the copies of a switch take: a part that each switch takes, and a part for each expert that a
// rank copies. The zero value knows nothing; NewCopyTimes returns one. Values are immutable.
type CopyTimes struct {
	expected time.Duration
	// weight, copies, took, squares and products are sums over the switches, in which times are seconds.
	weight, copies, took, squares, products float64
}

// NewCopyTimes returns an estimate before the first switch, by the expected time for one expert.
func NewCopyTimes(expected time.Duration) CopyTimes {
	t := CopyTimes{expected: expected}
	for copies := range 2 {
		t = t.with(float64(copies), (defaultOverhead + time.Duration(copies)*expected).Seconds(), expectedWeight)
	}
	return t
}

// WithSwitch returns an estimate after a switch in which a rank copied at most so many experts.
func (t CopyTimes) WithSwitch(copies int, took time.Duration) CopyTimes {
	for _, sum := range []*float64{&t.weight, &t.copies, &t.took, &t.squares, &t.products} {
		*sum *= copyDecay
	}
	// The expectation keeps its weight, since switches that are all alike do not tell the two parts apart.
	for expected := range 2 {
		seconds := t.Overhead().Seconds() + float64(expected)*t.expected.Seconds()
		t = t.with(float64(expected), seconds, expectedWeight*(1-copyDecay))
	}
	return t.with(float64(copies), took.Seconds(), 1)
}

func (t CopyTimes) with(copies, seconds, weight float64) CopyTimes {
	t.weight += weight
	t.copies += weight * copies
	t.took += weight * seconds
	t.squares += weight * copies * copies
	t.products += weight * copies * seconds
	return t
}

// PerExpert returns the time in which a rank copies one expert, at least half of what was expected.
func (t CopyTimes) PerExpert() time.Duration {
	slope := t.expected.Seconds()
	if spread := t.weight*t.squares - t.copies*t.copies; spread > 0 {
		slope = (t.weight*t.products - t.copies*t.took) / spread
	}
	return max(time.Duration(slope*float64(time.Second)), t.expected/2)
}

// Overhead returns the time that the copies of each switch take besides.
func (t CopyTimes) Overhead() time.Duration {
	if t.weight == 0 {
		return 0
	}
	rest := (t.took - t.PerExpert().Seconds()*t.copies) / t.weight
	return max(time.Duration(rest*float64(time.Second)), 0)
}
