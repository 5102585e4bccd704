// Package lockstep changes the expert map of a group whose engines keep maps, holds and armed steps themselves.
// All ranks of a group run each pass together, and a pass must never begin while two ranks have different maps.
//
// A switch prepares the next map on every rank, holds the group before a coming pass on one rank, arms every rank
// for that pass, and lets the group go once all of them are armed. Each order carries a fencing token above all
// earlier ones, so that an order that was not answered, and is carried out late, has no effect once a later one
// has reached its rank. A new leader first settles what the last one may have left.
package lockstep

import (
	"context"
	"errors"
	"time"

	"guavahitch.example/guavahitch/balance"
)

const (
	// Prepare copies the experts of a map that are new to the rank.
	Prepare Kind = "prepare"
	// Arm makes a prepared map take effect as a pass begins.
	Arm Kind = "arm"
	// Disarm takes an Arm back.
	Disarm Kind = "disarm"
	// Hold keeps the group from beginning a pass.
	Hold Kind = "hold"
	// Release ends a Hold.
	Release Kind = "go"
)

type (
	// Kind names an order.
	Kind string

	// Order is one order to a rank.
	Order struct {
		Kind    Kind
		Version uint64
		// Step is the pass that Arm, Hold and Release speak of.
		Step  uint64
		Epoch uint64
		// Fence is the fencing token.
		Fence uint64
		// Map is the map of Prepare, by set of layers.
		Map []balance.Placement
	}

	// State is what a rank reports of itself.
	State struct {
		// Born tells one start of the engine from another.
		Born  int64
		Epoch uint64
		// IsOpen tells that the group runs passes.
		IsOpen bool
		Rank   int
		Size   int
		// Step is the last pass that was begun.
		Step uint64
		// MapVersion is the version of the map in use, PreparedVersion that of the one whose copy is complete.
		MapVersion, PreparedVersion uint64
		// ArmedVersion takes effect as pass ArmedStep begins; 0 for none.
		ArmedVersion, ArmedStep uint64
		// HeldStep is the pass that the group does not begin, 0 for none.
		HeldStep uint64
		// Pace is the time of a step over that of a healthy rank.
		Pace float64
		// Running are the requests in the batch, Waiting those that wait for a place in it.
		Running, Waiting int
		// Counts tells how often each expert was chosen since the engine's start, by set and expert.
		Counts []uint32
		// Placement holds the rank's experts by set, when it was asked for.
		Placement [][]int
	}

	// Engine reaches the ranks of one group.
	Engine struct {
		// Read returns the state of a rank, with the counts or the placement when asked.
		Read func(ctx context.Context, rank int, withCounts, withPlacement bool) (State, error)
		// Give hands an order to a rank, and returns the state of the rank after it, nil when that was not read.
		// ErrInvalidState and ErrFenced are answers; any other error leaves open whether the order is, or will be,
		// carried out.
		Give func(ctx context.Context, rank int, order Order) (*State, error)
	}

	// Shape is the size of a group's maps.
	Shape struct {
		Ranks, Sets, Experts int
		// Slots is the most experts of a set on a rank, StagingSlots the most new ones that it prepares at once.
		Slots, StagingSlots int
	}

	// Settings configure a Coordinator. Zero values take the defaults.
	Settings struct {
		Group string
		Shape Shape
		// Interval is the time between two looks at the ranks.
		Interval time.Duration
		// HalfLife is the time in which a count loses half of its weight.
		HalfLife time.Duration
		// MinGain is the least part of the busiest ranks' load that a switch has to save.
		MinGain float64
		// TargetPassTime is the time of a pass at which the map is even enough; each second above it is worth moving
		// experts for. 0 levels the map as far as it goes.
		TargetPassTime time.Duration
		// GapObjective is the longest wanted pause between two events. While ranks are hard to reach, a switch may hold the group
		// for longer than that, and the map is left alone as long as passes keep to it. 0 for no such care.
		GapObjective time.Duration
		// ExpertShare is the part of a pass' work that is done by experts.
		ExpertShare float64
		// LeadPasses is how many passes ahead a switch is armed.
		LeadPasses uint64
		// OnStates, when set, is handed what the ranks reported at each look.
		OnStates func([]State)
		// OnEvent, when set, is told of each decision.
		OnEvent func(Event)
		// Disabled switches mechanisms off, for tests that show what each is for.
		Disabled Mechanisms
	}

	// Mechanisms are parts of the protocol that a test can do without.
	Mechanisms struct {
		// Hold keeps the group from the pass that ranks are being armed for.
		Hold bool
		// Settle ends what an earlier leader left before anything else is ordered.
		Settle bool
		// Fence gives each order a token above all earlier ones.
		Fence bool
	}

	// Event explains a decision.
	Event struct {
		// Kind is "switch", "switched", "abandoned", "settled", "waiting", "failed" or "pace".
		Kind    string
		Group   string
		Version uint64
		Step    uint64
		Epoch   uint64
		// Before and After are the busiest rank over the mean, averaged over the sets.
		Before, After float64
		Moved         int
		Detail        string
	}
)

var (
	// ErrInvalidState tells that an order does not fit the rank's state; it has no effect.
	ErrInvalidState = errors.New("the order does not fit the rank's state")
	// ErrFenced tells that the rank has seen a higher fencing token.
	ErrFenced = errors.New("a later leader has given orders")
)
