package consensus

// The goroutine that drives the state machine: it applies committed entries in order and answers their proposers,
// completes read barriers, and takes and restores snapshots.

import (
	"sync/atomic"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wire"
)

type (
	applier struct {
		settings Settings
		storage  *Storage
		items    *queue[applyItem]
		applied  atomic.Uint64
		taken    chan takenSnapshot
		failed   chan error
	}

	// applyItem is one unit of work for the applier; exactly one field is set.
	applyItem struct {
		committed  []committed
		read       *readCall
		isRestore  bool
		isSnapshot bool
	}

	// committed is a committed entry and the proposal on this replica that waits for it, if any.
	committed struct {
		entry    *wire.LogEntry
		proposal *proposal
	}

	// takenSnapshot is the encoded state after the entry at index was applied.
	takenSnapshot struct {
		index uint64
		state []byte
	}
)

func newApplier(settings Settings, storage *Storage) *applier {
	return &applier{
		settings: settings, storage: storage, items: newQueue[applyItem](),
		taken: make(chan takenSnapshot, 1), failed: make(chan error, 1),
	}
}

func (a *applier) run(stop <-chan struct{}) {
	isFailed := false
	for {
		select {
		case <-stop:
			failItems(a.settings.ID, a.items.takeAll())
			return
		case <-a.items.signal:
		}
		items := a.items.takeAll()
		for len(items) > 0 && !isFailed {
			if err := a.doWithRecover(items[0]); err != nil {
				a.failed <- err
				isFailed = true
				break
			}
			items = items[1:]
		}
		failItems(a.settings.ID, items)
	}
}

// doWithRecover handles one item and converts a panic of the state machine into an error, so that the replica steps
// aside and the rest of the process keeps running.
func (a *applier) doWithRecover(item applyItem) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("panic: %v", cause)
		}
	}()
	return a.do(item)
}

func (a *applier) do(item applyItem) error {
	switch {
	case item.read != nil:
		item.read.answer <- nil
	case item.isRestore:
		return a.restore()
	case item.isSnapshot:
		a.taken <- takenSnapshot{index: a.applied.Load(), state: a.settings.Snapshot()}
	default:
		for i, c := range item.committed {
			a.apply(c)
			item.committed[i].proposal = nil
		}
	}
	return nil
}

func (a *applier) apply(c committed) {
	var result []byte
	if c.entry.Kind == wire.EntryKind_ENTRY_KIND_COMMAND {
		result = a.settings.Apply(Entry{
			Index: c.entry.Index, Term: c.entry.Term, Command: c.entry.Data, TimeMs: c.entry.TimeMs,
		})
	}
	a.applied.Store(c.entry.Index)
	if c.proposal == nil {
		return
	}
	if c.proposal.term != c.entry.Term {
		c.proposal.fail(refused(c.proposal.step, a.settings.ID, "replaced", "another entry was committed in its place"))
		return
	}
	c.proposal.succeed(result)
}

// restore loads the stored snapshot into the state machine.
func (a *applier) restore() error {
	state, err := a.storage.State()
	if err != nil {
		return err
	}
	if err := a.settings.Restore(state); err != nil {
		return err
	}
	a.applied.Store(a.storage.info().Index)
	return nil
}

// failItems answers the callers that wait for items that will not be handled any more.
func failItems(id string, items []applyItem) {
	for _, item := range items {
		if item.read != nil {
			item.read.answer <- refused(stepRead, id, "stopped", "")
		}
		for _, c := range item.committed {
			if c.proposal != nil {
				c.proposal.fail(unknown(c.proposal.step, id, "stopped"))
			}
		}
	}
}
