package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/upstream"
)

const (
	// objectivesWaited and gapsWaited are for how many latency objectives and gap objectives a caller may wait for an
	// event.
	objectivesWaited = 4
	gapsWaited       = 8
	// idleMargin is added to that, because a silent upstream may still answer.
	idleMargin = 500 * time.Millisecond
)

// errCallerGone means that writing to the caller failed.
var errCallerGone = eris.New("caller disconnected")

// relay passes the events of a stream to the caller as they arrive. When the stream breaks off, the job keeps the ID of
// the last event, so that another upstream can resume the stream from there.
func (a *attempt) relay(response *http.Response) attemptResult {
	j := a.job
	events := upstream.NewEventReader(response.Body, j.server.settings.ResponseMemory)
	defer events.Close()
	control := http.NewResponseController(j.writer)
	if j.output == nil {
		_ = control.SetWriteDeadline(j.deadline.Add(writeGrace))
	}
	previous := a.started
	isFirst := true
	for {
		a.conn.SetReadDeadline(earlier(time.Now().Add(j.streamIdleTimeout()), j.deadline))
		event, id, hasID, err := events.Next()
		if err == io.EOF {
			err = a.checkEnd(response)
			if err == nil {
				return a.endStream(response)
			}
		}
		if err == nil {
			err = a.checkEvent(event, id, hasID)
		}
		if err != nil {
			return a.fail(err)
		}
		now := time.Now()
		a.recordEventTime(now)
		j.recordPause(now, now.Sub(previous), isFirst)
		a.admission.recordEvent(a, now, now.Sub(previous), isFirst)
		a.recordRampEvent(now, now.Sub(previous), isFirst)
		previous, isFirst = now, false
		if err := j.writeEvent(response, event, id, hasID); err != nil {
			return answered
		}
		if j.output != nil || events.Buffered() || a.conn.Buffered() {
			continue
		}
		if err := control.Flush(); err != nil {
			j.logDecision("caller gone", response.StatusCode)
			return answered
		}
	}
}

// streamIdleTimeout returns the pause after which a stream counts as broken: the longest that a caller may wait for an
// event, judged by the objectives of the route, and some time more.
func (j *job) streamIdleTimeout() time.Duration {
	patience := max(objectivesWaited*j.route.Objective, gapsWaited*j.route.GapObjective)
	return max(j.server.settings.StreamIdleTimeout, patience+idleMargin)
}

// recordPause records the time to the first event of the stream and the longest pause between events.
func (j *job) recordPause(now time.Time, pause time.Duration, isFirst bool) {
	if !j.hasEvent {
		j.first = now.Sub(j.arrived)
		if isFirst {
			j.recordFirstEvent(now)
		}
		return
	}
	if !isFirst {
		j.longestPause = max(j.longestPause, pause)
	}
}

// checkEvent returns an error if the ID of an event does not follow that of the last event, or if a continued stream has an
// event without an ID that is more than a comment: it may be the text of an error.
func (a *attempt) checkEvent(event []byte, id int64, hasID bool) error {
	j := a.job
	if j.hasEvent && hasID && id != j.lastEvent+1 {
		return eris.Errorf("event %d follows event %d", id, j.lastEvent)
	}
	if a.isContinuing && !hasID && !isComment(event) {
		return errNotContinued
	}
	return nil
}

func (j *job) writeEvent(response *http.Response, event []byte, id int64, hasID bool) error {
	j.writeHead(response)
	if hasID {
		j.hasEvent, j.lastEvent = true, id
	}
	if j.server.readers.isEnabled() {
		return j.writeBuffered(event)
	}
	if _, err := j.writer.Write(event); err != nil {
		j.logDecision("caller gone", response.StatusCode)
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// writeHead sends the head of a stream to the caller, unless it was sent already.
func (j *job) writeHead(response *http.Response) {
	if j.isHeadSent {
		return
	}
	copyAnswerHeader(j.writer.Header(), response.Header)
	delete(j.writer.Header(), "Content-Length")
	j.writer.WriteHeader(response.StatusCode)
	j.isHeadSent = true
}

// endStream handles the end of a complete stream, which may have had no events.
func (a *attempt) endStream(response *http.Response) attemptResult {
	a.job.writeHead(response)
	a.markBodyRead(response)
	if isFramed(response) {
		a.recordCompletion()
	}
	now := time.Now()
	a.upstream.recordResponse(now, now.Sub(a.started), false)
	if a.job.output == nil {
		a.job.logDecision("answered", http.StatusOK)
	}
	return answered
}
