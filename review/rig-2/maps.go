package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"time"
)

const (
	// groupRanks is the number of ranks of the group.
	groupRanks = 12
	// lateShare is the share of the orders that get no answer and are carried out late, for lateWindow at a time.
	lateShare  = 0.35
	lateWindow = 5500 * time.Millisecond
	// minLate and maxLate are how much later an order is carried out.
	minLate, maxLate = 2 * time.Second, 12 * time.Second
	// mapsTime is how long requests are sent.
	mapsTime = 85 * time.Second
)

// mapsCase sends single requests with pauses of seconds to model workers of which a share leaves orders unanswered and carries
// them out late, on a deployment whose workers check no fencing tokens. The next request follows when an order was carried out
// late, or after maxLate. It breaks MAP if a pass begins while two ranks have different maps.
func mapsCase(r *record, hasTrouble bool) (outcome, error) {
	d, err := newDeployment(deploymentSettings{
		zones: []string{"zone-a", "zone-b", "zone-c"}, entries: 1, requireFence: os.Getenv("FENCE") == "1",
	}, r)
	if err != nil {
		return invalid, err
	}
	defer d.stop()
	var addresses []string
	for i := range groupRanks {
		addresses = append(addresses, d.address()+":8080")
		d.sidecars = append(d.sidecars, d.newMachine(roleSidecar, i, addresses[i]))
	}
	if err := d.start(); err != nil {
		return invalid, err
	}
	g, err := newGroup(d, "group-1", addresses)
	if err != nil {
		return invalid, err
	}
	defer g.stop()
	w, err := newWorker(d, "desk", "zone-a", d.address()+":8120")
	if err != nil {
		return invalid, err
	}
	defer w.stop()
	o, c := newOperator(d), newClient(d)
	if err := o.configure(modelConfiguration(7)); err != nil {
		return invalid, err
	}
	if !c.awaitService("/lookup/1") {
		return invalid, nil
	}
	time.Sleep(3 * time.Second)
	served := 0
	for until := time.Now().Add(mapsTime); time.Now().Before(until) && g.mixedPasses() == 0; {
		g.moveDemand()
		if hasTrouble {
			g.setLate(lateShare)
			time.AfterFunc(lateWindow, func() { g.setLate(0) })
		}
		if c.send(http.MethodPost, "/chat/1", "prompt") == http.StatusOK {
			served++
		}
		select {
		case <-g.rearmed:
		case <-time.After(maxLate):
		}
	}
	mixed := g.mixedPasses()
	r.add("%d requests were served, %d passes began while two ranks had different maps", served, mixed)
	switch {
	case mixed > 0:
		return broken, nil
	case served == 0:
		return invalid, nil
	default:
		return kept, nil
	}
}

// setLate sets the share of the orders that are carried out late.
func (g *group) setLate(share float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.lateShare = share
	g.lateTime = func() time.Duration { return minLate + rand.N(maxLate-minLate) }
	g.record.add("a share of %.2f of the orders is carried out late from now on", share)
}

// moveDemand moves the demand to other experts.
func (g *group) moveDemand() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.topic++
}

// mixedPasses returns the number of passes that began while two ranks had different maps.
func (g *group) mixedPasses() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.mixed
}
