package consensus

// Node is a replica that a program embeds: one goroutine drives the core, one the disk, one the state
// machine. Calls reach the control goroutine over channels and wait for its answer.

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/journal"
	"guavahitch.example/guavahitch/wire"
)

const (
	retryAfter = 100 * time.Millisecond
	// inboxSize is the most messages that wait; more are dropped, which the protocol stands.
	inboxSize = 8192
	// proposalsSize is the most proposals that wait to be appended; more are refused.
	proposalsSize = 8192
	// closePatience is the longest wait, beside a slow sync, for work in progress when the replica stops.
	closePatience = 5 * time.Second

	stepPropose  = "propose"
	stepRead     = "read"
	stepChange   = "change-members"
	stepTransfer = "transfer"

	roleAside  = "aside"
	roleClosed = "closed"
)

// Node is one running replica. Its methods are safe for concurrent use.
type Node struct {
	settings Settings
	storage  *Storage
	unlock   func()
	disk     *diskWriter
	applier  *applier

	inbox     chan *wire.ReplicaMessage
	proposals chan *proposal
	reads     chan *readCall
	calls     chan func(*driver)
	status    atomic.Pointer[Status]
	commit    atomic.Uint64

	stop      chan struct{}
	stopped   chan struct{}
	workers   sync.WaitGroup
	closeOnce sync.Once
}

// Open opens or makes the replica's folder and starts the replica. A folder of an unknown format, of another
// replica, or with corrupt files is refused.
func Open(settings Settings) (*Node, error) {
	settings = settings.withDefaults()
	if err := settings.check(); err != nil {
		return nil, err
	}
	unlock := func() {}
	if settings.Disk == nil {
		disk, err := journal.NewDisk(settings.Folder)
		if err != nil {
			return nil, err
		}
		if unlock, err = journal.Lock(settings.Folder); err != nil {
			return nil, err
		}
		settings.Disk = disk
	}
	n, err := open(settings, unlock)
	if err != nil {
		unlock()
	}
	return n, err
}

func open(settings Settings, unlock func()) (*Node, error) {
	storage, recovered, err := OpenStorage(settings.Disk, StorageSettings{
		ID: settings.ID, Incarnation: settings.Incarnation,
	})
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: settings, storage: storage, unlock: unlock,
		disk: newDiskWriter(storage), applier: newApplier(settings, storage),
		inbox: make(chan *wire.ReplicaMessage, inboxSize), proposals: make(chan *proposal, proposalsSize),
		reads: make(chan *readCall, proposalsSize), calls: make(chan func(*driver)),
		stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	if recovered.Snapshot.Index > 0 {
		if err := n.applier.restore(); err != nil {
			storage.Close()
			return nil, err
		}
	}
	n.start(NewCore(time.Now(), settings.core(), recovered))
	return n, nil
}

func (n *Node) start(core *Core) {
	d := newDriver(n, core)
	d.publish()
	n.workers.Go(func() { n.disk.run(n.stopped) })
	n.workers.Go(func() { n.applier.run(n.stopped) })
	n.workers.Go(func() {
		defer close(n.stopped)
		d.run()
	})
}

// Propose appends a command to the log and returns the result of its application. The error is an
// *outcome.Error: NotRun when the command is certain not to be applied, with a *NotLeaderError in its chain
// when another replica leads; Unknown when leadership or the caller's patience ended before the answer.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, refused(stepPropose, n.settings.ID, "too-large", "the command is over the limit")
	}
	p := newProposal(stepPropose, command)
	select {
	case n.proposals <- p:
	case <-n.stopped:
		return nil, refused(stepPropose, n.settings.ID, roleClosed, "")
	default:
		return nil, refused(stepPropose, n.settings.ID, "overloaded", "too many proposals wait")
	}
	return n.await(ctx, p)
}

func (n *Node) await(ctx context.Context, p *proposal) ([]byte, error) {
	select {
	case a := <-p.answer:
		return a.result, a.err
	case <-ctx.Done():
		if p.drop() {
			return nil, refused(p.step, n.settings.ID, "timeout", "it was not appended in time")
		}
		return n.lastAnswer(p, "timeout")
	case <-n.stopped:
		if p.drop() {
			return nil, refused(p.step, n.settings.ID, roleClosed, "")
		}
		return n.lastAnswer(p, roleClosed)
	}
}

