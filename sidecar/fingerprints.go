package sidecar

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

// fingerprints.go remembers which requests the engine was running when it died, so that none of them is tried
// here again: a trial that kills would otherwise count the same upstream twice.

const (
	// diedFor is how long a fingerprint is remembered.
	diedFor = 5 * time.Minute
	// diedLimit is the number of fingerprints remembered.
	diedLimit = 1024
)

// fingerprints holds the end of the memory of each fingerprint. The zero value is empty.
type fingerprints struct {
	until map[string]time.Time
}

func (f *fingerprints) add(now time.Time, suspects []*wire.Suspect) {
	if f.until == nil {
		f.until = map[string]time.Time{}
	}
	for name, until := range f.until {
		if !now.Before(until) {
			delete(f.until, name)
		}
	}
	for _, s := range suspects {
		if len(f.until) < diedLimit {
			f.until[string(s.Fingerprint)] = now.Add(diedFor)
		}
	}
}

func (f *fingerprints) has(now time.Time, fingerprint string) bool {
	until, known := f.until[fingerprint]
	return known && now.Before(until)
}
