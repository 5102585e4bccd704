package forward

import (
	"sync"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// This file collects the requests of exchanges that an upstream broke off, so that one report names all that ran in a crash.

// crashWatch holds the exchanges that an upstream broke off, until it is known whether the upstream is gone.
type crashWatch struct {
	mutex     sync.Mutex
	isProbing bool
	// firstBroken is when the first exchange broke since the upstream was last known to be there.
	firstBroken time.Time
	suspects    suspects
}

// suspects are the requests of the exchanges that an upstream broke off, by whether their answers had gone on well.
type suspects struct {
	early, answering []*wire.Suspect
}

// count returns the number of requests.
func (s suspects) count() int { return len(s.early) + len(s.answering) }

// add adds the request of an exchange that just broke, and reports whether the caller is to probe the upstream.
func (w *crashWatch) add(suspect *wire.Suspect, isAnswering bool, sent, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.firstBroken.IsZero() {
		w.firstBroken = now
	}
	suspect.RanMs = max(w.firstBroken.Sub(sent).Milliseconds(), 1)
	if isAnswering {
		w.suspects.answering = append(w.suspects.answering, suspect)
	} else {
		w.suspects.early = append(w.suspects.early, suspect)
	}
	isFirst := !w.isProbing
	w.isProbing = true
	return isFirst
}

// take ends a probe and returns the requests of the broken exchanges. If the upstream is there, the exchanges broke for
// another reason and are forgotten.
func (w *crashWatch) take(isGone bool) (taken suspects, firstBroken time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	taken, firstBroken = w.suspects, w.firstBroken
	w.isProbing, w.suspects = false, suspects{}
	if !isGone {
		w.firstBroken = time.Time{}
		return suspects{}, time.Time{}
	}
	return taken, firstBroken
}
