package forward

import (
	"iter"
	"strings"
)

// splitList returns the elements of a comma-separated field value.
func splitList(value string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(value, ",") {
			if part = strings.TrimSpace(part); part != "" && !yield(part) {
				return
			}
		}
	}
}
