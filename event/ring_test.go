package event_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/event"
	"guavahitch.example/guavahitch/wire"
)

// Guards against stamps that do not increase after a stamp from a peer whose clock is ahead.
func TestClockIsMonotonic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &event.Clock{}
		first := clock.Now()
		second := clock.Now()
		require.True(t, first.Before(second))
		ahead := event.Stamp{WallUs: first.WallUs + 1_000_000}
		third := clock.Observe(ahead)
		require.True(t, ahead.Before(third))
		time.Sleep(time.Millisecond)
		require.True(t, third.Before(clock.Now()))
	})
}

func TestRingReportsDroppedEvents(t *testing.T) {
	ring := event.NewRing("entry-1", &event.Clock{})
	for range event.RingSize + 10 {
		ring.Add(&wire.Event{Kind: "dispatch"})
	}
	reply, err := ring.List(context.Background(), &wire.EventsRequest{Limit: 5})
	require.NoError(t, err)
	require.EqualValues(t, 10, reply.Dropped)
	require.Len(t, reply.Events, 5)
	require.EqualValues(t, 11, reply.Events[0].Sequence)
}

// Guards against one event with bytes that are not UTF-8 that blocks the time line of a process.
func TestEventsOfAnyBytesCanBeSent(t *testing.T) {
	ring := event.NewRing("p", &event.Clock{})
	ring.Add(&wire.Event{Kind: "admit", Detail: "/status?q=\xff"})
	reply, err := ring.List(t.Context(), &wire.EventsRequest{})
	require.NoError(t, err)
	_, err = proto.Marshal(reply)
	require.NoError(t, err)
	require.Equal(t, "/status?q=\ufffd", reply.Events[0].Detail)
}
