package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// openRecord creates the file at a path.
func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// add writes one line with the time since the start of the case.
func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// close closes the file.
func (r *record) close() { _ = r.file.Close() }
