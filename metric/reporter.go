// Package metric collects the metrics of one process from tally scopes and writes them as a page in the Prometheus text
// format.
package metric

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// reportInterval is the interval at which tally passes its metrics to the reporter.
	reportInterval = time.Second
	// maxSeries is the maximum number of series of one process. Samples of further series are counted and dropped.
	maxSeries = 4096
)

type (
	// Reporter holds the current value of every series. It implements tally.StatsReporter and is safe for concurrent
	// use.
	Reporter struct {
		mutex   sync.Mutex
		series  map[string]*series
		dropped int64
	}

	series struct {
		name   string
		labels string
		kind   string
		value  float64
		// sum is the sum of a timer's samples, in seconds.
		sum float64
	}
)

// NewScope returns a root scope, the reporter that holds its metrics, and a closer that reports once more and stops.
func NewScope(process string) (tally.Scope, *Reporter, io.Closer) {
	reporter := &Reporter{series: map[string]*series{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "guavahitch", Separator: "_", Reporter: reporter, Tags: map[string]string{"process": process},
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter, closer
}

// Capabilities returns the reporter itself, which says what it supports.
func (r *Reporter) Capabilities() tally.Capabilities { return r }

// Reporting returns true: the reporter accepts metrics.
func (r *Reporter) Reporting() bool { return true }

// Tagging returns true: the reporter supports tags.
func (r *Reporter) Tagging() bool { return true }

// Flush does nothing, because Write makes the page on demand.
func (r *Reporter) Flush() {}

// ReportCounter adds to a counter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.update(name, tags, "counter", func(s *series) { s.value += float64(value) })
}

// ReportGauge sets a gauge.
func (r *Reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.update(name, tags, "gauge", func(s *series) { s.value = value })
}

// ReportTimer adds a sample to a timer, which appears as its number of samples and their sum in seconds.
func (r *Reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.update(name, tags, "summary", func(s *series) {
		s.value++
		s.sum += interval.Seconds()
	})
}

// ReportHistogramValueSamples adds to the number of samples in one bucket.
func (r *Reporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.addBucket(name, tags, strconv.FormatFloat(upper, 'g', -1, 64), samples)
}

// ReportHistogramDurationSamples adds to the number of samples in one bucket, whose upper bound appears in seconds.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	r.addBucket(name, tags, strconv.FormatFloat(upper.Seconds(), 'g', -1, 64), samples)
}

func (r *Reporter) addBucket(name string, tags map[string]string, bound string, samples int64) {
	labelled := maps.Clone(tags)
	labelled["le"] = bound
	r.update(name+"_bucket", labelled, "counter", func(s *series) { s.value += float64(samples) })
}

func (r *Reporter) update(name string, tags map[string]string, kind string, change func(*series)) {
	labels := labelsOf(tags)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.series[name+labels]
	if s == nil {
		if len(r.series) >= maxSeries {
			r.dropped++
			return
		}
		s = &series{name: name, labels: labels, kind: kind}
		r.series[name+labels] = s
	}
	change(s)
}

func labelsOf(tags map[string]string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, name+"="+strconv.Quote(tags[name]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// Write writes the page of all series, sorted by name and labels.
func (r *Reporter) Write(w io.Writer) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := ""
	for _, key := range slices.Sorted(maps.Keys(r.series)) {
		s := r.series[key]
		if s.name != last {
			fmt.Fprintf(w, "# TYPE %s %s\n", s.name, s.kind)
			last = s.name
		}
		if s.kind == "summary" {
			fmt.Fprintf(w, "%s_count%s %g\n%s_sum%s %g\n", s.name, s.labels, s.value, s.name, s.labels, s.sum)
			continue
		}
		fmt.Fprintf(w, "%s%s %g\n", s.name, s.labels, s.value)
	}
	_, err := fmt.Fprintf(w, "# TYPE guavahitch_series_dropped counter\nguavahitch_series_dropped %d\n", r.dropped)
	return err
}
