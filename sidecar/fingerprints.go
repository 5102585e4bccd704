package sidecar

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

// fingerprints.go remembers which requests the engine was running when it died. A request that is suspected of the
// crash is later run alone, as a trial. This upstream refuses the trial of a request that it remembers: if the trial
// crashed the engine again, the same upstream would count twice as evidence against the request.

const (
	// fingerprintTTL is how long a fingerprint is remembered.
	fingerprintTTL = 5 * time.Minute
	// maxFingerprints is the maximum number of fingerprints remembered; further ones are not recorded.
	maxFingerprints = 1024
)

// fingerprints is a set of request fingerprints with an expiry time each. The zero value is an empty set.
type fingerprints struct {
	expiry map[string]time.Time
}

func (f *fingerprints) add(now time.Time, suspects []*wire.Suspect) {
	if f.expiry == nil {
		f.expiry = map[string]time.Time{}
	}
	for fingerprint, expiry := range f.expiry {
		if !now.Before(expiry) {
			delete(f.expiry, fingerprint)
		}
	}
	for _, s := range suspects {
		if len(f.expiry) < maxFingerprints {
			f.expiry[string(s.Fingerprint)] = now.Add(fingerprintTTL)
		}
	}
}

func (f *fingerprints) has(now time.Time, fingerprint string) bool {
	expiry, known := f.expiry[fingerprint]
	return known && now.Before(expiry)
}
