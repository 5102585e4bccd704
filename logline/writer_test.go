package logline_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/logline"
)

// Lines reach the other writer in order.
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

// stuck blocks until it is let go.
type stuck struct {
	entered, letGo chan struct{}
	written        bytes.Buffer
}

func (s *stuck) Write(data []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.letGo
	return s.written.Write(data)
}

// A writer that is stuck holds nobody up; what does not fit is counted and told of.
func TestWriterNeverBlocks(t *testing.T) {
	out := &stuck{entered: make(chan struct{}, 1), letGo: make(chan struct{})}
	w := logline.NewWriter(out, 20)
	fmt.Fprintln(w, "first")
	<-out.entered
	for range 10 {
		n, err := fmt.Fprintln(w, "12345")
		require.NoError(t, err)
		require.Equal(t, 6, n)
	}
	require.Equal(t, int64(7), w.Dropped())
	close(out.letGo)
	w.Close()
	require.Contains(t, out.written.String(), `"dropped":7`)
}

// BenchmarkLog measures what a line costs the one who writes it.
func BenchmarkLog(b *testing.B) {
	w := logline.NewWriter(io.Discard, logline.DefaultBufferBytes)
	defer w.Close()
	line := []byte(`{"level":"info","msg":"answered","request":"9c41d07be2a35f68","status":200}` + "\n")
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
