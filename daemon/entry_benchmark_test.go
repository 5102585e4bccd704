package daemon_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/daemon"
	"guavahitch.example/guavahitch/fake"
	"guavahitch.example/guavahitch/keys"
)

const (
	// benchClients is the number of concurrent callers.
	benchClients = 8
	// benchRequests is the number of requests without streaming for each way.
	benchRequests = 4000
	// benchStreams is the number of streams for each way, and benchTokens is the length of each.
	benchStreams = 64
	benchTokens  = 200
)

// entryBench is an entry, a sidecar and an engine whose step time can be changed.
type entryBench struct {
	step   atomic.Int64
	engine *fake.Engine
	entry  *daemon.Process
}

func newEntryBench(b *testing.B, authority *keys.Authority) *entryBench {
	e := &entryBench{}
	c := newKeyedCluster(b, 1, clusterInventory, authority)
	e.engine, _ = c.addModel("up-1", fake.EngineSettings{
		Slots: 512, StepTime: func(int) time.Duration { return time.Duration(e.step.Load()) },
	})
	e.entry = c.addEntry("entry-1")
	c.awaitRoom(e.entry, "m", 1)
	return e
}

// BenchmarkEntry measures the latency that entry and sidecar add to direct calls of the engine, without and with TLS.
func BenchmarkEntry(b *testing.B) {
	authority, err := keys.NewAuthority(b.TempDir())
	require.NoError(b, err)
	plain, secured := newEntryBench(b, nil), newEntryBench(b, authority)
	for _, way := range []struct {
		name, address string
		bench         *entryBench
	}{
		{"direct", plain.engine.Address(), plain},
		{"through", plain.entry.CallerAddress(), plain},
		{"through-tls", secured.entry.CallerAddress(), secured},
	} {
		b.Run("way="+way.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				way.bench.step.Store(0)
				measureRequests(b, way.address)
				way.bench.step.Store(int64(time.Millisecond))
				measureStreams(b, way.address, benchClients, benchStreams)
			}
		})
	}
}

// BenchmarkStreams measures the processor time per token and the memory per stream for several numbers of streams, so
// that the slope can be read off. Callers, entry, sidecar and engine share the process.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			e := newEntryBench(b, nil)
			e.step.Store(int64(10 * time.Millisecond))
			for b.Loop() {
				before := heapInUse()
				peak := measureStreams(b, e.entry.CallerAddress(), streams, streams)
				b.ReportMetric(float64(peak-before)/float64(streams)/1024, "KB/stream")
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchClients}}
}

func measureRequests(b *testing.B, address string) {
	client := benchClient()
	defer client.CloseIdleConnections()
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	var mutex sync.Mutex
	var group sync.WaitGroup
	for n := range benchClients {
		group.Go(func() {
			for i := range benchRequests / benchClients {
				start := time.Now()
				got := send(client, address, chatPath, "", chatBody(fmt.Sprintf("request %d %d", n, i), 1, false))
				took := time.Since(start)
				if got.err != nil || got.status != http.StatusOK {
					b.Errorf("request: %+v", got)
					return
				}
				mutex.Lock()
				_ = histogram.RecordValue(took.Microseconds())
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-us")
}

// measureStreams runs the streams with the given number of concurrent callers. It returns the memory in use 500 ms
// after the start.
func measureStreams(b *testing.B, address string, callers, streams int) (peak int64) {
	client := benchClient()
	defer client.CloseIdleConnections()
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	var mutex sync.Mutex
	var group sync.WaitGroup
	before := processorTime()
	for n := range callers {
		group.Go(func() {
			for i := range streams / callers {
				delays, err := streamDelays(client, address, fmt.Sprintf("stream %d %d", n, i))
				if err != nil {
					b.Error(err)
					return
				}
				mutex.Lock()
				for _, d := range delays {
					_ = histogram.RecordValue(max(d, 1))
				}
				mutex.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	peak = heapInUse()
	group.Wait()
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "token-us")
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(streams*benchTokens), "cpu-us/token")
	return peak
}

// streamDelays returns, for each token of one stream, the time from the engine to the caller in microseconds.
func streamDelays(client *http.Client, address, prompt string) ([]int64, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+chatPath, strings.NewReader(chatBody(prompt, benchTokens, true)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Guavahitch-Organisation", "north")
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var delays []int64
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: {"))
		if !isData {
			continue
		}
		now := time.Now().UnixMicro()
		var chunk struct {
			EmittedUs int64 `json:"emitted_us"`
		}
		if err := json.Unmarshal(append([]byte("{"), data...), &chunk); err != nil {
			return nil, err
		}
		delays = append(delays, now-chunk.EmittedUs)
	}
	if len(delays) != benchTokens {
		return nil, fmt.Errorf("%d tokens of %d arrived", len(delays), benchTokens)
	}
	return delays, lines.Err()
}

// processorTime returns the processor time that the test process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
