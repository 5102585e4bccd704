// Command 4 shows that control forgets an acknowledged departure of a worker when all processes of the system are killed at
// the same moment, and that a late heartbeat then brings the worker back into use.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"guavahitch.example/guavahitch/review/rig"
)

const (
	// heartbeatDelay is how late the last heartbeat before the departure arrives.
	heartbeatDelay = 3500 * time.Millisecond
	// downTime is the time from the kill to the restart.
	downTime = 700 * time.Millisecond
	// observed is how long requests are sent once all machines are in touch. The worker goes on to serve until then.
	observed = 5 * time.Second
	deadline = 4 * time.Second
	// clients is the number of clients of each entry, pause the time between two requests of one.
	clients = 4
	pause   = 40 * time.Millisecond
)

func main() { rig.Main(5, 2, run) }

func run(r *rig.Rig) error {
	if err := r.Start(); err != nil {
		return err
	}
	if err := r.Configure(7, rig.Plain(7), 15*time.Second); err != nil {
		return err
	}
	var workers []*rig.Worker
	for n := range 3 {
		w, err := r.StartWorker(fmt.Sprintf("i-7f3a91c%d", n), "desk")
		if err != nil {
			return err
		}
		defer w.Stop()
		workers = append(workers, w)
	}
	leaving := workers[0]
	if !r.AwaitReady(10 * time.Second) {
		return fmt.Errorf("the entries are not ready")
	}
	time.Sleep(rig.HeartbeatTime)
	if sendAll(r, time.Second); len(leaving.Arrivals()) == 0 {
		return fmt.Errorf("the system does not serve")
	}
	time.Sleep(rig.ContactTime + time.Second)

	// The worker's last heartbeat before its departure is under way for some seconds.
	late := leaving.NextHeartbeat("ready")
	sentLate := time.Now()
	r.Record.Printf("worker %s sends a heartbeat that arrives %v later", leaving.ID, heartbeatDelay)
	by, departed, isDone := leaving.Deregister()
	if !isDone {
		return fmt.Errorf("the departure is not acknowledged")
	}
	time.Sleep(300 * time.Millisecond)
	if rig.HasTrouble() {
		if err := killAll(r); err != nil {
			return err
		}
	}
	restarted := time.Now()
	time.Sleep(time.Until(sentLate.Add(heartbeatDelay)))
	for n := range r.Controls {
		if status, _ := r.Post(r.ControlAddress(n), leaving.HeartbeatPath(), late); status == http.StatusOK {
			r.Record.Printf("the late heartbeat of %s arrives at %s", leaving.ID, r.Controls[n].Name)
			break
		}
	}

	inTouch := restarted.Add(rig.ContactTime + time.Second)
	time.Sleep(time.Until(inTouch))
	if !r.AwaitReady(5 * time.Second) {
		return fmt.Errorf("the system does not serve again")
	}
	sent := sendAll(r, observed)
	return judge(r, leaving, sent, by, departed)
}

// killAll kills all processes of the system at the same moment and starts them again.
func killAll(r *rig.Rig) error {
	for _, p := range r.Processes() {
		go p.Kill()
	}
	time.Sleep(downTime)
	for _, p := range r.Processes() {
		if !p.AwaitEnd(5 * time.Second) {
			return fmt.Errorf("%s was not killed", p.Name)
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// sendAll has clients send requests to both entries for a while, and returns when each was sent.
func sendAll(r *rig.Rig, length time.Duration) map[string]time.Time {
	var mutex sync.Mutex
	sent := map[string]time.Time{}
	var done sync.WaitGroup
	end := time.Now().Add(length)
	for n := range clients * len(r.Entries) {
		done.Go(func() {
			for time.Now().Before(end) {
				a := r.Send(n%len(r.Entries), http.MethodPost, "/place/1", []byte("an order"), deadline)
				mutex.Lock()
				sent[a.ID] = a.SentAt
				mutex.Unlock()
				time.Sleep(pause)
			}
		})
	}
	done.Wait()
	return sent
}

// judge looks for requests that were sent by machines in touch and reached the worker later than the time to drain.
func judge(r *rig.Rig, leaving *rig.Worker, sent map[string]time.Time, by string, departed time.Time) error {
	count, first := 0, time.Duration(0)
	for _, a := range leaving.Arrivals() {
		if _, isJudged := sent[a.ID]; !isJudged || a.At.Sub(departed) <= rig.DrainTime {
			continue
		}
		if count == 0 {
			first = a.At.Sub(departed)
		}
		count++
	}
	r.Record.Printf("%d of %d requests reached %s later than %v after its departure was acknowledged", count, len(sent),
		leaving.ID, rig.DrainTime)
	if count == 0 {
		return nil
	}
	return fmt.Errorf("%w: DRAIN: %d of %d requests reached %s, the first %v after %s had acknowledged its departure",
		rig.ErrBroken, count, len(sent), leaving.ID, first.Round(time.Millisecond), by)
}
