package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mutex    sync.Mutex
	file     *os.File
	began    time.Time
	breaches int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// breach writes a line about a broken rule and counts it.
func (r *record) breach(format string, arguments ...any) {
	r.note("BROKEN: "+format, arguments...)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.breaches++
}

func (r *record) broken() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.breaches
}
