package availability_test

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/availability"
	_ "guavahitch.example/guavahitch/proptest"
)

var start = time.Unix(1_700_000_000, 0)

// An upstream that wants nothing for two seconds takes no request in that time, and its work grows after it.
func ExampleState_Limit() {
	s := availability.State{}.WithBackoff(start, 2*time.Second)
	for _, after := range []time.Duration{0, 1999, 2000, 3000, 4000} {
		limit := s.Limit(start.Add(after*time.Millisecond), 8)
		fmt.Println(min(limit, 99))
	}
	// Output:
	// 0
	// 0
	// 1
	// 4
	// 99
}

func TestRetryAfterFields(t *testing.T) {
	century := 100 * 365 * 24 * time.Hour
	for _, c := range []struct {
		value   string
		length  time.Duration
		isValid bool
	}{
		{"0", 0, true},
		{"15", 15 * time.Second, true},
		{" 7 ", 7 * time.Second, true},
		{"1.5", 1500 * time.Millisecond, true},
		{strings.Repeat("9", 400), century, true},
		{"36000", 10 * time.Hour, true},
		{start.Add(20 * time.Second).UTC().Format(http.TimeFormat), 20 * time.Second, true},
		{start.Add(-20 * time.Second).UTC().Format(http.TimeFormat), 0, true},
		{"", 0, false},
		{"-3", 0, false},
		{"soon", 0, false},
		{"1e9", 0, false},
		{"NaN", 0, false},
		{".", 0, false},
		{"5.", 0, false},
		{"1.2.3", 0, false},
	} {
		header := http.Header{"Retry-After": {c.value}}
		length, isValid := availability.ParseRetryAfter(header, start)
		require.Equal(t, c.isValid, isValid, c.value)
		require.Equal(t, c.length, length, c.value)
	}
}

// Guards against a clock of the upstream that is an hour ahead and closes it for an hour too long.
func TestDateIsComparedWithTheClockOfTheUpstream(t *testing.T) {
	ahead := start.Add(time.Hour)
	header := http.Header{
		"Retry-After": {ahead.Add(9 * time.Second).UTC().Format(http.TimeFormat)}, "Date": {ahead.UTC().Format(http.TimeFormat)},
	}
	length, isValid := availability.ParseRetryAfter(header, start)
	require.True(t, isValid)
	require.Equal(t, 9*time.Second, length)
}

// Guards against anything but time that ends a closure or a departure, whatever happens meanwhile.
func TestNothingShortensABackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := availability.State{}
		now, backoffUntil, isLeaving := start, time.Time{}, false
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				length := time.Duration(rapid.IntRange(0, 20).Draw(t, "length")) * time.Second
				s = s.WithBackoff(now, length)
				if length > 0 && now.Add(length).After(backoffUntil) {
					backoffUntil = now.Add(length)
				}
			case 1:
				s, isLeaving = s.WithLeaving(now), true
			case 2:
				s = s.WithResponse(now, time.Millisecond, false)
			case 3:
				s = s.WithBroken(now)
			case 4:
				s = s.WithHeartbeat(now).WithPace(1).WithGroupDown(false)
			case 5:
				s = s.WithResponse(now, time.Millisecond, true)
			}
			require.Equal(t, now.Before(backoffUntil), s.IsBackingOff(now))
			require.Equal(t, now.Before(backoffUntil), s.Limit(now, 4) == 0)
			require.Equal(t, isLeaving, s.IsLeaving())
		}
	})
}

func TestSuspensionsAndFailureRate(t *testing.T) {
	s := availability.State{}.WithBroken(start)
	require.True(t, s.IsSuspended(start.Add(199*time.Millisecond)))
	require.False(t, s.IsSuspended(start.Add(200*time.Millisecond)))
	s = s.WithBroken(start)
	require.True(t, s.IsSuspended(start.Add(399*time.Millisecond)))
	require.Greater(t, s.FailureRate(start), s.FailureRate(start.Add(time.Second)))
	s = s.WithResponse(start, time.Second, false)
	require.False(t, s.IsSuspended(start))
	require.InDelta(t, 1, s.Latency, 1e-9)
	require.Equal(t, int64(math.MaxInt64), s.Limit(start, 1))
}
