package dev

import (
	"time"

	"guavahitch.example/guavahitch/daemon"
)

// rebalancing returns limits under which an expert map changes within a minute, so that a user can see it happen.
func rebalancing() daemon.Rebalancing {
	r := daemon.DefaultRebalancing()
	r.Rule.SettleTime, r.Rule.StartSpread = 5*time.Second, 5*time.Second
	r.Rule.MinInterval, r.Rule.PlanInterval = 20*time.Second, 20*time.Second
	r.Rule.MinGainLifetime = time.Minute
	return r
}
