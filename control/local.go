// An in-memory control plane with one replica, for the `dev` command and for tests of other packages.

package control

import (
	"context"
	"sync"
	"time"
)

// LocalLog is a log with one replica. It applies a proposal at once.
type LocalLog struct {
	mutex sync.Mutex
	state *State
	index uint64
}

// NewLocalLog returns a log with one replica over the state.
func NewLocalLog(state *State) *LocalLog { return &LocalLog{state: state} }

// Propose applies the command and returns its result.
func (l *LocalLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.index++
	return l.state.Apply(Entry{Index: l.index, Term: 1, TimeMs: time.Now().UnixMilli(), Command: command}), nil
}

// NewLocalServer returns a server over an in-memory log with one replica.
func NewLocalServer(name string, check func([]byte) error) *Server {
	state := NewState()
	return NewServer(Settings{
		Name: name, State: state, Propose: NewLocalLog(state).Propose, Check: check,
		ReadBarrier: func(context.Context) error { return nil },
		Leader:      func() (string, string) { return name, "" },
	})
}
