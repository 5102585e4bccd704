package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

const (
	// laterStart is how much later than one seed the other machines start, removeAfter when that seed is removed, and
	// replaceAfter when an empty machine comes in its place, all from the start of the seed.
	laterStart   = 250 * time.Millisecond
	removeAfter  = 200 * time.Millisecond
	replaceAfter = 1200 * time.Millisecond
	// foundingTime is how long the operator and the clients try.
	foundingTime = 70 * time.Second
)

// foundingCase starts a new deployment, of which one control machine is removed before the last ones start. An empty one comes a
// second later at another address. It breaks Fault if no request is served.
func foundingCase(r *record, hasTrouble bool) (outcome, error) {
	d, err := newDeployment(deploymentSettings{zones: []string{"zone-a", "zone-b", "zone-c"}, entries: 2, requireFence: true}, r)
	if err != nil {
		return invalid, err
	}
	defer d.stop()
	w, err := newWorker(d, "desk", "zone-a", d.address()+":8120")
	if err != nil {
		return invalid, err
	}
	defer w.stop()
	if err := startAndReplace(d, hasTrouble); err != nil {
		return invalid, err
	}
	isAcknowledged := make(chan bool, 1)
	go func() { isAcknowledged <- newOperator(d).configureFor(plainConfiguration(7), foundingTime) }()
	c := newClient(d)
	served, sent := 0, 0
	for until := time.Now().Add(foundingTime); time.Now().Before(until) && served < 10; sent++ {
		if c.send(http.MethodGet, "/lookup/1", "") == http.StatusOK {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.add("%d of %d requests were served", served, sent)
	if served == 0 {
		r.add("the first configuration was acknowledged: %v", <-isAcknowledged)
		return broken, nil
	}
	return kept, nil
}

// startAndReplace starts one seed, and then all other machines. With trouble, the seed is removed in between and replaced.
func startAndReplace(d *deployment, hasTrouble bool) error {
	began := time.Now()
	seed := d.controls[2]
	if err := seed.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(removeAfter)))
	if hasTrouble {
		seed.kill()
		d.record.add("%s is removed", seed.name)
	}
	time.Sleep(time.Until(began.Add(laterStart)))
	for _, m := range slices.Concat(d.controls, d.entries) {
		if m == seed {
			continue
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	if !hasTrouble {
		return nil
	}
	time.Sleep(time.Until(began.Add(replaceAfter)))
	next := d.newMachine(roleControl, controls, "")
	next.isFounding = false
	d.controls = append(d.controls, next)
	return next.start()
}

// configureFor sends a configuration again and again, and reports whether it was acknowledged within a time.
func (o *operator) configureFor(c map[string]any, length time.Duration) bool {
	body, _ := json.Marshal(c)
	for until := time.Now().Add(length); time.Now().Before(until); {
		for _, address := range o.controls {
			status, _, err := o.call(address, http.MethodPost, "/config/replace", body)
			o.record.add("operator: the first configuration at %s: %s", address, describe(status, err))
			if err == nil && status == http.StatusOK {
				return true
			}
			time.Sleep(operatorPause)
		}
	}
	return false
}
