// Selection of the relays, and of the relay that each process follows. Every process computes both from the
// view alone. Rendezvous hashing moves few processes when a relay joins or leaves.

package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavahitch.example/guavahitch/wire"
)

const (
	// ProcessesPerRelay is the average number of processes under one relay.
	ProcessesPerRelay = 34
	// relayRole is the role of the processes that can be relays.
	relayRole = "entry"
	// relaySalt makes the selection of relays independent of the assignment of processes to relays.
	relaySalt = "relay"
)

// Relays returns the names of the members that act as relays, ordered by hash. It returns none if control can
// serve all members directly. Draining members are not selected.
func Relays(members []*wire.Member) []string {
	if len(members) <= ProcessesPerRelay {
		return nil
	}
	var candidates []string
	for _, m := range members {
		if m.Role == relayRole && !m.Draining {
			candidates = append(candidates, m.Name)
		}
	}
	sortByHash(relaySalt, candidates)
	return candidates[:min(len(candidates), (len(members)+ProcessesPerRelay-1)/ProcessesPerRelay)]
}

// RelaysOf returns the relays in the order in which a process tries them. For a relay it returns none, because
// relays follow control directly.
func RelaysOf(process string, relays []string) []string {
	if slices.Contains(relays, process) {
		return nil
	}
	ranked := slices.Clone(relays)
	sortByHash(process, ranked)
	return ranked
}

// sortByHash sorts the names by their hash with the key, highest first.
func sortByHash(key string, names []string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(scoreOf(key, b), scoreOf(key, a)), cmp.Compare(a, b))
	})
}

func scoreOf(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
