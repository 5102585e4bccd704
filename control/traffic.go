// The outcomes of requests by organisation and service. Entries announce them in batches, and the leader writes
// one durable record of them each TrafficInterval.

package control

import (
	"cmp"
	"context"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// KindTraffic is the kind of a record that counts outcomes.
	KindTraffic = "traffic"
	// TrafficInterval is the time between two such records.
	TrafficInterval = 5 * time.Minute
	// TrafficOther stands for the organisations and services that a batch or record does not name.
	TrafficOther = "other"
	// trafficFigures is the most counts that one record names, and trafficCounted that are counted apart.
	trafficFigures = 64
	trafficCounted = 4096
)

type (
	// TrafficCount counts requests of one organisation and service with one outcome.
	TrafficCount struct {
		Organisation string
		Service      string
		// Outcome is "answered", "NotRun", "Ran" or "Unknown".
		Outcome string
	}

	// traffic gathers the batches that entries announced to this replica in one term. A batch that was taken
	// is lost when its leader goes before the record is written.
	traffic struct {
		mutex   sync.Mutex
		term    uint64
		began   time.Time
		entries map[string]*wire.TrafficReport
		counts  map[TrafficCount]uint64
	}
)

// Name returns the name of the figure that holds the count.
func (c TrafficCount) Name() string {
	return url.PathEscape(c.Organisation) + "/" + url.PathEscape(c.Service) + "/" + c.Outcome
}

// ParseTrafficCount returns the count that a figure's name stands for.
func ParseTrafficCount(name string) (c TrafficCount, ok bool) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 {
		return c, false
	}
	organisation, err1 := url.PathUnescape(parts[0])
	service, err2 := url.PathUnescape(parts[1])
	return TrafficCount{organisation, service, parts[2]}, err1 == nil && err2 == nil
}

func newTraffic() *traffic {
	return &traffic{entries: map[string]*wire.TrafficReport{}, counts: map[TrafficCount]uint64{}}
}

// take adds a batch unless it was added before, and returns its number.
func (t *traffic) take(term uint64, entry string, report *wire.TrafficReport, now time.Time) uint64 {
	if report == nil {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if term != t.term {
		t.term, t.began = term, now
		t.entries, t.counts = map[string]*wire.TrafficReport{}, map[TrafficCount]uint64{}
	}
	last := t.entries[entry]
	if last != nil && last.Incarnation == report.Incarnation && last.Batch >= report.Batch {
		return report.Batch
	}
	t.entries[entry] = &wire.TrafficReport{Incarnation: report.Incarnation, Batch: report.Batch}
	for _, c := range report.Counts {
		t.add(TrafficCount{c.Organisation, c.Service, c.Outcome}, c.Count)
	}
	return report.Batch
}

func (t *traffic) add(key TrafficCount, count uint64) {
	if _, known := t.counts[key]; !known && len(t.counts) >= trafficCounted {
		key.Organisation, key.Service = TrafficOther, TrafficOther
	}
	t.counts[key] += count
}

// due returns the record of the last interval and starts the next one; nil when it is not over or was empty.
func (t *traffic) due(term uint64, now time.Time) *wire.Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if term != t.term || len(t.counts) == 0 || now.Sub(t.began) < TrafficInterval {
		return nil
	}
	record := &wire.Record{
		Kind: KindTraffic, Subject: "requests", Decision: "counted", Cause: "the interval is over",
		Rule: "one record each " + TrafficInterval.String(), Figures: figuresOf(t.counts),
	}
	t.counts, t.began = map[TrafficCount]uint64{}, now
	return record
}

// figuresOf names the largest counts and adds up the others by outcome.
func figuresOf(counts map[TrafficCount]uint64) []*wire.Figure {
	keys := make([]TrafficCount, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b TrafficCount) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a.Name(), b.Name()))
	})
	named := map[TrafficCount]uint64{}
	var order []TrafficCount
	for n, key := range keys {
		count := counts[key]
		if n >= trafficFigures {
			key.Organisation, key.Service = TrafficOther, TrafficOther
		}
		if _, known := named[key]; !known {
			order = append(order, key)
		}
		named[key] += count
	}
	figures := make([]*wire.Figure, 0, len(order))
	for _, key := range order {
		figures = append(figures, &wire.Figure{Name: key.Name(), Value: float64(named[key]), Unit: "requests"})
	}
	return figures
}

// recordTraffic writes the record that is due. Counts are dropped when the write fails, so that none count twice.
func (s *Server) recordTraffic(ctx context.Context, now time.Time) {
	if record := s.traffic.due(s.settings.State.Term(), now); record != nil {
		_ = s.Record(ctx, record)
	}
}
