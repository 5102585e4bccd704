package balance_test

import (
	"math"
	"math/rand/v2"

	"guavahitch.example/guavahitch/expertmap"
)

// traceKinds are the kinds of drift.
var traceKinds = []string{"day", "burst", "noon", "slow-rank", "flip-flop"}

const (
	minutesADay = 24 * 60
	// topics is the number of topics of requests.
	topics = 6
	// noise is the relative noise of one expert's tokens in one minute, topicNoise that of a topic's weight.
	noise      = 0.01
	topicNoise = 0.05
)

// recordedTrace holds the loads and speeds of a whole day, minute by minute.
type recordedTrace struct {
	shape  expertmap.Shape
	seed   uint64
	loads  [][]float64
	speeds [][]float64
}

// record returns the recorded trace of a kind, a shape and a seed.
func record(kind string, shape expertmap.Shape, seed uint64) *recordedTrace {
	t := newTrace(kind, shape, seed)
	r := &recordedTrace{shape: shape, seed: seed}
	for minute := range minutesADay {
		load := make([]float64, shape.Layers*shape.Experts)
		speeds := make([]float64, shape.Ranks)
		t.next(minute, load, speeds)
		r.loads, r.speeds = append(r.loads, load), append(r.speeds, speeds)
	}
	return r
}

// trace generates the load of one day, minute by minute. Each topic has its own popularity of experts in each layer.
// The mix of topics drifts according to the kind of trace.
type trace struct {
	kind   string
	shape  expertmap.Shape
	random *rand.Rand
	// popularity holds the load of each topic, by layer and expert.
	popularity [][]float64
	phase      []float64
	bursts     []burst
	slowRank   int
	// flipped is the dominant topic of a flip-flop trace until the minute flipTo.
	flipped int
	flipTo  int
}

// burst is a short rise of one topic.
type burst struct{ from, to, topic int }

// newTrace returns the trace of a kind, a shape and a seed.
func newTrace(kind string, shape expertmap.Shape, seed uint64) *trace {
	t := &trace{kind: kind, shape: shape, random: rand.New(rand.NewPCG(seed, 7))}
	base := t.loads(0.5)
	for range topics {
		own := t.loads(0.9)
		for n := range own {
			own[n] *= base[n]
		}
		t.popularity = append(t.popularity, own)
		t.phase = append(t.phase, t.random.Float64())
	}
	for at := 30 + t.random.IntN(40); at < minutesADay; at += 40 + t.random.IntN(50) {
		t.bursts = append(t.bursts, burst{from: at, to: at + 2 + t.random.IntN(4), topic: t.random.IntN(topics)})
	}
	t.slowRank = t.random.IntN(shape.Ranks)
	return t
}

// loads returns log-normal loads for all experts of all layers.
func (t *trace) loads(sigma float64) []float64 {
	loads := make([]float64, t.shape.Layers*t.shape.Experts)
	for n := range loads {
		loads[n] = math.Exp(sigma * t.random.NormFloat64())
	}
	return loads
}

// mix returns the weights of the topics in a minute.
func (t *trace) mix(minute int) []float64 {
	mix := make([]float64, topics)
	day := float64(minute) / minutesADay
	for n := range mix {
		mix[n] = (1 + 0.8*math.Sin(2*math.Pi*(day+t.phase[n]))) * (1 + topicNoise*t.random.NormFloat64())
	}
	switch t.kind {
	case "burst":
		for _, b := range t.bursts {
			if minute >= b.from && minute < b.to {
				mix[b.topic] += 4
			}
		}
	case "noon":
		if minute >= minutesADay/2 {
			mix[0], mix[1], mix[2], mix[3] = 0.1*mix[0], 0.1*mix[1], 3*mix[2], 3*mix[3]
		}
	case "flip-flop":
		if minute >= t.flipTo {
			t.flipped = 1 - t.flipped
			t.flipTo = minute + 8 + t.random.IntN(18)
		}
		mix[t.flipped] += 5
	}
	return mix
}

// next writes the loads and the rank speeds of a minute. Minutes must be asked for in order.
func (t *trace) next(minute int, load, speeds []float64) {
	mix := t.mix(minute)
	total := 0.0
	for _, m := range mix {
		total += m
	}
	for n := range load {
		v := 0.0
		for topic, m := range mix {
			v += m * t.popularity[topic][n]
		}
		load[n] = v / total * (1 + noise*t.random.NormFloat64())
	}
	for r := range speeds {
		speeds[r] = 1
	}
	if t.kind == "slow-rank" && minute >= 9*60 && minute < 17*60 {
		speeds[t.slowRank] = 0.7
	}
}

// demand is the fraction of the capacity of perfectly even ranks that callers use in a minute.
func demand(minute int) float64 {
	day := float64(minute) / minutesADay
	return 0.6 - 0.3*math.Cos(2*math.Pi*day)
}
