// The view of members, numbered, with a bounded history so that a process that holds an earlier view is
// sent the difference only.

package control

import (
	"maps"
	"slices"

	"guavahitch.example/guavahitch/wire"
)

// historyLimit is the number of changes that a view remembers; a process further behind gets a snapshot.
const historyLimit = 4096

type (
	// View is the set of members under a number that grows with each change. It is used by one goroutine
	// at a time. Relays keep one as control does.
	View struct {
		number  uint64
		members map[string]*wire.Member
		history []viewChange
		// base is the number of the view at which the history begins.
		base uint64
	}

	viewChange struct {
		number uint64
		name   string
	}
)

// NewView returns an empty view.
func NewView() *View {
	return &View{members: make(map[string]*wire.Member)}
}

// Set enters or replaces a member, which must not be changed afterwards.
func (v *View) Set(m *wire.Member) {
	v.members[m.Name] = m
	v.note(m.Name)
}

// Remove takes a member out.
func (v *View) Remove(name string) {
	delete(v.members, name)
	v.note(name)
}

func (v *View) note(name string) {
	v.number++
	v.keep(name)
}

func (v *View) keep(name string) {
	v.history = append(v.history, viewChange{v.number, name})
	if len(v.history) > 2*historyLimit {
		dropped := len(v.history) - historyLimit
		v.base = v.history[dropped-1].number
		v.history = append([]viewChange(nil), v.history[dropped:]...)
	}
}

// Follow takes over the reply of a process that keeps a view itself. Replies of older views change nothing.
func (v *View) Follow(reply *wire.WatchReply) {
	if reply.View <= v.number && !(reply.Snapshot && reply.View == v.number) {
		return
	}
	if reply.Snapshot {
		*v = View{number: reply.View, base: reply.View, members: make(map[string]*wire.Member)}
	}
	v.number = reply.View
	for _, m := range reply.Members {
		v.members[m.Name] = m
		if !reply.Snapshot {
			v.keep(m.Name)
		}
	}
	for _, name := range reply.Left {
		delete(v.members, name)
		v.keep(name)
	}
}

// Number returns the number of the view.
func (v *View) Number() uint64 { return v.number }

// Member returns a member by its name, or nil.
func (v *View) Member(name string) *wire.Member { return v.members[name] }

// Names returns the names of all members, sorted.
func (v *View) Names() []string { return slices.Sorted(maps.Keys(v.members)) }

// Fill puts into the reply what a process that holds the given view lacks.
func (v *View) Fill(reply *wire.WatchReply, held uint64) {
	reply.View = v.number
	if held == v.number {
		return
	}
	if held == 0 || held > v.number || !v.remembers(held) {
		reply.Snapshot = true
		for _, name := range v.Names() {
			reply.Members = append(reply.Members, v.members[name])
		}
		return
	}
	for _, name := range v.changedSince(held) {
		if m := v.members[name]; m != nil {
			reply.Members = append(reply.Members, m)
		} else {
			reply.Left = append(reply.Left, name)
		}
	}
}

// remembers reports whether the history reaches back to the given view.
func (v *View) remembers(held uint64) bool { return held >= v.base }

func (v *View) changedSince(held uint64) []string {
	first, _ := slices.BinarySearchFunc(v.history, held+1, func(c viewChange, number uint64) int {
		return int(c.number) - int(number)
	})
	names := make(map[string]bool)
	for _, c := range v.history[first:] {
		names[c.name] = true
	}
	return slices.Sorted(maps.Keys(names))
}
