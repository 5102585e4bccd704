// Package process measures the processor time and the memory of the current process, for benchmarks that report them.
package process

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ProcessorTime returns the user and system time that the process has used so far.
func ProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, eris.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// MemoryInUse runs a garbage collection and returns the size of the heap and the stacks in use, in bytes.
func MemoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
