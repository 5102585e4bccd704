package consensus

// Node runs a replica with three goroutines: the control goroutine drives the core, one writes to the disk, and one
// drives the state machine. Calls are passed to the control goroutine over channels and wait for its answer.

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
	// retryAfter is the retry delay that refusals advise to callers.
	retryAfter = 100 * time.Millisecond
	// inboxSize bounds the messages in the inbox; more are dropped, which the protocol tolerates.
	inboxSize = 8192
	// proposalsSize bounds the proposals that wait to be appended, and the reads that wait to be started; more are
	// refused.
	proposalsSize = 8192
	// closeTimeout is the longest time that Close waits for work in progress, in addition to the sync timeout.
	closeTimeout = 5 * time.Second

	stepPropose  = "propose"
	stepRead     = "read"
	stepChange   = "change-members"
	stepTransfer = "transfer"

	roleAside  = "aside"
	roleClosed = "closed"
)

// Node is a running replica. Its methods are safe for concurrent use.
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
	clock     atomic.Pointer[logClock]

	stop      chan struct{}
	stopped   chan struct{}
	ended     chan struct{}
	workers   sync.WaitGroup
	closeOnce sync.Once
}

// Open opens or creates the replica's folder and starts the replica. It returns an error for a folder of an unknown
// format, of another replica, or with corrupt files.
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
		stop: make(chan struct{}), stopped: make(chan struct{}), ended: make(chan struct{}),
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

// Propose appends a command to the log, waits until it is committed and applied, and returns the result of Apply. The
// error is an *outcome.Error. Its outcome is NotRun when the command will certainly not be applied, with a
// *NotLeaderError in its chain when this replica is not the leader. It is Unknown when the command may have been
// appended, and the leadership, the context or the replica ended before the answer.
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
		if p.withdraw() {
			return nil, refused(p.step, n.settings.ID, "timeout", "it was not appended in time")
		}
		return n.lastAnswer(p, "timeout")
	case <-n.stopped:
		if p.withdraw() {
			return nil, refused(p.step, n.settings.ID, roleClosed, "")
		}
		return n.lastAnswer(p, roleClosed)
	}
}

// lastAnswer returns the answer if it has arrived in the meantime, and an unknown outcome otherwise.
func (n *Node) lastAnswer(p *proposal, reason string) ([]byte, error) {
	select {
	case a := <-p.answer:
		return a.result, a.err
	default:
		return nil, unknown(p.step, n.settings.ID, reason)
	}
}

// ReadBarrier returns once this replica's state machine holds every command that any replica answered before the
// call, so that a read of the state machine afterwards is linearizable. It works on the leader only. The error is an
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

// Step passes a message from another replica to this one. It never blocks: when the inbox is full, the message is
// dropped.
func (n *Node) Step(m *wire.ReplicaMessage) {
	select {
	case n.inbox <- m:
	default:
	}
}

// Status returns the replica's own state and its view of the group.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.Commit, s.Applied = n.commit.Load(), n.applier.applied.Load()
	return s
}

// LogTimeMs returns the present log time, by which Entry.TimeMs is set, in milliseconds since 1970. The difference between the
// two is the age of an entry, whatever the wall clocks show. A replica that has not heard of a leader since it started does
// not know the log time and returns false.
func (n *Node) LogTimeMs() (timeMs int64, isKnown bool) {
	clock := n.clock.Load()
	if clock == nil {
		return 0, false
	}
	return (clock.time + time.Since(clock.at)).Milliseconds(), true
}

// AddLearner adds a replica that receives the log and has no vote. ID and incarnation must be set; the leader's
// Status lists those of the replicas that ask to join.
func (n *Node) AddLearner(ctx context.Context, member Member) error {
	return n.change(ctx, AddLearner, member)
}

// Promote makes a learner a voter. It is refused until the learner has caught up.
func (n *Node) Promote(ctx context.Context, member Member) error {
	return n.change(ctx, Promote, member)
}

// Remove removes a replica from the group. It is refused when too few of the remaining voters answer.
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

// TransferLeadership transfers leadership to the voter with the given ID, or with "" to the active voter with the
// longest log. It returns when this replica no longer leads.
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

// call passes a function to the control goroutine to be run. It returns false when the context or the replica ends
// first.
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

// Close stops the replica, after it transferred leadership if it leads others. Proposals that are appended and not
// applied yet end with the outcome Unknown. Close returns an error when a disk write does not finish in time; the
// folder then stays locked until the process ends.
func (n *Node) Close() error {
	var err error
	n.closeOnce.Do(func() {
		n.transferBeforeClose()
		close(n.stop)
		err = n.closeWhenIdle()
	})
	return err
}

// Ended returns a channel that is closed once Close was called and the last write has ended. Until then the folder is in use.
func (n *Node) Ended() <-chan struct{} { return n.ended }

func (n *Node) transferBeforeClose() {
	if s := n.Status(); s.Role != leader.String() || len(s.Members) == 1 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*n.settings.ElectionTimeout)
	defer cancel()
	_ = n.TransferLeadership(ctx, "")
}

// closeWhenIdle waits until the goroutines have ended, closes the files and unlocks the folder.
func (n *Node) closeWhenIdle() error {
	go func() {
		n.workers.Wait()
		n.storage.Close()
		n.unlock()
		close(n.ended)
	}()
	timer := time.NewTimer(closeTimeout + n.settings.SyncTimeout)
	defer timer.Stop()
	select {
	case <-n.ended:
		return nil
	case <-timer.C:
		return eris.Errorf("close replica %s: a disk write does not finish", n.settings.ID)
	}
}

// IsNotLeader reports whether an error was returned because the replica is not the leader. It returns the ID of the
// leader too, which is empty when none is known.
func IsNotLeader(err error) (string, bool) {
	var e *NotLeaderError
	if errors.As(err, &e) {
		return e.Leader, true
	}
	return "", false
}
