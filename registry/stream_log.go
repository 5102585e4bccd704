package registry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// This file records why the streams to followers end, and which version each follower was sent.

const (
	// The causes of the end of a stream: a frame that cannot be encoded, a follower that does not read within
	// frameWriteTimeout, and a follower that has disconnected.
	endOfEncoding = "encode"
	endOfTimeout  = "timeout"
	endOfFollower = "disconnect"
	// streamLogInterval is the shortest time between two lines about the streams of one follower.
	streamLogInterval = 5 * time.Second
	// maxLoggedFollowers bounds the followers that are remembered between two lines.
	maxLoggedFollowers = 1024
)

// streamLog records the streams that one replica serves. It is safe for concurrent use.
type streamLog struct {
	log   *logrus.Entry
	scope tally.Scope

	mutex sync.Mutex
	// logged holds when the end of a stream of a follower was last logged.
	logged map[string]time.Time
}

func newStreamLog(log *logrus.Entry, scope tally.Scope) *streamLog {
	return &streamLog{log: log, scope: scope, logged: map[string]time.Time{}}
}

// recordEnd counts the end of a stream. It logs it unless the follower has disconnected, which the follower logs if it goes on, or
// one of the same follower was logged within streamLogInterval.
func (l *streamLog) recordEnd(now time.Time, follower, cause string, err error) {
	l.scope.Tagged(map[string]string{"cause": cause}).Counter("watch_streams_ended").Inc(1)
	if cause != endOfFollower && l.isDue(now, follower) {
		l.log.WithError(err).WithFields(logrus.Fields{"follower": follower, "cause": cause}).Warn("stream to follower ended")
	}
}

// isDue reports whether a line about a follower is due, and records that it is logged.
func (l *streamLog) isDue(now time.Time, follower string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if last, isLogged := l.logged[follower]; isLogged && now.Sub(last) < streamLogInterval {
		return false
	}
	if len(l.logged) >= maxLoggedFollowers {
		clear(l.logged)
	}
	l.logged[follower] = now
	return true
}

// recordSent records the version that a follower was sent.
func (l *streamLog) recordSent(follower string, version uint64) {
	l.scope.Tagged(map[string]string{"follower": follower}).Gauge("sent_version").Update(float64(version))
}