// lastAnswer returns the answer that may have come meanwhile.
func (n *Node) lastAnswer(p *proposal, reason string) ([]byte, error) {
	select {
	case a := <-p.answer:
		return a.result, a.err
	default:
		return nil, unknown(p.step, n.settings.ID, reason)
	}
}

// ReadBarrier returns once the state machine holds every command that was answered anywhere before the
// call, so that a read of it afterwards is linearizable. Only the leader can tell; the error is an
// *outcome.Error, with a *NotLeaderError in its chain on other replicas.
func (n *Node) ReadBarrier(ctx context.Context) error {
	r := &readCall{answer: make(chan error, 1)}
	select {
	case n.reads <- r:
	case <-n.stopped:
		return refused(stepRead, n.settings.ID, roleClosed, "")
	default:
		return refused(stepRead, n.settings.ID, "overloaded", "too many reads wait")
	}
	select {
	case err := <-r.answer:
		return err
	case <-ctx.Done():
		return refused(stepRead, n.settings.ID, "timeout", "")
	case <-n.stopped:
		return refused(stepRead, n.settings.ID, roleClosed, "")
	}
}

// Step takes a message from another replica. It never blocks: when too many wait, the message is dropped.
func (n *Node) Step(m *wire.ReplicaMessage) {
	select {
	case n.inbox <- m:
	default:
	}
}

// Status returns what the replica knows of itself and its group.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.Commit, s.Applied = n.commit.Load(), n.applier.applied.Load()
	return s
}

// AddLearner adds a replica that receives the log and does not vote. ID and incarnation must be set; those
// of replicas that ask to join are in the leader's Status.
func (n *Node) AddLearner(ctx context.Context, member Member) error {
	return n.change(ctx, AddLearner, member)
}

// Promote gives a learner a vote; it is refused until the learner has caught up.
func (n *Node) Promote(ctx context.Context, member Member) error {
	return n.change(ctx, Promote, member)
}

// Remove takes a replica out of the group; it is refused when too few of the others answer.
func (n *Node) Remove(ctx context.Context, member Member) error {
	return n.change(ctx, Remove, member)
}

func (n *Node) change(ctx context.Context, kind ChangeKind, member Member) error {
	p := newProposal(stepChange, nil)
	if !n.call(ctx, func(d *driver) { d.change(p, kind, member) }) {
		return refused(stepChange, n.settings.ID, "timeout", "")
	}
	_, err := n.await(ctx, p)
	return err
}

// TransferLeadership makes the named voter the leader, or the most advanced one for "". It returns when this
// replica no longer leads.
func (n *Node) TransferLeadership(ctx context.Context, id string) error {
	done := make(chan error, 1)
	if !n.call(ctx, func(d *driver) { d.transfer(id, done) }) {
		return refused(stepTransfer, n.settings.ID, "timeout", "")
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return unknown(stepTransfer, n.settings.ID, "timeout")
	case <-n.stopped:
		return nil
	}
}

// call runs a function on the control goroutine, and reports false when it does not get there.
func (n *Node) call(ctx context.Context, f func(*driver)) bool {
	select {
	case n.calls <- f:
		return true
	case <-ctx.Done():
		return false
	case <-n.stopped:
		return false
	}
}

// Close hands leadership over, if this replica leads others, and stops it. Calls that still wait end with
// the outcome Unknown. It returns an error when the disk does not come back from a write in time; the
// folder then stays locked until the process ends.
func (n *Node) Close() error {
	var err error
	n.closeOnce.Do(func() {
		n.handOver()
		close(n.stop)
		err = n.release()
	})
	return err
}

func (n *Node) handOver() {
	if s := n.Status(); s.Role != leader.String() || len(s.Members) == 1 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*n.settings.ElectionTimeout)
	defer cancel()
	_ = n.TransferLeadership(ctx, "")
}

// release closes the files once nothing works on them any more.
func (n *Node) release() error {
	idle := make(chan struct{})
	go func() {
		n.workers.Wait()
		n.storage.Close()
		n.unlock()
		close(idle)
	}()
	timer := time.NewTimer(closePatience + n.settings.SlowSync)
	defer timer.Stop()
	select {
	case <-idle:
		return nil
	case <-timer.C:
		return eris.Errorf("close replica %s: the disk does not come back from a write", n.settings.ID)
	}
}

// IsNotLeader returns the leader that an error names, and whether it says that another replica leads.
func IsNotLeader(err error) (string, bool) {
	var e *NotLeaderError
	if errors.As(err, &e) {
		return e.Leader, true
	}
	return "", false
}
