package event_test

import (
	"fmt"

	"guavahitch.example/guavahitch/event"
)

// The stamp of a response is later than that of its request, even when the wall clock of the server is behind.
func ExampleClock_Observe() {
	var client, server event.Clock
	sent := client.Now()
	received := server.Observe(sent)
	fmt.Println(sent.Before(received))
	// Output: true
}
