package main

import (
	"fmt"
	"net/http"
	"time"
)

// This file lets ranks of a group crash and start again.

const (
	// stallTime is stall_ms: the time after a crash for which the other ranks stall. formTime is form_ms: the time from the start of the
	// last rank until the group opens.
	stallTime = 1500 * time.Millisecond
	formTime  = 600 * time.Millisecond
)

const (
	// passBegan means that the next pass has begun, callerGone that the caller has left, groupBroken that the work is lost.
	passBegan waitResult = iota
	callerGone
	groupBroken
)

// waitResult is how a wait for a pass ended.
type waitResult int

// giveUp ends a request that cannot go on: a refusal if it has not begun, else its answer breaks off.
func (w *rank) giveUp(writer http.ResponseWriter, hasBegun bool) {
	if hasBegun {
		panic(http.ErrAbortHandler)
	}
	w.group.mutex.Lock()
	culprit := w.group.culprit
	w.group.mutex.Unlock()
	header := writer.Header()
	header.Del("Content-Type")
	header.Del("Guavahitch-Server-Seal")
	header.Set("Guavahitch-Not-Executed", "1")
	if culprit != "" {
		header.Set("At-Server", culprit)
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// crash ends the worker at once. It starts again, as a new incarnation, after a time, and the group opens formTime later.
func (w *rank) crash(downTime time.Duration) error {
	g := w.group
	g.mutex.Lock()
	server, running := w.server, w.running
	g.culprit, g.brokenAt = w.id, time.Now()
	w.incarnation++
	g.mutex.Unlock()
	_ = server.Close()
	g.record.note("rank %d crashes with %d requests, back in %v", w.number, running, downTime)
	time.AfterFunc(stallTime, g.wake)
	time.Sleep(downTime)
	g.mutex.Lock()
	w.born = time.Now().UnixMilli()
	w.id = fmt.Sprintf("i-%d-%d", w.number, w.born)
	w.beat, w.sequence, w.fence = 0, 0, 0
	clear(w.counts)
	g.mutex.Unlock()
	if err := w.start(); err != nil {
		return err
	}
	time.Sleep(formTime)
	g.open()
	return nil
}

// wake lets waiting requests look at the state of the group.
func (g *group) wake() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.passed.Broadcast()
}

// open begins the next epoch of the group.
func (g *group) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.epoch++
	g.culprit, g.opened = "", g.step
	for _, w := range g.ranks {
		w.mapping, w.prepared, w.preparing, w.highest, w.armed, w.held = 0, 0, 0, 0, nil, 0
		w.maps = map[uint64][][]int{0: mapZero(w.number)}
	}
	g.passed.Broadcast()
	g.record.note("the group opens, epoch %d", g.epoch)
}
