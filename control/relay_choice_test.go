package control_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/wire"
)

// maxProcessesPerRelay is the number of processes, at 381 B/s each, that keeps a relay under 18 KB/s.
const maxProcessesPerRelay = 47

func members(entries, sidecars int) []*wire.Member {
	var list []*wire.Member
	for n := range entries {
		list = append(list, &wire.Member{Name: fmt.Sprint("entry-", n), Role: "entry"})
	}
	for n := range sidecars {
		list = append(list, &wire.Member{Name: fmt.Sprint("sidecar-", n), Role: "sidecar"})
	}
	return list
}

func TestRelaysBalanceProcessesAndFewMoveOnRemoval(t *testing.T) {
	require.Empty(t, control.Relays(members(4, 15)))
	list := members(410, 760)
	relays := control.Relays(list)
	require.Len(t, relays, 35)
	processesByRelay := make(map[string]int)
	for _, m := range list {
		if order := control.RelaysOf(m.Name, relays); len(order) > 0 {
			processesByRelay[order[0]]++
		}
	}
	for relay, count := range processesByRelay {
		require.LessOrEqual(t, count, maxProcessesPerRelay, relay)
	}
	moved := 0
	for _, m := range list {
		before, after := control.RelaysOf(m.Name, relays), control.RelaysOf(m.Name, relays[1:])
		if len(before) > 0 && before[0] != after[0] {
			moved++
		}
	}
	require.Equal(t, processesByRelay[relays[0]], moved)
}
