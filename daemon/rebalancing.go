package daemon

import (
	"time"

	"guavahitch.example/guavahitch/balance"
)

const (
	// expertBytes is the size of one expert of one layer, in bytes.
	expertBytes = 44 << 20
	// storeBytesPerSecond is the rate at which the weight store delivers weights.
	storeBytesPerSecond = 2 << 30
	// switchPause and switchPausePerMove are how long all ranks pause for a switch of the expert map, as a fixed part
	// and a part for each moved expert.
	switchPause        = 50 * time.Millisecond
	switchPausePerMove = time.Millisecond
)

// Rebalancing holds the bounds and costs of rebalancing that operators can't set.
type Rebalancing struct {
	Rule  balance.Rule
	Costs balance.Costs
}

// DefaultRebalancing returns the bounds and costs for production.
func DefaultRebalancing() Rebalancing {
	return Rebalancing{
		Rule: balance.DefaultRule(),
		Costs: balance.Costs{
			ExpertBytes: expertBytes, StoreRate: storeBytesPerSecond, Pause: switchPause, PausePerMove: switchPausePerMove,
		},
	}
}
