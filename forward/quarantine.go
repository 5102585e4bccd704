package forward

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/upstream"
	"guavahitch.example/guavahitch/wire"
)

// This file tells the memory of the entry which requests were running when an upstream ended, and refuses those that the
// memory knows to end upstreams.

const (
	// progressTime is how long an answer must go on after its first event to speak for the parts of the prompt. It does not clear
	// the request, which may end its upstream at any time before its own end.
	progressTime = 250 * time.Millisecond
	// crashProbeDelay is the time from a broken exchange to the connect that tells whether the upstream is gone. The
	// connections of a process that ends may close before its listener does.
	crashProbeDelay = 20 * time.Millisecond
	reasonDeadly    = "deadly request"
)

// suspectCrash adds the request of a broken exchange to those that may have ended the upstream. An answer that had gone on well may
// have been cut off by another request, which the memory weighs.
func (a *attempt) suspectCrash() {
	if !a.isSent {
		return
	}
	j := a.job
	suspect := j.subject().Suspect()
	suspect.AfterCrash = j.lastCrash
	j.lastCrash = crashID(a.upstream.Instance())
	if a.upstream.crash.add(suspect, a.isAnswering, a.started, time.Now()) {
		go j.server.probeCrash(a.upstream)
	}
}

// probeCrash connects to an upstream that broke off exchanges. If that fails, the upstream is gone, and the requests are
// reported to the memory.
func (s *Server) probeCrash(u *Upstream) {
	time.Sleep(crashProbeDelay)
	instance := u.Instance()
	conn, err := upstream.Dial(context.Background(), instance.Address, s.settings.ConnectTimeout)
	if err == nil {
		conn.Close()
	}
	found, at := u.crash.take(err != nil)
	if found.count() == 0 {
		return
	}
	now := time.Now()
	verdicts := s.settings.Memory.RecordDeath(now, &wire.DeathReport{
		Upstream: instance.ID, CrashId: crashID(instance), Running: found.early,
		Answering: found.answering, AgeMs: now.Sub(at).Milliseconds(),
	})
	if s.settings.OnCrash != nil {
		s.settings.OnCrash(Crash{
			Upstream: instance.ID, Born: instance.Born, Running: found.count(), Answering: len(found.answering), Verdicts: verdicts,
		})
	}
}

// crashID returns the ID of the crash that ends an upstream.
func crashID(instance *roster.Instance) string {
	return fmt.Sprintf("%s/%d", instance.ID, instance.Born)
}

// recordProgress tells the memory that the answer to the request has gone on well so far.
func (a *attempt) recordProgress() {
	if a.isAnswering {
		return
	}
	a.isAnswering = true
	if len(a.job.promptParts()) > 0 {
		a.job.server.settings.Memory.RecordProgress(time.Now(), a.job.subject())
	}
}

// recordCompletion tells the memory that the answer to the request has ended whole. The rest of a stream that was resumed shows only
// that this rest does not end an upstream.
func (a *attempt) recordCompletion() {
	if a.isContinuing || a.job.request.Header.Get(a.job.server.settings.Headers.LastEvent) != "" {
		a.recordProgress()
		return
	}
	memory := a.job.server.settings.Memory
	if len(a.job.promptParts()) > 0 || !memory.IsEmpty() {
		memory.RecordCompletion(time.Now(), a.job.subject())
	}
}

// recordEventTime records that an event arrived, and the progress once the answer has gone on for progressTime.
func (a *attempt) recordEventTime(now time.Time) {
	a.events++
	if a.events == 1 {
		a.firstEvent = now
	}
	if now.Sub(a.firstEvent) >= progressTime {
		a.recordProgress()
	}
}

// subject returns what the memory knows the request by. It is computed once.
func (j *job) subject() quarantine.Subject {
	if j.knownAs == nil {
		j.knownAs = &quarantine.Subject{
			Organisation: j.organisation,
			Request:      quarantine.NewFingerprint(j.organisation, j.request.Host+j.request.RequestURI, j.body.Pieces()...),
		}
		for _, id := range j.promptParts() {
			j.knownAs.Parts = append(j.knownAs.Parts, quarantine.NewPart(id))
		}
	}
	return *j.knownAs
}

// isFramed reports whether the end of a response differs from that of its connection. Otherwise an upstream that has ended
// may look as if it had answered.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// deadlyRefusal returns the refusal of a request that the memory knows to end upstreams, or nil.
func (j *job) deadlyRefusal() *refusal { return j.refusalBy(j.server.settings.Memory.Check) }

// mayStart reports whether the memory lets the next attempt start. It refuses a further attempt of a request on trial.
func (j *job) mayStart() bool {
	j.deadly = j.refusalBy(j.server.settings.Memory.Begin)
	return j.deadly == nil
}

func (j *job) refusalBy(check quarantine.CheckFunc) *refusal {
	if j.server.settings.Memory.IsEmpty() {
		return nil
	}
	refused := check(time.Now(), j.subject())
	if refused == nil {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonDeadly, retryAfter: refused.RetryAfter}
}
