// A control of one replica in memory, for `dev` and for tests of other packages.

package control

import (
	"context"
	"sync"
	"time"
)

// Local is a replicated log of one replica: a proposal is applied at once.
type Local struct {
	mutex sync.Mutex
	state *State
	index uint64
}

// NewLocal returns a log of one replica over the state.
func NewLocal(state *State) *Local { return &Local{state: state} }

// Propose applies the command and returns its result.
func (l *Local) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.index++
	return l.state.Apply(Entry{Index: l.index, Term: 1, TimeMs: time.Now().UnixMilli(), Command: command}), nil
}

// NewLocalServer returns a server over a log of one replica.
func NewLocalServer(name string, check func([]byte) error) *Server {
	state := NewState()
	return NewServer(Settings{
		Name: name, State: state, Propose: NewLocal(state).Propose, Check: check,
		ReadBarrier: func(context.Context) error { return nil },
		Leader:      func() (string, string) { return name, "" },
	})
}
