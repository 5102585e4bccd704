package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// fragileWorkers is the number of workers of the service, downTime how long one that has crashed is away.
	fragileWorkers = 8
	downTime       = 2500 * time.Millisecond
	// deadlyBytes is the length of the body of the request that crashes workers, within maxBodyBytes. deadlyRead is how much of it a worker
	// has read when it crashes, receiveBuffer the receive buffer of its connections.
	deadlyBytes   = 4_000_000
	deadlyRead    = 32 << 10
	receiveBuffer = 32 << 10
	// shortBytes is the length of a body that is written at once.
	shortBytes = 700
	// silentTime is how long after a restart the earlier connections of a worker that went dark stay open.
	silentTime = 6 * time.Second
	// deadlyDeadline is the time that the client of the deadly request allows.
	deadlyDeadline = time.Second
	// deadlyInterval is the pause after which the deadly request comes again, deadlyTime how long it does.
	deadlyInterval = 1500 * time.Millisecond
	deadlyTime     = 40 * time.Second
	// contactOfDesk is contactMs of the deployment.
	contactOfDesk = 3 * time.Second
	// allowedCrashes is the crash from which on retries are counted, allowedRetries how many of them may reach workers.
	allowedCrashes, allowedRetries = 3, 3
	deadlyPath                     = "/order/deadly"
)

type (
	// deadlyWatch holds what the deadly request did.
	deadlyWatch struct {
		record *record
		// length is the length of the body of the deadly request. isDark is set if its workers go dark in place of closing their
		// connections.
		length int
		isDark bool

		mutex   sync.Mutex
		reached []time.Time
		crashed []time.Time
		lost    int
	}

	// fragileWorker is a worker that crashes as it reads the deadly request, and starts again.
	fragileWorker struct {
		cluster *cluster
		watch   *deadlyWatch
		ip      string

		mutex       sync.Mutex
		id          string
		born        int64
		incarnation int
		running     int
		isDown      bool
		server      *http.Server
		listener    *darkListener
	}
)

// deadlyBody sends, beside others, a request with a long body that crashes each worker that begins to run it, before the worker has
// read the body. It checks the rule BUDGET. BODY_BYTES sets another length of the body.
func deadlyBody(r *record, withTrouble bool) error {
	return deadlyCase(r, withTrouble, &deadlyWatch{record: r, length: deadlyBytes})
}

// deadlySilence is deadlyBody with a short body and workers that go dark.
func deadlySilence(r *record, withTrouble bool) error {
	return deadlyCase(r, withTrouble, &deadlyWatch{record: r, length: shortBytes, isDark: true})
}

func deadlyCase(r *record, withTrouble bool, d *deadlyWatch) error {
	if text := os.Getenv("BODY_BYTES"); text != "" {
		length, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		d.length = length
	}
	c, err := newCluster(r, 0, true, false)
	if err != nil {
		return err
	}
	defer c.stop()
	for n := range fragileWorkers {
		w := &fragileWorker{cluster: c, watch: d, ip: c.ip(80 + n)}
		if err := w.start(); err != nil {
			return err
		}
	}
	if err := c.configure(configurationOfDesk(1), 20*time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(r.began.Add(leadTime)))
	ctx, cancel := context.WithTimeout(context.Background(), deadlyTime)
	defer cancel()
	answers := &answerCounts{byStatus: map[int]int{}}
	for n := range 4 {
		go c.sendLookups(ctx, n, answers)
	}
	if withTrouble {
		c.sendDeadly(ctx, d)
	}
	<-ctx.Done()
	r.note("answers to others by status: %v", answers.copy())
	r.note("ended by themselves: %v", c.crashes())
	return d.judge(withTrouble)
}

// sendDeadly sends the deadly request again and again, with the same path, caller and body, to one entry after the other.
func (c *cluster) sendDeadly(ctx context.Context, d *deadlyWatch) {
	body := bytes.Repeat([]byte("deadly "), d.length/len("deadly "))
	for i := 0; ctx.Err() == nil; i++ {
		client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 2 * time.Second}
		entry := c.entries[i%entries]
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", entry.ip, frontPort, deadlyPath), bytes.NewReader(body))
		if err != nil {
			return
		}
		request.Host = "desk.example"
		request.Header.Set("Guavahitch-Attempt-Id", fmt.Sprintf("deadly%04x", i))
		request.Header.Set("Guavahitch-Deadline-Ms", fmt.Sprint(deadlyDeadline.Milliseconds()))
		request.Header.Set("Authorization", "Token key-1")
		began := time.Now()
		status := 0
		if response, err := client.Do(request); err == nil {
			status = response.StatusCode
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		c.record.note("deadly request %d: %d after %v", i, status, time.Since(began).Round(time.Millisecond))
		select {
		case <-ctx.Done():
		case <-time.After(deadlyInterval):
		}
	}
}

