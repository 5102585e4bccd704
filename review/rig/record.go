package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a run: what was sent, answered and run, with the time since the start. It is safe for concurrent use.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates or replaces the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Fprintln(r.file, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
