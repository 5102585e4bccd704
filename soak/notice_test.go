package soak_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// troublePercent is the percentage of steps in which upstreams begin to say something of themselves.
	troublePercent = 50
	// backoffRequests is the number of requests that may reach an upstream in a backoff from one entry, once backoffNotice has
	// passed since it said so to that entry.
	backoffRequests = 2
	backoffNotice   = 500 * time.Millisecond
	// endlessTime is how long an upstream sends bytes without end.
	endlessTime = 1500 * time.Millisecond
	// entryMark separates the number of the entry from the rest of the ID of a request.
	entryMark = "@"
)

type (
	// notices holds what an upstream says in its answers, and when each entry has heard it.
	notices struct {
		mutex     sync.Mutex
		isLeaving bool
		// retryAfter is the Retry-After of refusals in seconds, 0 for none. isEndless makes answers end never.
		retryAfter int
		isEndless  bool
		// leavingHeard holds when an entry first got an answer that says that the upstream leaves, backoffs the last
		// backoff that it heard of.
		leavingHeard map[int]time.Time
		backoffs     map[int]backoff
		rateLimit    rateLimit
	}

	// backoff is the time for which an upstream has asked an entry to send nothing.
	backoff struct {
		heard, until time.Time
		arrivals     int
	}
)

// withEntry adds the number of the entry to the ID of a request.
func withEntry(id string, entry int) string { return id + entryMark + strconv.Itoa(entry) }

// entryOf returns the number of the entry in the ID of a request, and false if there is none.
func entryOf(id string) (entry int, isKnown bool) {
	_, mark, hasMark := strings.Cut(id, entryMark)
	entry, err := strconv.Atoi(mark)
	return entry, hasMark && err == nil
}

// clear forgets everything. An incarnation begins without it.
func (n *notices) clear() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isLeaving, n.retryAfter, n.isEndless = false, 0, false
	n.leavingHeard, n.backoffs = map[int]time.Time{}, map[int]backoff{}
	n.rateLimit = rateLimit{heard: map[int]time.Time{}}
}

// set changes what the upstream says.
func (n *notices) set(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
}

// troubleUpstreams makes some upstreams leave by their answers only, or ask for backoff, or one send bytes without end.
func (w *cluster) troubleUpstreams() {
	kind, count, n := w.trouble.intN(3), 1+w.trouble.intN(upstreams), w.trouble.intN(1000)
	w.recordStep("trouble %d at %d upstreams, %d", kind, count, n)
	for _, u := range w.upstreams[:count] {
		u.beginTrouble(kind, n)
		if kind != 1 {
			return
		}
	}
}

func (u *fakeUpstream) beginTrouble(kind, n int) {
	switch kind {
	case 0:
		u.notices.set(func() { u.notices.isLeaving = true })
		time.AfterFunc(drainTime+time.Second, func() { u.restart(n) })
	case 1:
		u.notices.set(func() { u.notices.retryAfter = 1 + n%3 })
		time.AfterFunc(2*time.Second, func() { u.notices.set(func() { u.notices.retryAfter = 0 }) })
	default:
		u.notices.set(func() { u.notices.isEndless = true })
		time.AfterFunc(endlessTime, func() { u.notices.set(func() { u.notices.isEndless = false }) })
	}
}

// handleNotices checks an arrival against what its entry has heard of the upstream, and says it again. It reports whether it
// has answered the request.
func (u *fakeUpstream) handleNotices(w http.ResponseWriter, id string) bool {
	entry, isKnown := entryOf(id)
	if !isKnown {
		return false
	}
	u.checkArrival(id, entry)
	u.checkRateLimit(id, entry)
	n := &u.notices
	n.mutex.Lock()
	isEndless, retryAfter, isLeaving := n.isEndless, n.retryAfter, n.isLeaving
	if isEndless {
		// Bytes without end say nothing of the upstream.
		retryAfter, isLeaving = 0, false
	}
	if retryAfter > 0 {
		now := time.Now()
		n.backoffs[entry] = backoff{heard: now, until: now.Add(time.Duration(retryAfter) * time.Second)}
	}
	if n.rateLimit.perSecond > 0 && !isEndless {
		w.Header().Set("Server-Limit", strconv.FormatFloat(n.rateLimit.perSecond, 'f', -1, 64))
	}
	n.mutex.Unlock()
	if isLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case isEndless:
		writeWithoutEnd(w)
	case retryAfter > 0:
		w.Header().Set("Guavahitch-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return isEndless || retryAfter > 0
}

// recordAnswer records that the entry of a request got an answer, whose head may say that the upstream leaves or names a limit.
// The head of a stream may be older than the trouble of its upstream.
func (u *fakeUpstream) recordAnswer(id string, head http.Header) {
	entry, isKnown := entryOf(id)
	n := &u.notices
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if isKnown && n.isLeaving && head.Get("Server-Leaving") != "" && n.leavingHeard[entry].IsZero() {
		n.leavingHeard[entry] = time.Now()
	}
	if isKnown && n.rateLimit.perSecond > 0 && head.Get("Server-Limit") != "" && n.rateLimit.heard[entry].IsZero() {
		n.rateLimit.heard[entry] = time.Now()
	}
}

// checkArrival reports a request that reaches an upstream that had told its entry that it leaves or asked for backoff. An entry that
// was started, stopped or paused since then is excused, and so is one whose connections to the upstream were disturbed: it may
// not have got the answer.
func (u *fakeUpstream) checkArrival(id string, entry int) {
	n := &u.notices
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now, disturbed := time.Now(), u.cluster.entries[entry].lastDisturbed()
	if at := u.proxy.lastDisturbed(); at.After(disturbed) {
		disturbed = at
	}
	if heard := n.leavingHeard[entry]; heard.After(disturbed) && now.Sub(heard) > drainTime {
		u.cluster.reportViolation("request %s reached an upstream %v after its entry heard that it leaves", id, now.Sub(heard))
	}
	c := n.backoffs[entry]
	if !c.heard.After(disturbed) || now.Sub(c.heard) < backoffNotice || now.After(c.until) {
		return
	}
	c.arrivals++
	n.backoffs[entry] = c
	if c.arrivals > backoffRequests {
		u.cluster.reportViolation("request %s is number %d at an upstream that has asked for backoff for %v more", id, c.arrivals, c.until.Sub(now))
	}
}

// writeWithoutEnd sends a head without end until the connection is closed.
func writeWithoutEnd(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	filler := strings.Repeat("x", 32<<10)
	_, err = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Long: ")
	for end := time.Now().Add(endlessTime); err == nil && time.Now().Before(end); {
		_, err = io.WriteString(conn, filler)
	}
}

// lastDisturbed returns when the process was last started, signalled or paused.
func (p *process) lastDisturbed() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.disturbedAt
}
