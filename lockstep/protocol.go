// Package lockstep changes the expert map of a group of ranks while the group serves requests. It is for engines that
// keep maps, holds and armed passes themselves. All ranks of a group run each forward pass together, and a pass must
// never begin while two ranks use different maps.
//
// A Coordinator on the control leader switches maps in four phases. It prepares the next map on every rank, holds the
// group before a coming pass on one rank, arms every rank for that pass, and releases the hold once all ranks are
// armed. Each order carries a fencing token above all earlier ones. An order that was not answered and is executed late
// therefore has no effect once a later order has reached the same rank. A new leader first settles the group: it
// cancels the orders that the previous leader may have left in effect.
package lockstep

import (
	"context"
	"errors"
	"time"

	"guavahitch.example/guavahitch/balance"
)

const (
	// Prepare makes a rank copy the experts of the next map that it does not have yet.
	Prepare Kind = "prepare"
	// Arm makes a prepared map take effect at the start of a given pass.
	Arm Kind = "arm"
	// Disarm cancels an Arm.
	Disarm Kind = "disarm"
	// Hold prevents the group from beginning a given pass.
	Hold Kind = "hold"
	// Release ends a Hold.
	Release Kind = "go"
)

type (
	// Kind is the kind of an order.
	Kind string

	// Order is one order to a rank.
	Order struct {
		Kind Kind
		// Version is the map version of Prepare, Arm and Disarm.
		Version uint64
		// Step is the number of the pass for Arm, Hold and Release.
		Step uint64
		// Epoch is the epoch of the group for which the order is valid.
		Epoch uint64
		// Fence is the fencing token.
		Fence uint64
		// Map is the map to prepare, one placement for each set of layers.
		Map []balance.Placement
		// encodedMap is Map as fields of a wire.LockstepOrder, nil if it was not encoded yet.
		encodedMap []byte
	}

	// State is the state that a rank reports.
	State struct {
		// Born identifies a start of the engine; it changes when the engine restarts.
		Born int64
		// Epoch changes each time the group forms.
		Epoch uint64
		// IsOpen is true while the group is formed and runs passes.
		IsOpen bool
		// Rank is the number of the rank in the group, Size the number of ranks.
		Rank int
		Size int
		// Step is the number of the last pass that the rank began.
		Step uint64
		// MapVersion is the version of the map in use, PreparedVersion that of the one whose copy is complete.
		MapVersion, PreparedVersion uint64
		// ArmedVersion is the version that takes effect when pass ArmedStep begins, 0 for none.
		ArmedVersion, ArmedStep uint64
		// HeldStep is the pass that the group does not begin, 0 for none.
		HeldStep uint64
		// Pace is the pass time of the rank divided by that of a healthy rank. It is above 1 for a slower
		// rank.
		Pace float64
		// Running is the number of requests in the batch, Waiting the number queued for it.
		Running, Waiting int
		// Counts holds how often each expert was chosen since the engine started, by set and expert. It is empty
		// unless it was asked for.
		Counts []uint32
		// Placement holds the rank's experts by set. It is empty unless it was asked for.
		Placement [][]int
		// MaxAge is how old the state may have been when the read began. An engine answers a read from another
		// instance with an earlier state.
		MaxAge time.Duration
		// asOf is the earliest time that the state may be from.
		asOf time.Time
	}

	// Engine is the connection to the ranks of one group.
	Engine struct {
		// Read returns the state of a rank, with counts or placement on request.
		Read func(ctx context.Context, rank int, withCounts, withPlacement bool) (State, error)
		// Give sends an order to a rank and returns the state of the rank after the order, nil when that state was
		// not read. ErrInvalidState and ErrFenced mean that the order has no effect. After any other error the order
		// may have been executed, or may still be.
		Give func(ctx context.Context, rank int, order Order) (*State, error)
	}

	// Shape is the size of a group's expert maps. Sets counts the sets of layers that share a placement.
	Shape struct {
		Ranks, Sets, Experts int
		// Slots is the maximum number of experts of a set on a rank. StagingSlots is the maximum number of new ones
		// that a rank prepares at once.
		Slots, StagingSlots int
	}

	// Settings configures a Coordinator. Interval, HalfLife, MinSaving and LeadPasses have defaults for zero.
	Settings struct {
		Group string
		Shape Shape
		// Interval is the time between two reads of all ranks.
		Interval time.Duration
		// HalfLife is the time in which a count loses half of its weight in the demand estimate.
		HalfLife time.Duration
		// MinSaving is the smallest saved fraction of the pass time for which a switch is made.
		MinSaving float64
		// CopyTime is the time in which a rank copies one expert, 0 if it is not known. CopySlowdown is the fraction by
		// which passes take longer meanwhile.
		CopyTime     time.Duration
		CopySlowdown float64
		// TargetPassTime is the pass time up to which the map counts as balanced. Experts are moved only while passes
		// take longer. With 0 the map is balanced as far as possible.
		TargetPassTime time.Duration
		// GapObjective is the longest acceptable pause between two events of a response stream. While ranks are hard to
		// reach, a switch may hold the group for longer than that. The pause counts among its costs then, as long as
		// passes are shorter than the objective. 0 disables this.
		GapObjective time.Duration
		// ExpertShare is the fraction of the pass time that is spent in experts.
		ExpertShare float64
		// LeadPasses is the minimum number of passes that a switch is armed ahead before one was timed.
		LeadPasses uint64
		// IsPaused, when set, reports that the map must not be changed now. The ranks are still read, and a switch that
		// has begun is finished.
		IsPaused func() bool
		// OnStates, when set, is called with the states of all ranks after each read.
		OnStates func([]State)
		// OnEvent, when set, is called for each decision and each reported problem.
		OnEvent func(Event)
		// Disabled turns mechanisms of the protocol off, for tests that show what each one prevents.
		Disabled Mechanisms
	}

	// Mechanisms selects parts of the protocol that a test can turn off.
	Mechanisms struct {
		// Hold prevents the group from beginning the pass for which ranks are being armed.
		Hold bool
		// Settle cancels the unfinished switch of an earlier leader before any other order.
		Settle bool
		// Fence gives each order a token above all earlier ones.
		Fence bool
	}

	// Event describes a decision or a problem, for logs and metrics.
	Event struct {
		// Kind is "switch", "switched", "abandoned", "settling", "settled", "waiting", "failed" or "pace".
		Kind    string
		Group   string
		Version uint64
		Step    uint64
		Epoch   uint64
		// Before and After are the skew of the map before and after the switch: the load of the busiest rank divided
		// by the mean load, averaged over the sets.
		Before, After float64
		// Moved is the number of experts that are new to a rank, MaxMoved that of the rank with the most.
		Moved, MaxMoved int
		Detail          string
	}
)

var (
	// ErrInvalidState means that the rank rejected an order that is not valid in its state. The order has no effect.
	ErrInvalidState = errors.New("the order does not fit the rank's state")
	// ErrFenced means that the rank rejected an order because it has seen a higher fencing token.
	ErrFenced = errors.New("a later leader has given orders")
)
