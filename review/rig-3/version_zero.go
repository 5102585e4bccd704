package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// versionZeroTime is how long the case runs.
const versionZeroTime = 30 * time.Second

// versionZero has the operator's first configuration bear the version 0, with TROUBLE=0 the version 1. It checks that requests are served
// (rule Fault).
func versionZero(r *record, withTrouble bool) error {
	c, err := newCluster(r, 0, true, false)
	if err != nil {
		return err
	}
	defer c.stop()
	for n := range deskWorkers {
		if _, err := newPlainWorker(c, "desk", c.ip(80+n), "z1", nil); err != nil {
			return err
		}
	}
	version := 1
	if withTrouble {
		version = 0
	}
	if err := c.configure(configurationOfDesk(version), 20*time.Second); err != nil {
		return err
	}
	r.note("version %d is acknowledged", version)
	time.Sleep(time.Until(r.began.Add(leadTime)))
	ctx, cancel := context.WithDeadline(context.Background(), r.began.Add(versionZeroTime))
	defer cancel()
	answers, reads := &answerCounts{byStatus: map[int]int{}}, map[int]int{}
	go c.sendLookups(ctx, 0, answers)
	for n := 0; ctx.Err() == nil; n++ {
		status, body := c.call(http.MethodGet, c.controlURL(n)+"/config/read", nil)
		if reads[status] == 0 {
			r.note("read at control %d: %d %.80s", n%controls, status, body)
		}
		reads[status]++
		time.Sleep(readInterval)
	}
	counts := answers.copy()
	r.note("answers by status: %v, reads by status: %v", counts, reads)
	if len(counts) == 0 {
		return fmt.Errorf("no request was sent")
	}
	if counts[http.StatusOK] == 0 {
		r.breach("Fault: no request is served, answers by status %v", counts)
	}
	return nil
}
