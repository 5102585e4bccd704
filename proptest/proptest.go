// Package proptest fixes the seed of property tests. A test package imports it for its side effect, so that each run
// makes the same checks. The flag -rapid.seed of the test command overrides the seed.
package proptest

import (
	"flag"

	// rapid defines the flag that init sets.
	_ "pgregory.net/rapid"
)

const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
