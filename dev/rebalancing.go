package dev

import (
	"time"

	"guavahitch.example/guavahitch/daemon"
)

// rebalancing returns bounds under which a map changes within a minute, for those who watch.
func rebalancing() daemon.Rebalancing {
	r := daemon.DefaultRebalancing()
	r.Rule.SettleTime, r.Rule.StartSpread = 5*time.Second, 5*time.Second
	r.Rule.MinInterval, r.Rule.PlanInterval = 20*time.Second, 20*time.Second
	r.Rule.MinGainLifetime = time.Minute
	return r
}
