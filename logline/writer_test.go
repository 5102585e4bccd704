package logline_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/logline"
)

// Lines reach the underlying writer in order.
func ExampleWriter() {
	var out bytes.Buffer
	w := logline.NewWriter(&out, 100)
	fmt.Fprintln(w, "started")
	fmt.Fprintln(w, "stopped")
	w.Close()
	fmt.Print(out.String())
	// Output:
	// started
	// stopped
}

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	entered, release chan struct{}
	written          bytes.Buffer
}

func (s *blockedWriter) Write(data []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.release
	return s.written.Write(data)
}

// Guards against callers that block while the underlying writer is blocked, and against dropped lines that the log does
// not report.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	w := logline.NewWriter(out, 20)
	fmt.Fprintln(w, "first")
	<-out.entered
	for range 10 {
		n, err := fmt.Fprintln(w, "12345")
		require.NoError(t, err)
		require.Equal(t, 6, n)
	}
	require.Equal(t, int64(7), w.Dropped())
	close(out.release)
	w.Close()
	require.Contains(t, out.written.String(), `"dropped":7`)
}

// BenchmarkLog measures the cost of a line for the goroutine that logs it.
func BenchmarkLog(b *testing.B) {
	w := logline.NewWriter(io.Discard, logline.DefaultBufferBytes)
	defer w.Close()
	line := []byte(`{"level":"info","msg":"answered","request":"9c41d07be2a35f68","status":200}` + "\n")
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
