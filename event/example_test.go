package event_test

import (
	"fmt"

	"guavahitch.example/guavahitch/event"
)

// An answer's clock comes after the request's, however far behind the own wall clock is.
func ExampleClock_Observe() {
	var near, far event.Clock
	sent := near.Now()
	received := far.Observe(sent)
	fmt.Println(sent.Before(received))
	// Output: true
}
