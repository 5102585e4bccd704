package registry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// staleTime is the time without a frame, or with a version that is offered and was not fetched, after which a follower warns.
const staleTime = 3 * time.Second

// freshness records how recent the frames of a follower are and which versions it was offered. It warns when no frame arrives,
// or when an offered configuration cannot be fetched. It is safe for concurrent use.
type freshness struct {
	log   *logrus.Entry
	scope tally.Scope
	// isFetching is set if the follower fetches configurations.
	isFetching bool

	mutex     sync.Mutex
	lastFrame time.Time
	// lastLoss is why a stream ended last.
	lastLoss error
	// offered is the newest version that a replica told, since offeredSince. fetched is the newest version that was fetched.
	offered, fetched heldVersion
	offeredSince     time.Time
	isSilent         bool
	isBehind         bool
}

func newFreshness(now time.Time, isFetching bool, log *logrus.Entry, scope tally.Scope) *freshness {
	return &freshness{log: log, scope: scope, isFetching: isFetching, lastFrame: now}
}

// recordFrame records a frame that offers a version.
func (f *freshness) recordFrame(now time.Time, version heldVersion) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastFrame = now
	if f.offered.isOlderThan(version) {
		f.offered, f.offeredSince = version, now
	}
}

// recordFetched records that a version was fetched and passed on.
func (f *freshness) recordFetched(version heldVersion) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fetched = f.fetched.withNewer(version)
}

// recordLoss records why a stream ended.
func (f *freshness) recordLoss(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastLoss = err
	f.scope.Counter("watch_streams_lost").Inc(1)
}

// check updates the metrics and logs when the follower becomes stale or recovers.
func (f *freshness) check(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	age := now.Sub(f.lastFrame)
	f.scope.Gauge("frame_age_seconds").Update(age.Seconds())
	f.scope.Gauge("offered_version").Update(float64(f.offered.version))
	f.scope.Gauge("fetched_version").Update(float64(f.fetched.version))
	if isSilent := age > staleTime; isSilent != f.isSilent {
		f.isSilent = isSilent
		line := f.log.WithField("age_ms", age.Milliseconds()).WithField("version", f.fetched.version)
		if isSilent {
			line.WithError(f.lastLoss).Warn("no frame from any replica")
		} else {
			line.Info("frames arrive from replicas")
		}
	}
	isBehind := f.isFetching && f.fetched.isOlderThan(f.offered) && now.Sub(f.offeredSince) > staleTime
	if isBehind && !f.isBehind {
		f.log.WithField("version", f.fetched.version).WithField("offered", f.offered.version).Warn("the newest configuration is not fetched")
	}
	f.isBehind = isBehind
}
