package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

// traffic.go counts the outcomes of requests by organisation and service for control's durable records. Counts are
// reported in numbered batches; a batch does not change until control has acknowledged it.

const (
	// OutcomeAnswered counts requests whose whole answer was delivered.
	OutcomeAnswered = "answered"
	// trafficInterval is the minimum time between two batches.
	trafficInterval = 2 * time.Minute
	// maxBatchCounts is the maximum number of counts that a batch lists by organisation and service; the others are
	// summed up by outcome. maxTrackedCounts is the maximum number that is counted separately between batches.
	maxBatchCounts   = 64
	maxTrackedCounts = 1024
)

type (
	// Traffic counts the outcomes of one entry's requests. It is safe for concurrent use.
	Traffic struct {
		mutex       sync.Mutex
		incarnation string
		counts      map[trafficKey]uint64
		// batch awaits control's acknowledgement; nil when there is none.
		batch  *wire.TrafficReport
		number uint64
		sealed time.Time
	}

	trafficKey struct{ organisation, service, outcome string }
)

// NewTraffic returns empty counts for one incarnation of an entry.
func NewTraffic(incarnation string) *Traffic {
	return &Traffic{incarnation: incarnation, counts: map[trafficKey]uint64{}}
}

// Add counts a request that has ended; a nil failure counts as answered. When maxTrackedCounts are tracked, new keys
// count under control.TrafficOther.
func (t *Traffic) Add(organisation, service string, failure *outcome.Error) {
	key := trafficKey{organisation, service, OutcomeAnswered}
	if failure != nil {
		key.outcome = failure.Outcome.String()
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, known := t.counts[key]; !known && len(t.counts) >= maxTrackedCounts {
		key = trafficKey{control.TrafficOther, control.TrafficOther, key.outcome}
	}
	t.counts[key]++
}

// Report returns the batch to send to control, or nil. It returns the same batch until Acknowledge is called for it.
func (t *Traffic) Report(now time.Time) *wire.TrafficReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.batch == nil && len(t.counts) > 0 && now.Sub(t.sealed) >= trafficInterval {
		t.number++
		t.batch = &wire.TrafficReport{Incarnation: t.incarnation, Batch: t.number, Counts: largest(t.counts)}
		t.counts, t.sealed = map[trafficKey]uint64{}, now
	}
	return t.batch
}

// Acknowledge drops the batch with the given number after control has stored it.
func (t *Traffic) Acknowledge(number uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.batch != nil && t.batch.Batch == number {
		t.batch = nil
	}
}

// largest returns the maxBatchCounts largest counts and sums up the others by outcome.
func largest(counts map[trafficKey]uint64) []*wire.OutcomeCount {
	all := make([]*wire.OutcomeCount, 0, len(counts))
	for key, count := range counts {
		all = append(all, &wire.OutcomeCount{
			Organisation: key.organisation, Service: key.service, Outcome: key.outcome, Count: count,
		})
	}
	slices.SortFunc(all, func(a, b *wire.OutcomeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Organisation, b.Organisation),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Outcome, b.Outcome))
	})
	if len(all) <= maxBatchCounts {
		return all
	}
	named, rest := all[:maxBatchCounts:maxBatchCounts], all[maxBatchCounts:]
	others := map[string]*wire.OutcomeCount{}
	for _, count := range rest {
		if others[count.Outcome] == nil {
			others[count.Outcome] = &wire.OutcomeCount{Organisation: control.TrafficOther, Service: control.TrafficOther, Outcome: count.Outcome}
			named = append(named, others[count.Outcome])
		}
		others[count.Outcome].Count += count.Count
	}
	return named
}
