package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/upstream"
)

// errCaller tells that the caller did not take what was written.
var errCaller = eris.New("the caller is gone")

// relay passes the events of a stream on as they arrive. A stream that breaks off leaves the job at its last
// event, from which another upstream may go on.
func (a *attempt) relay(response *http.Response) verdict {
	j := a.job
	events := upstream.NewEventReader(response.Body)
	control := http.NewResponseController(j.writer)
	_ = control.SetWriteDeadline(j.deadline.Add(writeSlack))
	previous := a.started
	isFirst := true
	for {
		a.conn.SetReadDeadline(earlier(time.Now().Add(j.server.settings.StreamIdleTimeout), j.deadline))
		event, id, hasID, err := events.Next()
		if err == io.EOF {
			return a.endStream(response)
		}
		if err == nil {
			err = j.checkEvent(id, hasID)
		}
		if err != nil {
			return a.fail(err)
		}
		now := time.Now()
		j.noteEvent(now, now.Sub(previous), isFirst)
		a.gate.noteEvent(j, now, now.Sub(previous), isFirst)
		previous, isFirst = now, false
		if err := j.passEvent(response, event, id, hasID); err != nil {
			return answered
		}
		if events.Buffered() || a.conn.Buffered() {
			continue
		}
		if err := control.Flush(); err != nil {
			j.decide("caller gone", response.StatusCode)
			return answered
		}
	}
}

// noteEvent keeps the times of the stream's events.
func (j *job) noteEvent(now time.Time, pause time.Duration, isFirst bool) {
	if !j.hasEvent {
		j.first = now.Sub(j.arrived)
		return
	}
	if !isFirst {
		j.longestPause = max(j.longestPause, pause)
	}
}

// checkEvent returns an error for an event that does not follow the last one.
func (j *job) checkEvent(id int64, hasID bool) error {
	if j.hasEvent && hasID && id != j.lastEvent+1 {
		return eris.Errorf("event %d follows event %d", id, j.lastEvent)
	}
	return nil
}

func (j *job) passEvent(response *http.Response, event []byte, id int64, hasID bool) error {
	j.commit(response)
	if hasID {
		j.hasEvent, j.lastEvent = true, id
	}
	if _, err := j.writer.Write(event); err != nil {
		j.decide("caller gone", response.StatusCode)
		return errors.Join(errCaller, err)
	}
	return nil
}

// commit sends the head of a stream, once.
func (j *job) commit(response *http.Response) {
	if j.isCommitted {
		return
	}
	copyAnswerHeader(j.writer.Header(), response.Header)
	delete(j.writer.Header(), "Content-Length")
	j.writer.WriteHeader(response.StatusCode)
	j.isCommitted = true
}

// endStream takes the proper end of a stream, which may have no events.
func (a *attempt) endStream(response *http.Response) verdict {
	a.job.commit(response)
	a.isWhole = true
	now := time.Now()
	a.upstream.noteAnswer(now, now.Sub(a.started), false)
	a.job.decide("answered", http.StatusOK)
	return answered
}
