// Counts of request outcomes by organisation and service. Entries announce them in batches, and the leader
// writes one durable record of them each TrafficInterval.

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
	// KindTraffic is the kind of the records that count outcomes.
	KindTraffic = "traffic"
	// TrafficInterval is the time between two such records.
	TrafficInterval = 5 * time.Minute
	// TrafficOther replaces the names of organisations and services beyond the limits of a batch or record.
	TrafficOther = "other"
	// maxTrafficFigures limits the counts that one record names. maxTrafficCounts limits the counts that are
	// kept apart in memory.
	maxTrafficFigures = 64
	maxTrafficCounts  = 4096
)

type (
	// TrafficCount identifies the count of requests of one organisation and service with one outcome.
	TrafficCount struct {
		Organisation string
		Service      string
		// Outcome is "answered", "NotRun", "Ran" or "Unknown".
		Outcome string
	}

	// traffic accumulates the batches that entries announced to this replica in one term. An accumulated batch
	// is lost if the leader changes before the record is written.
	traffic struct {
		mutex         sync.Mutex
		term          uint64
		intervalStart time.Time
		// lastBatches holds the incarnation and the number of the last accepted batch of each entry.
		lastBatches map[string]*wire.TrafficReport
		counts      map[TrafficCount]uint64
	}
)

// Name returns the name of the figure that holds the count in a record.
func (c TrafficCount) Name() string {
	return url.PathEscape(c.Organisation) + "/" + url.PathEscape(c.Service) + "/" + c.Outcome
}

// ParseTrafficCount parses the name of a figure. ok is false if the name is malformed.
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
	return &traffic{lastBatches: map[string]*wire.TrafficReport{}, counts: map[TrafficCount]uint64{}}
}

// addBatch adds a batch unless it was added before, and returns its number for acknowledgement.
func (t *traffic) addBatch(term uint64, entry string, report *wire.TrafficReport, now time.Time) uint64 {
	if report == nil {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if term != t.term {
		t.term, t.intervalStart = term, now
		t.lastBatches, t.counts = map[string]*wire.TrafficReport{}, map[TrafficCount]uint64{}
	}
	last := t.lastBatches[entry]
	if last != nil && last.Incarnation == report.Incarnation && last.Batch >= report.Batch {
		return report.Batch
	}
	t.lastBatches[entry] = &wire.TrafficReport{Incarnation: report.Incarnation, Batch: report.Batch}
	for _, c := range report.Counts {
		t.add(TrafficCount{c.Organisation, c.Service, c.Outcome}, c.Count)
	}
	return report.Batch
}

// add adds to a count. Beyond maxTrafficCounts, new organisations and services are counted as TrafficOther.
func (t *traffic) add(key TrafficCount, count uint64) {
	if _, known := t.counts[key]; !known && len(t.counts) >= maxTrafficCounts {
		key.Organisation, key.Service = TrafficOther, TrafficOther
	}
	t.counts[key] += count
}

// takeDueRecord returns the record of the last interval and starts the next interval. It returns nil if the
// interval is not over or has no counts, or if the counts belong to another term.
func (t *traffic) takeDueRecord(term uint64, now time.Time) *wire.Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if term != t.term || len(t.counts) == 0 || now.Sub(t.intervalStart) < TrafficInterval {
		return nil
	}
	record := &wire.Record{
		Kind: KindTraffic, Subject: "requests", Decision: "counted", Cause: "the interval is over",
		Rule: "one record each " + TrafficInterval.String(), Figures: figuresOf(t.counts),
	}
	t.counts, t.intervalStart = map[TrafficCount]uint64{}, now
	return record
}

// figuresOf returns the largest counts by name and the sum of the others by outcome.
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
		if n >= maxTrafficFigures {
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

// recordTraffic writes the record that is due. The counts are dropped if the write fails, so that no request is
// counted twice.
func (s *Server) recordTraffic(ctx context.Context, now time.Time) {
	if record := s.traffic.takeDueRecord(s.settings.State.Term(), now); record != nil {
		_ = s.Record(ctx, record)
	}
}
