// The view is the numbered set of members. It keeps a bounded history of changes, so that a process that holds
// an earlier view receives only the difference.

package control

import (
	"maps"
	"slices"

	"guavahitch.example/guavahitch/wire"
)

// minHistoryChanges is the number of changes to which the history is trimmed when it exceeds twice that number.
// A process that is further behind gets a snapshot.
const minHistoryChanges = 4096

type (
	// View is the set of members under a number that grows with each change. It is not safe for concurrent use.
	// Control and relays each keep one.
	View struct {
		number  uint64
		members map[string]*wire.Member
		history []viewChange
		// historyStart is the number of the view at which the history begins.
		historyStart uint64
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

// Set adds or replaces a member. The member must not be modified afterwards.
func (v *View) Set(m *wire.Member) {
	v.members[m.Name] = m
	v.advance(m.Name)
}

// Remove removes a member.
func (v *View) Remove(name string) {
	delete(v.members, name)
	v.advance(name)
}

func (v *View) advance(name string) {
	v.number++
	v.appendHistory(name)
}

func (v *View) appendHistory(name string) {
	v.history = append(v.history, viewChange{v.number, name})
	if len(v.history) > 2*minHistoryChanges {
		dropped := len(v.history) - minHistoryChanges
		v.historyStart = v.history[dropped-1].number
		v.history = append([]viewChange(nil), v.history[dropped:]...)
	}
}

// Apply merges the members of a watch reply into the view. A reply with an older view changes nothing.
func (v *View) Apply(reply *wire.WatchReply) {
	if reply.View <= v.number && !(reply.Snapshot && reply.View == v.number) {
		return
	}
	if reply.Snapshot {
		*v = View{number: reply.View, historyStart: reply.View, members: make(map[string]*wire.Member)}
	}
	v.number = reply.View
	for _, m := range reply.Members {
		v.members[m.Name] = m
		if !reply.Snapshot {
			v.appendHistory(m.Name)
		}
	}
	for _, name := range reply.Left {
		delete(v.members, name)
		v.appendHistory(name)
	}
}

// Number returns the number of the view.
func (v *View) Number() uint64 { return v.number }

// Member returns a member by its name, or nil.
func (v *View) Member(name string) *wire.Member { return v.members[name] }

// Names returns the names of all members, sorted.
func (v *View) Names() []string { return slices.Sorted(maps.Keys(v.members)) }

// Fill adds to the reply the changes since the view number held. It adds a snapshot instead if held is 0 or newer
// than the view, or if the history does not reach back to it.
func (v *View) Fill(reply *wire.WatchReply, held uint64) {
	reply.View = v.number
	if held == v.number {
		return
	}
	if held == 0 || held > v.number || !v.historyCovers(held) {
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

// historyCovers reports whether the history reaches back to the given view.
func (v *View) historyCovers(held uint64) bool { return held >= v.historyStart }

// changedSince returns the names of the members that changed after the given view, sorted.
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