// start lets the worker listen as a new incarnation.
func (w *fragileWorker) start() error {
	listener, err := listenDark(w.ip, workerPort, receiveBuffer)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.born = time.Now().UnixMilli()
	w.id = fmt.Sprintf("i-%s-%d", w.ip, w.born)
	w.incarnation++
	w.running, w.isDown = 0, false
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: 10 * time.Second}
	w.listener = listener
	server := w.server
	go func() { _ = server.Serve(listener) }()
	go w.sendHeartbeats(w.incarnation)
	return nil
}

func (w *fragileWorker) serve(writer http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Guavahitch-Attempt-Id")
	writer.Header().Set("Guavahitch-Attempt-Id", id)
	w.mutex.Lock()
	own := w.id
	w.running++
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		if w.id == own {
			w.running--
		}
		w.mutex.Unlock()
	}()
	if r.Header.Get("Guavahitch-Expect-Instance") != own {
		writer.Header().Set("Guavahitch-Instance-Id", own)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == deadlyPath {
		_, _ = io.CopyN(io.Discard, r.Body, deadlyRead)
		w.crash(id)
		if w.watch.isDark {
			time.Sleep(downTime + silentTime)
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
	w.mutex.Lock()
	isDown := w.isDown
	w.mutex.Unlock()
	if isDown {
		time.Sleep(downTime + silentTime)
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Guavahitch-Server-Seal", "seal-"+id)
	fmt.Fprintf(writer, "answer to %s", id)
}

// crash ends the worker at once. It starts again after downTime.
func (w *fragileWorker) crash(request string) {
	w.mutex.Lock()
	if w.isDown {
		w.mutex.Unlock()
		return
	}
	w.isDown = true
	w.incarnation++
	server, listener, lost := w.server, w.listener, w.running-1
	w.mutex.Unlock()
	w.watch.add(w.ip, request, lost)
	if w.watch.isDark {
		listener.goDark()
	} else {
		_ = server.Close()
	}
	time.AfterFunc(downTime, func() {
		// A machine that had no power says nothing of its earlier connections.
		_ = listener.Close()
		time.AfterFunc(silentTime, func() { _ = server.Close() })
		if err := w.start(); err != nil {
			w.watch.record.note("start of worker %s: %v", w.ip, err)
		}
	})
}

// sendHeartbeats announces an incarnation of the worker to control.
func (w *fragileWorker) sendHeartbeats(incarnation int) {
	for beat := 1; ; beat++ {
		w.mutex.Lock()
		if w.incarnation != incarnation {
			w.mutex.Unlock()
			return
		}
		id := w.id
		body := map[string]any{
			"backend": "desk", "address": fmt.Sprintf("%s:%d", w.ip, workerPort), "zone": "z1", "version": "v1", "slots": 6,
			"state": "ready", "coldRemainingMs": 0, "sequence": beat, "born": w.born,
		}
		w.mutex.Unlock()
		for n := range controls {
			status, _ := w.cluster.call(http.MethodPost, w.cluster.controlURL(rand.IntN(controls)+n)+"/instances/"+id+"/heartbeat", body)
			if status/100 == 2 {
				break
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// add records that the deadly request reached a worker and crashed it.
func (d *deadlyWatch) add(worker, request string, lost int) {
	now := time.Now()
	d.mutex.Lock()
	d.reached = append(d.reached, now)
	d.crashed = append(d.crashed, now)
	d.lost += lost
	d.mutex.Unlock()
	d.record.note("request %s crashes worker %s, on which %d others run", request, worker, lost)
}

// judge is the check of the rule BUDGET.
func (d *deadlyWatch) judge(withTrouble bool) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	late := 0
	if len(d.crashed) >= allowedCrashes {
		from := d.crashed[allowedCrashes-1].Add(contactOfDesk)
		for _, at := range d.reached {
			if at.After(from) {
				late++
			}
		}
	}
	d.record.note("the deadly request reached workers %d times, %d of them later than contactMs after its third crash; %d others were lost with them",
		len(d.reached), late, d.lost)
	if late > allowedRetries {
		d.record.breach("BUDGET: the deadly request reached workers in %d retries", late)
	}
	if withTrouble && len(d.crashed) == 0 {
		return fmt.Errorf("the deadly request reached no worker")
	}
	return nil
}
