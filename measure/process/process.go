// Package process tells what this process has used, for benchmarks that report more than time.
package process

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ProcessorTime returns the processor time of the process so far.
func ProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, eris.Wrap(err, "processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// MemoryInUse returns heap and stacks in use after a collection, in bytes.
func MemoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
