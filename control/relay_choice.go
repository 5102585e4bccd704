// The choice of relays and of a process's relay, made by every process from the view alone. Rendezvous
// hashing moves few processes when a relay comes or goes.

package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavahitch.example/guavahitch/wire"
)

const (
	// UnderRelay is the number of processes under one relay, on average.
	UnderRelay = 34
	// relayRole is the role of the processes that may be relays.
	relayRole = "entry"
	// relaySalt makes the choice of relays independent of the choice among them.
	relaySalt = "relay"
)

// Relays returns the names of the members that are relays, by their rank; none when control can carry all
// members itself. Draining members are no relays.
func Relays(members []*wire.Member) []string {
	if len(members) <= UnderRelay {
		return nil
	}
	var candidates []string
	for _, m := range members {
		if m.Role == relayRole && !m.Draining {
			candidates = append(candidates, m.Name)
		}
	}
	rankFor(relaySalt, candidates)
	return candidates[:min(len(candidates), (len(members)+UnderRelay-1)/UnderRelay)]
}

// RelaysOf returns the relays in the order in which a process tries them. A relay itself has none: it
// follows control.
func RelaysOf(process string, relays []string) []string {
	if slices.Contains(relays, process) {
		return nil
	}
	ranked := slices.Clone(relays)
	rankFor(process, ranked)
	return ranked
}

// rankFor sorts the names by their hash with the key, highest first.
func rankFor(key string, names []string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(scoreOf(key, b), scoreOf(key, a)), cmp.Compare(a, b))
	})
}

func scoreOf(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
