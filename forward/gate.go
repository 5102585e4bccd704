package forward

import (
	"net/http"
	"sync"
	"time"

	"guavahitch.example/guavahitch/pacing"
	"guavahitch.example/guavahitch/route"
)

// fullRetry is when a request may come again that found no place.
const fullRetry = 600 * time.Millisecond

// gate admits the requests of one service. For model engines it holds the number of streams, of all entries
// together, at a limit at which events come in time; plain services are not limited.
type gate struct {
	server *Server

	mutex    sync.Mutex
	engine   *route.Engine
	inFlight int
	pacing   *pacing.Controller
	outage   outage
}

// gate returns the gate of a service.
func (s *Server) gate(name string, service *route.Service) *gate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.gates[name]
	if g == nil {
		g = &gate{server: s, pacing: pacing.NewController(pacing.Settings{})}
		s.gates[name] = g
	}
	g.mutex.Lock()
	g.engine = nil
	if service != nil {
		g.engine = service.Engine
	}
	g.mutex.Unlock()
	return g
}

// admit lets a request in, or refuses it at once.
func (g *gate) admit(j *job) *refusal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	j.inFlight = g.inFlight
	upstreams := j.server.fleet.Service(j.service)
	if len(upstreams) == 0 {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no upstream", retryAfter: brokenRetry}
	}
	if g.engine == nil {
		g.inFlight++
		return nil
	}
	if g.outage.blocks(time.Now()) {
		return j.downRefusal()
	}
	work := g.work(upstreams, j.arrived)
	bound := g.pacing.Bound(j.arrived, work, float64(g.engine.Slots*len(upstreams)))
	j.inFlight, j.limit = int(work), int(bound)
	if work >= bound {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no place", retryAfter: fullRetry}
	}
	g.inFlight++
	return nil
}

// work returns the streams at all upstreams. Without a fresh report other entries are taken to have as many as
// this one.
func (g *gate) work(upstreams []*Upstream, now time.Time) float64 {
	if !g.server.fleet.isReported(now) {
		return float64(g.inFlight) * float64(max(g.server.entries.Load(), 1))
	}
	work := int64(0)
	for _, u := range upstreams {
		work += u.work()
	}
	return float64(work)
}

func (g *gate) leave() {
	g.mutex.Lock()
	g.inFlight--
	g.mutex.Unlock()
}

// noteEvent takes the time since the event before; the first event of a stream tells nothing of passes.
func (g *gate) noteEvent(j *job, now time.Time, pause time.Duration, isFirst bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.outage.noteServed(now) {
		g.tell(Outage{Service: j.service})
		g.server.fleet.changes.wake()
	}
	if !isFirst {
		g.pacing.Note(pause, j.route.GapObjective)
	}
}
