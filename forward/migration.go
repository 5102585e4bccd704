package forward

import (
	"sync"
	"time"

	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/route"
)

// Streams leave an upstream that holds up its group. All ranks of a group run each pass together, so that a slow
// rank with streams of its own makes every stream of the group late, and one without them hardly any.

const (
	// blockingShare is the part of the wanted pause between events that a rank's token steps alone may take before
	// its streams go elsewhere.
	blockingShare = 0.5
	// migrationTime is the shortest time to the deadline that is worth a move.
	migrationTime = 400 * time.Millisecond
)

// streams are the exchanges at an upstream that may go on elsewhere.
type streams struct {
	mutex sync.Mutex
	open  map[*attempt]struct{}
}

func (s *streams) add(a *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open == nil {
		s.open = map[*attempt]struct{}{}
	}
	s.open[a] = struct{}{}
}

func (s *streams) remove(a *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, a)
}

// migrate breaks the exchanges off, so that their requests go on at another upstream.
func (s *streams) migrate(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for a := range s.open {
		a.migrate(now)
	}
}

// UpdateLoads takes a report of what upstreams have to do, and moves streams away from those that hold up their group.
func (s *Server) UpdateLoads(loads []registry.Load) {
	s.fleet.UpdateLoads(loads)
	table := s.table.Load()
	if table == nil {
		return
	}
	now := time.Now()
	for i := range table.Configuration().Services {
		s.migrateFrom(table, &table.Configuration().Services[i], now)
	}
}

func (s *Server) migrateFrom(table *route.Table, service *route.Service, now time.Time) {
	if service.Engine == nil {
		return
	}
	slow := map[*Upstream]float64{}
	upstreams := s.fleet.Service(service.Name)
	for _, u := range upstreams {
		if pace := u.condition(now).pace; pace > slowPace {
			slow[u] = pace
		}
	}
	if len(slow) == 0 || 2*len(slow) > len(upstreams) {
		return
	}
	gap := table.LeastGap(service.Name)
	for u, pace := range slow {
		if isBlocking(service.Engine, pace, gap) {
			u.streams.migrate(now)
		}
	}
}

// isBlocking reports whether a rank of the pace takes too long for a pass with streams of its own.
func isBlocking(engine *route.Engine, pace float64, gap time.Duration) bool {
	if gap <= 0 {
		return false
	}
	steps := float64(engine.Step) * float64(max(engine.Stride, 1)) * pace
	return steps > blockingShare*float64(gap)
}

// mayMigrate reports whether the request of an exchange can go on at another upstream.
func (j *job) mayMigrate() bool {
	return j.route.Kind == route.Stream && j.route.IsRepeatable() && j.sent+1 < j.route.Attempts
}

// migrate ends the exchange for another one, if the retry budget allows it.
func (a *attempt) migrate(now time.Time) {
	j := a.job
	if a.isMigrating.Load() || j.deadline.Sub(now) < migrationTime || !j.server.budget(j.service).Spend(now) {
		return
	}
	a.isMigrating.Store(true)
	a.conn.Abort()
}
