package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// writerTime is when the other writer sends its heartbeats, after all workers have registered and before the traffic.
	writerTime = 8 * time.Second
	// otherWriterTime is how long the case runs.
	otherWriterTime = 75 * time.Second
	// deskWorkers is the number of workers of the service.
	deskWorkers = 4
)

// otherWriter has another writer send one heartbeat for each worker, with fields missing. It checks that requests are served (rule
// Fault).
func otherWriter(r *record, withTrouble bool) error {
	c, err := newCluster(r, 0, true, false)
	if err != nil {
		return err
	}
	defer c.stop()
	var workers []*plainWorker
	for n := range deskWorkers {
		w, err := newPlainWorker(c, "desk", c.ip(80+n), "z1", nil)
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	if err := c.configure(configurationOfDesk(1), 20*time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(r.began.Add(writerTime)))
	if withTrouble {
		for n, w := range workers {
			c.writeOther(n, w)
		}
	}
	time.Sleep(time.Until(r.began.Add(leadTime)))
	ctx, cancel := context.WithDeadline(context.Background(), r.began.Add(otherWriterTime))
	defer cancel()
	answers := &answerCounts{byStatus: map[int]int{}}
	for n := range 4 {
		go c.sendLookups(ctx, n, answers)
	}
	<-ctx.Done()
	counts := answers.copy()
	r.note("answers by status: %v", counts)
	r.note("ended by themselves: %v", c.crashes())
	if len(counts) == 0 {
		return fmt.Errorf("no request was sent")
	}
	if counts[http.StatusOK] == 0 {
		r.breach("Fault: no request is served, answers by status %v", counts)
	}
	return nil
}

// missingFields are the fields that the heartbeats of the other writer lack. LACKS names others.
const missingFields = "zone,version,slots,coldRemainingMs,sequence"

// writeOther sends one heartbeat of another writer for the address of a worker, until it has an answer.
func (c *cluster) writeOther(n int, w *plainWorker) {
	id := fmt.Sprintf("agent-%d", n)
	body := map[string]any{
		"backend": w.service, "address": fmt.Sprintf("%s:%d", w.ip, workerPort), "state": "ready", "born": time.Now().UnixMilli(),
		"zone": w.zone, "version": "v1", "slots": 6, "coldRemainingMs": 0, "sequence": 1,
	}
	for field := range strings.SplitSeq(cmp.Or(os.Getenv("LACKS"), missingFields), ",") {
		delete(body, field)
	}
	for range controls {
		status, _ := c.call(http.MethodPost, c.controlURL(rand.IntN(controls))+"/instances/"+id+"/heartbeat", body)
		c.record.note("other writer: heartbeat %v under %s: %d", body, id, status)
		if status != 0 {
			return
		}
	}
}
