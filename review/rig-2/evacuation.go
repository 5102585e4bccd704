package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	// evacuationTime is the bound evacuationMs.
	evacuationTime = 5 * time.Second
	// freezeTime is how long a control machine freezes, once in a round.
	freezeTime = 3500 * time.Millisecond
	// checkTime is how long requests are sent in a round after the bound.
	checkTime = 1500 * time.Millisecond
	// roundsTime is how long after the start of the case a round may begin.
	roundsTime = 100 * time.Second
	// evacuatedZone is the zone that is evacuated.
	evacuatedZone = "zone-b"
	startPath     = "/evacuations/" + evacuatedZone + "/start"
	finishPath    = "/evacuations/" + evacuatedZone + "/finish"
)

// evacuationCase evacuates a zone and then, in each round, takes it back while one control machine is frozen, and evacuates it
// again. It breaks EVAC if requests reach the zone later than evacuationMs after the last evacuation was acknowledged.
func evacuationCase(r *record, hasTrouble bool) (outcome, error) {
	d, err := newDeployment(deploymentSettings{
		zones: []string{"zone-a", evacuatedZone, "zone-c"}, entries: 2, contracts: []string{"places"},
		bounds: grownBounds(), requireFence: true,
	}, r)
	if err != nil {
		return invalid, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return invalid, err
	}
	o, c := newOperator(d), newClient(d)
	var inZone *worker
	for _, zone := range d.settings.zones {
		w, err := newWorker(d, "desk", zone, d.address()+":8120")
		if err != nil {
			return invalid, err
		}
		defer w.stop()
		if zone == evacuatedZone {
			inZone = w
		}
	}
	if err := o.configure(plainConfiguration(7)); err != nil {
		return invalid, err
	}
	if !c.awaitService("/lookup/1") {
		return invalid, nil
	}
	if len(inZone.runsSince(time.Time{})) == 0 {
		c.sendFor(time.Second)
	}
	if _, err := o.order(o.controls[0], http.MethodPost, startPath, nil); err != nil {
		return invalid, err
	}
	for time.Since(r.started) < roundsTime {
		late, err := evacuateAgain(d, o, c, inZone, hasTrouble)
		if err != nil {
			return invalid, err
		}
		r.add("%d requests reached the evacuated zone later than evacuationMs after the acknowledgement", late)
		if late > 0 {
			return broken, nil
		}
	}
	return kept, nil
}

// grownBounds returns the bounds of the deployment that evacuates zones, as far as they differ from those of the small ones.
func grownBounds() map[string]string {
	return map[string]string{
		"contactMs": "4000", "ackMs": "5000", "catchUpS": "6", "drainMs": "2500", "configApplyMs": "2500", "outerBoundMs": "6000",
		"retryBudgetSlack": "116", "coldOverage": "1.5", "coldSlack": "5", "evacuationMs": "5000", "recoverS": "15", "passMs": "200",
	}
}

// evacuateAgain takes the zone back and evacuates it again. It returns how many requests reached the zone too late.
func evacuateAgain(d *deployment, o *operator, c *client, inZone *worker, hasTrouble bool) (int, error) {
	frozen := d.follower()
	thaw := time.Now()
	if hasTrouble {
		d.record.add("%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		thaw = thaw.Add(freezeTime)
	}
	if _, err := o.order(frozen.controlAddress(), http.MethodPost, finishPath, nil); err != nil {
		return 0, err
	}
	other := o.controls[0]
	if other == frozen.controlAddress() {
		other = o.controls[1]
	}
	acknowledged, err := o.order(other, http.MethodPost, startPath, nil)
	if err != nil {
		return 0, err
	}
	d.record.add("the evacuation is acknowledged")
	time.Sleep(time.Until(thaw))
	if hasTrouble {
		frozen.signal(syscall.SIGCONT)
		d.record.add("%s wakes", frozen.name)
	}
	time.Sleep(time.Until(acknowledged.Add(evacuationTime)))
	c.sendFor(checkTime)
	return len(inZone.runsSince(acknowledged.Add(evacuationTime))), nil
}

// sendFor sends requests for a time.
func (c *client) sendFor(length time.Duration) {
	for until := time.Now().Add(length); time.Now().Before(until); {
		c.send(http.MethodGet, "/lookup/1", "")
		time.Sleep(50 * time.Millisecond)
	}
}
