package forward

import (
	"sync"
	"time"

	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/route"
)

// This file moves streams away from a rank that slows down its group. All ranks of a group run each pass together, so a
// slow rank that has streams of its own delays every stream of the group, while one without streams delays hardly any.

const (
	// blockingShare is the part of the gap objective that the token steps of a rank may take before its streams are
	// migrated.
	blockingShare = 0.5
	// minMigrationTime is the shortest time to the deadline with which a stream is migrated.
	minMigrationTime = 400 * time.Millisecond
)

// migratable is the set of exchanges at an upstream that can continue at another one.
type migratable struct {
	mutex sync.Mutex
	open  map[*attempt]struct{}
}

func (s *migratable) add(a *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open == nil {
		s.open = map[*attempt]struct{}{}
	}
	s.open[a] = struct{}{}
}

func (s *migratable) remove(a *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, a)
}

// migrate aborts the exchanges, so that their requests continue at other upstreams.
func (s *migratable) migrate(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for a := range s.open {
		a.migrate(now)
	}
}

// UpdateLoads applies a load report, and migrates the streams of upstreams that slow down their group.
func (s *Server) UpdateLoads(loads []registry.Load) {
	s.fleet.UpdateLoads(loads)
	now := time.Now()
	s.recordReport(now)
	s.notifyPlaces()
	table := s.table.Load()
	if table == nil {
		return
	}
	for i := range table.Configuration().Services {
		s.migrateFrom(table, &table.Configuration().Services[i], now)
	}
}

// migrateFrom migrates the streams of the slow upstreams of a service. It moves none if more than half of the upstreams
// are slow, since no better place is left.
func (s *Server) migrateFrom(table *route.Table, service *route.Service, now time.Time) {
	if service.Engine == nil {
		return
	}
	slow := map[*Upstream]float64{}
	upstreams := s.fleet.Service(service.Name)
	for _, u := range upstreams {
		if state := u.currentState(); state.IsSlow() {
			slow[u] = state.Pace
		}
	}
	if len(slow) == 0 || 2*len(slow) > len(upstreams) {
		return
	}
	gap := table.MinGapObjective(service.Name)
	for u, pace := range slow {
		if isBlocking(service.Engine, pace, gap) {
			u.migratable.migrate(now)
		}
	}
}

// isBlocking reports whether the token steps of a rank with this pace take more than blockingShare of the gap
// objective.
func isBlocking(engine *route.Engine, pace float64, gap time.Duration) bool {
	if gap <= 0 {
		return false
	}
	steps := float64(engine.Step) * float64(max(engine.Stride, 1)) * pace
	return steps > blockingShare*float64(gap)
}

// mayMigrate reports whether the request can continue at another upstream after the current attempt.
func (j *job) mayMigrate() bool {
	return j.route.Kind == route.Stream && j.route.IsRepeatable() && j.sent+1 < j.route.Attempts
}

// migrate aborts the exchange so that the request continues at another upstream, if enough time is left, there is a faster
// upstream that the request may use, and the retry budget allows it.
func (a *attempt) migrate(now time.Time) {
	j := a.job
	if a.isMigrating.Load() || j.deadline.Sub(now) < minMigrationTime || !j.hasFaster(a.upstream, now) {
		return
	}
	if !j.server.budget(j.service).Spend(now) {
		return
	}
	a.isMigrating.Store(true)
	a.conn.Abort()
}
