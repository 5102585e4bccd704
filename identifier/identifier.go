// Package identifier checks the names that other processes choose: IDs of upstreams, services, failure domains and groups.
// A name that passes can be part of each protocol, header field, log line and metric of the system.
package identifier

import (
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// MaxBytes bounds a name.
const MaxBytes = 256

// Check returns an error if a name is not UTF-8, holds a control character, or is longer than MaxBytes. An empty name passes.
func Check(name string) error {
	if len(name) > MaxBytes {
		return eris.Errorf("a name of %d bytes is over the limit of %d", len(name), MaxBytes)
	}
	if !utf8.ValidString(name) {
		return eris.Errorf("%q is not UTF-8", name)
	}
	for _, r := range name {
		if unicode.IsControl(r) {
			return eris.Errorf("%q holds a control character", name)
		}
	}
	return nil
}
