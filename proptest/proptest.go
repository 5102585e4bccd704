// Package proptest fixes the seed of property tests. A test package imports it for its effect, so that its verdict is
// the same every time; the flag -rapid.seed of the test command still chooses another seed.
package proptest

import (
	"flag"

	// The flag that is set here belongs to the library.
	_ "pgregory.net/rapid"
)

const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
