package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// evacuationTime is evacuationMs, outerTime outerBoundMs and contactTime contactMs of the deployment.
	evacuationTime = 5 * time.Second
	outerTime      = 6 * time.Second
	contactTime    = 4 * time.Second
	// frozenTime is how long the control processes are frozen, under the longest freeze of the site file. orderPause is the time between
	// the acknowledged end of an evacuation and the start of the next one.
	frozenTime = 7 * time.Second
	orderPause = 3 * time.Second
	// frozenControls is the number of control processes that are frozen at once: as many machines as may be lost.
	frozenControls = 2
	// withdrawalRounds is the number of rounds of the case.
	withdrawalRounds = 5
	// readInterval is the pause between two reads of the configuration.
	readInterval  = 400 * time.Millisecond
	evacuatedZone = "z2"
)

// watch tells which requests reach the evacuated zone.
type watch struct {
	mutex sync.Mutex
	// since is when requests must no longer reach the zone, zero while they may.
	since         time.Time
	reached, late int
	record        *record
}

func (w *watch) onRequest(worker *plainWorker, id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if worker.zone != evacuatedZone {
		return
	}
	w.reached++
	if w.since.IsZero() || time.Now().Before(w.since) {
		return
	}
	w.late++
	if w.late <= 5 {
		w.record.breach("EVAC: request %s reaches %s in %s, %v after the end of the bound", id, worker.id, evacuatedZone,
			time.Since(w.since).Round(time.Millisecond))
	}
}

func (w *watch) setBound(since time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.since = since
}

// lateWithdrawal freezes two control processes to which the operator then sends the end of an evacuation. The operator gets no answer,
// sends the order to another process, and orders the next evacuation, before the frozen processes wake. It checks the rule EVAC.
func lateWithdrawal(r *record, withTrouble bool) error {
	c, err := newCluster(r, 0, true, true)
	if err != nil {
		return err
	}
	defer c.stop()
	w := &watch{record: r}
	for n, zone := range []string{"z1", "z2", "z1", "z2"} {
		if _, err := newPlainWorker(c, "desk", c.ip(80+n), zone, w.onRequest); err != nil {
			return err
		}
	}
	if err := c.configure(configurationOfDesk(1), 20*time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(r.began.Add(leadTime)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := &answerCounts{byStatus: map[int]int{}}
	for n := range 4 {
		go c.sendLookups(ctx, n, answers)
	}
	go c.readConfigurations(ctx)
	for round := 1; round <= withdrawalRounds && r.broken() == 0; round++ {
		if err := c.withdrawLate(w, round, withTrouble); err != nil {
			return err
		}
	}
	r.note("answers by status: %v", answers.copy())
	w.mutex.Lock()
	defer w.mutex.Unlock()
	r.note("%d requests reached %s, %d of them after the bound", w.reached, evacuatedZone, w.late)
	if w.reached == 0 {
		return fmt.Errorf("no request reached %s", evacuatedZone)
	}
	return nil
}

// answerCounts counts the answers that callers got by their status, 0 for none.
type answerCounts struct {
	mutex    sync.Mutex
	byStatus map[int]int
}

func (a *answerCounts) add(status int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.byStatus[status]++
}

func (a *answerCounts) copy() map[int]int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return maps.Clone(a.byStatus)
}

func (c *cluster) sendLookups(ctx context.Context, n int, answers *answerCounts) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}, Timeout: 3 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		status, _ := c.ask(client, n%entries, http.MethodGet, "/check/x", fmt.Sprintf("%08x%08x", n, i), time.Second)
		answers.add(status)
		time.Sleep(25 * time.Millisecond)
	}
}

// readConfigurations reads the configuration at one control process after the other, as the operator does during the day.
func (c *cluster) readConfigurations(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.call(http.MethodGet, c.controlURL(n)+"/config/read", nil)
		time.Sleep(readInterval)
	}
}

// order sends an order of the operator to one control process, as its only one. A status of 0 means no answer within a second.
func (c *cluster) order(p *process, path string) int {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, controlPort), callTimeout)
	if err != nil {
		c.record.note("operator: POST %s to %s: %v", path, p.ip, err)
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", path, p.ip)
	answer, _ := io.ReadAll(io.LimitReader(conn, 12))
	status := 0
	_, _ = fmt.Sscanf(string(answer), "HTTP/1.1 %d", &status)
	c.record.note("operator: POST %s to %s: %d", path, p.ip, status)
	return status
}

// orderUntilAcknowledged sends an order to control processes other than the excepted ones until one of them acknowledges it.
func (c *cluster) orderUntilAcknowledged(path string, except []*process) error {
	for n := range 50 {
		p := c.controls[n%controls]
		if !slices.Contains(except, p) && c.order(p, path)/100 == 2 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s was not acknowledged", path)
}

// followers returns some control processes that do not lead, in turn.
func (c *cluster) followers(round int) []*process {
	leader := c.leader()
	var found []*process
	for n := range controls {
		if p := c.controls[(frozenControls*round+n)%controls]; p != leader && len(found) < frozenControls {
			found = append(found, p)
		}
	}
	return found
}

// withdrawLate is one round.
func (c *cluster) withdrawLate(w *watch, round int, withTrouble bool) error {
	start, finish := "/evacuations/"+evacuatedZone+"/start", "/evacuations/"+evacuatedZone+"/finish"
	if err := c.orderUntilAcknowledged(start, nil); err != nil {
		return err
	}
	time.Sleep(time.Second)
	frozen := c.followers(round)
	if withTrouble {
		for _, p := range frozen {
			p.signal(syscall.SIGSTOP)
			c.record.note("SIGSTOP of %s", p.describe())
			defer p.signal(syscall.SIGCONT)
		}
	}
	began := time.Now()
	isAcknowledged := false
	for _, p := range frozen {
		isAcknowledged = isAcknowledged || c.order(p, finish)/100 == 2
	}
	if !isAcknowledged {
		if err := c.orderUntilAcknowledged(finish, frozen); err != nil {
			return err
		}
	}
	time.Sleep(orderPause)
	if err := c.orderUntilAcknowledged(start, frozen); err != nil {
		return err
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(began.Add(frozenTime)))
	if withTrouble {
		for _, p := range frozen {
			p.signal(syscall.SIGCONT)
			c.record.note("SIGCONT of %s", p.describe())
		}
	}
	bound := acknowledged.Add(evacuationTime + outerTime)
	if calm := time.Now().Add(contactTime); calm.After(bound) {
		bound = calm
	}
	w.setBound(bound)
	time.Sleep(time.Until(bound.Add(2 * time.Second)))
	w.setBound(time.Time{})
	if c.record.broken() > 0 {
		return nil
	}
	return c.orderUntilAcknowledged(finish, nil)
}
