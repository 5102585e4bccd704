package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lateOrdersTime is how long the case runs, with the time before the traffic.
	lateOrdersTime = 110 * time.Second
	// lateShare is the share of the orders that get no answer, the usual one of the disruption applied_late.
	lateShare = 0.5
	// shiftInterval is the pause between two changes of the demand.
	shiftInterval = 3 * time.Second
	// darkTime is the time from a kill until the processes are started again, and killPause the least time between two kills: darkTime,
	// catchUpS and a second.
	darkTime     = 2 * time.Second
	killPause    = 7 * time.Second
	callersOfLLM = 24
	// minArms and maxArms bound the orders to arm of one change of the map after which the processes are killed.
	minArms, maxArms = 12, 18
)

// lateOrders has workers leave orders unanswered and carry them out late while all processes of control are killed at once
// within a change of the expert map. It checks the rule MAP.
func lateOrders(r *record, withTrouble bool) error {
	c, err := newCluster(r, ranksOfGroup, false, false)
	if err != nil {
		return err
	}
	defer c.stop()
	g, err := newGroup(c, r)
	if err != nil {
		return err
	}
	if err := c.configure(configurationOfLLM(1), 20*time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(r.began.Add(leadTime)))
	until := r.began.Add(lateOrdersTime)
	var served, sent atomic.Int64
	for n := range callersOfLLM {
		go sendStreams(c, n, until, &sent, &served)
	}
	go func() {
		for time.Now().Before(until) {
			time.Sleep(shiftInterval)
			g.shift(0.7)
		}
	}()
	if withTrouble {
		g.disturb(until)
	}
	for time.Now().Before(until) && r.broken() == 0 {
		time.Sleep(50 * time.Millisecond)
	}
	g.mutex.Lock()
	r.note("%d passes, %d changes of the map, %d orders carried out late; %d streams sent, %d whole", g.step, g.switches, g.late,
		sent.Load(), served.Load())
	hasRun := g.switches >= 3
	g.mutex.Unlock()
	if crashed := c.crashes(); len(crashed) > 0 {
		r.note("ended by themselves: %v", crashed)
	}
	if !hasRun && r.broken() == 0 {
		return fmt.Errorf("the map was changed fewer than three times")
	}
	return nil
}

// disturb begins to leave orders unanswered, and kills the processes of control while the leader arms ranks.
func (g *group) disturb(until time.Time) {
	var mutex sync.Mutex
	lastKill := time.Now().Add(-killPause)
	arms, target := map[uint64]int{}, minArms
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.lateShare = lateShare
	g.onOrder = func(_ *rank, o *order, _ bool) {
		if o.Operation != "arm" {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		arms[o.Version]++
		if arms[o.Version] != target || time.Since(lastKill) < killPause || time.Now().After(until) {
			return
		}
		lastKill, target = time.Now(), minArms+rand.IntN(maxArms-minArms+1)
		go g.killControls()
	}
}

// killControls kills all processes of control at the same moment and starts them again.
func (g *group) killControls() {
	for _, p := range g.cluster.controls {
		p.signal(syscall.SIGKILL)
	}
	g.record.note("SIGKILL of all processes of control, start in %v", darkTime)
	time.Sleep(darkTime)
	for _, p := range g.cluster.controls {
		p.kill()
		if err := p.start(); err != nil {
			g.record.note("start of %s: %v", p.describe(), err)
		}
	}
	g.record.note("killed processes started again")
}

// configurationOfLLM is the configuration of one streaming route to the group.
func configurationOfLLM(version int) map[string]any {
	engine := map[string]any{
		"slots": slotsOfWorker, "kvCapacityTokens": 280000, "kvBytes": 35136, "linkMbps": 44000.0, "stride": 1,
		"models": []any{map[string]any{"name": "m"}}, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
		"read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8,
		"usual": map[string]any{"prompt": 835, "answer": 97}, "sets": setsOfGroup, "experts": expertsOfSet, "placements": placesOfRank,
		"spare": sparePlaces, "expertMb": 2200.0, "expertShare": expertShare, "form_ms": 600.0,
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": "chat.example", "pathPrefix": "/plan/", "type": "streaming", "timeoutMs": 8000,
			"targetLatencyMs": 500, "priority": 1, "backend": "llm", "maxAttempts": 2, "noAuth": false, "sticky": true, "resumable": true,
			"gapTargetMs": 120,
		}},
		"services": []any{map[string]any{
			"name": "llm", "healthPath": "/health", "maxConnections": 348, "protocol": "h1", "tls": false, "engine": engine,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "shop", "apiKeys": []any{"key-1"}, "priority": 1}},
	}
}

// sendStreams sends one stream after the other to an entry. A caller leaves after two seconds without an event.
func sendStreams(c *cluster, n int, until time.Time, sent, served *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	for i := 0; time.Now().Before(until); i++ {
		sent.Add(1)
		if sendStream(c, client, n, i) {
			served.Add(1)
		}
		time.Sleep(time.Duration(20+rand.IntN(200)) * time.Millisecond)
	}
}

func sendStream(c *cluster, client *http.Client, n, i int) bool {
	entry := c.entries[n%len(c.entries)]
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/plan/x", entry.ip, frontPort), http.NoBody)
	if err != nil {
		return false
	}
	request.Host = "chat.example"
	request.Header.Set("Guavahitch-Attempt-Id", fmt.Sprintf("%08x%08x", n, i))
	request.Header.Set("Guavahitch-Deadline-Ms", "8000")
	request.Header.Set("Guavahitch-Model", "m")
	request.Header.Set("Guavahitch-Token-Usage", "835,97")
	request.Header.Set("Guavahitch-Prompt-Prefix", fmt.Sprintf("aa:40,%x:795", n<<16|i))
	request.Header.Set("Authorization", "Token key-1")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	stop := time.AfterFunc(2*time.Second, func() { _ = response.Body.Close() })
	defer stop.Stop()
	buffer := make([]byte, 4096)
	for {
		_, err := response.Body.Read(buffer)
		stop.Reset(2 * time.Second)
		if err != nil {
			return err == io.EOF && response.StatusCode == http.StatusOK
		}
	}
}
