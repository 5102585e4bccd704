package departure_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/departure"
)

// A departure covers the incarnation that left and earlier ones, not a later one under the same ID.
func ExampleSet_Covering() {
	s, _ := departure.Set{}.With([]departure.Departure{{ID: "a", Born: 5}}, 1000)
	for _, born := range []int64{4, 5, 6} {
		_, isCovered := s.Covering("a", born)
		fmt.Println(born, isCovered)
	}
	// Output:
	// 4 true
	// 5 true
	// 6 false
}

// Guards against departures that are stored again with each heartbeat, and against a late one that replaces one which
// says more.
func TestOnlyNewDeparturesAreAdded(t *testing.T) {
	draining := departure.Departure{ID: "a", Born: 5, IsDraining: true}
	left := departure.Departure{ID: "a", Born: 5}
	s, added := departure.Set{}.With([]departure.Departure{draining}, 1000)
	require.Len(t, added, 1)
	s, added = s.With([]departure.Departure{draining}, 2000)
	require.Empty(t, added)
	s, added = s.With([]departure.Departure{left}, 3000)
	require.Len(t, added, 1)
	s, added = s.With([]departure.Departure{draining, {ID: "a", Born: 4}}, 4000)
	require.Empty(t, added)
	require.Equal(t, []departure.Departure{{ID: "a", Born: 5, LoggedMs: 3000}}, s.All())
}

// Guards against departures that are kept for ever, or for longer with each repetition.
func TestDeparturesExpireByLogTime(t *testing.T) {
	end := 1000 + departure.Retention.Milliseconds()
	s, _ := departure.Set{}.With([]departure.Departure{{ID: "a", Born: 5}}, 1000)
	s, _ = s.With([]departure.Departure{{ID: "a", Born: 5}}, 2000)
	require.Len(t, s.WithoutExpired(end).All(), 1)
	require.Empty(t, s.WithoutExpired(end+1).All())
	s, _ = s.With([]departure.Departure{{ID: "b", Born: 1}}, end+1)
	require.Equal(t, []departure.Departure{{ID: "b", Born: 1, LoggedMs: end + 1}}, s.All())
}
