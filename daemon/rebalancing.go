package daemon

import (
	"time"

	"guavahitch.example/guavahitch/balance"
)

const (
	// expertBytes is the size of one expert of one layer.
	expertBytes = 44 << 20
	// storeRate is the rate of the weight store, in bytes a second.
	storeRate = 2 << 30
	// switchPause and switchPausePerMove are how long all ranks wait for a switch.
	switchPause        = 50 * time.Millisecond
	switchPausePerMove = time.Millisecond
)

// Rebalancing holds the bounds and costs of rebalancing that are not the operators'.
type Rebalancing struct {
	Rule  balance.Rule
	Costs balance.Costs
}

// DefaultRebalancing returns the bounds and costs of a real system.
func DefaultRebalancing() Rebalancing {
	return Rebalancing{
		Rule: balance.DefaultRule(),
		Costs: balance.Costs{
			ExpertBytes: expertBytes, StoreRate: storeRate, Pause: switchPause, PausePerMove: switchPausePerMove,
		},
	}
}
