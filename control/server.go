// The server of wire.Control. It checks a message, proposes the command to the replicated log and answers
// with the state machine's result. Only the leader answers; any other replica names it.

package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/wire"
)

const (
	// MaxInventoryBytes is the largest inventory that is accepted.
	MaxInventoryBytes = 8 << 20
	// MaxAnswerBytes is the largest answer that is stored for a resend.
	MaxAnswerBytes = 4 << 20
	// MaxKeyBytes is the longest idempotency key, change id or name.
	MaxKeyBytes = 255
	// MaxWait is the longest time that a call waits for news.
	MaxWait = 30 * time.Second
	// TickInterval is the time between two looks at the leases.
	TickInterval = 50 * time.Millisecond
	// ProposeTimeout bounds the wait for one proposal.
	ProposeTimeout = 5 * time.Second
)

type (
	// Settings are the seams of a Server.
	Settings struct {
		// Name is the replica's own name.
		Name string
		// State is the state that the log's entries are applied to on this replica.
		State *State
		// Propose puts a command into the replicated log and returns the result of its application.
		Propose func(ctx context.Context, command []byte) ([]byte, error)
		// ReadBarrier returns once this replica is known to lead and has applied all that was committed.
		ReadBarrier func(ctx context.Context) error
		// Leader returns the name and address of the leader, empty when none is known.
		Leader func() (name, address string)
		// Check returns the problems of an inventory, or nil.
		Check func(inventory []byte) error
		// Retention returns how long answers are kept under an inventory; nil leaves it as it is.
		Retention func(inventory []byte) time.Duration
	}

	// Server serves wire.Control.
	Server struct {
		settings Settings
		wake     chan struct{}

		mutex sync.Mutex
		// table holds the leases that this replica granted in term tableTerm.
		table     *lease.Table
		tableTerm uint64
		loads     map[string]*wire.Load
		// under holds the processes under each relay.
		under   map[string][]string
		traffic *traffic
	}
)

// NewServer returns a server. Run must be called for leases to run out.
func NewServer(settings Settings) *Server {
	return &Server{
		settings: settings,
		wake:     make(chan struct{}, 1),
		table:    lease.NewTable(),
		loads:    make(map[string]*wire.Load),
		under:    make(map[string][]string),
		traffic:  newTraffic(),
	}
}

// isLeader reports whether this replica leads as far as it knows, and the leader's address.
func (s *Server) isLeader() (bool, string) {
	name, address := s.settings.Leader()
	return name == s.settings.Name, address
}

// propose puts a command into the log and returns the state machine's result.
func (s *Server) propose(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	command.Replica = s.settings.Name
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	applied, err := s.settings.Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	result := &wire.Result{}
	return result, proto.Unmarshal(applied, result)
}

// Submit proposes a revision of the inventory.
func (s *Server) Submit(ctx context.Context, request *wire.SubmitRequest) (*wire.ChangeStatus, error) {
	leads, leader := s.isLeader()
	if !leads {
		return &wire.ChangeStatus{ChangeId: request.ChangeId, Failure: notLeader("submit"), Leader: leader}, nil
	}
	if failure := s.checkSubmit(request); failure != nil {
		return &wire.ChangeStatus{ChangeId: request.ChangeId, State: StateRefused, Reason: failure.Reason, Failure: failure}, nil
	}
	command := &wire.Command{Body: &wire.Command_Submit{Submit: request}}
	if s.settings.Retention != nil {
		command.RetentionMs = s.settings.Retention(request.Inventory).Milliseconds()
	}
	result, err := s.propose(ctx, command)
	if err != nil {
		return &wire.ChangeStatus{ChangeId: request.ChangeId, State: StateUnknown, Failure: unsettled("submit", err)}, nil
	}
	if result.Failure != nil {
		return &wire.ChangeStatus{ChangeId: request.ChangeId, State: StateRefused, Reason: result.Failure.Reason, Failure: result.Failure}, nil
	}
	s.poke()
	return s.withWaiting(result.Change), nil
}

// checkSubmit refuses what depends on the message alone, so that a resend is refused alike.
func (s *Server) checkSubmit(request *wire.SubmitRequest) *wire.Failure {
	if failure := checkName("submit", "change_id", request.ChangeId); failure != nil {
		return failure
	}
	if len(request.Inventory) > MaxInventoryBytes {
		detail := fmt.Sprintf("the inventory has %d bytes; at most %d are allowed", len(request.Inventory), MaxInventoryBytes)
		return refusal("submit", ReasonOversized, detail)
	}
	if len(request.Inventory) == 0 {
		return refusal("submit", ReasonInvalid, "the inventory is empty")
	}
	if s.settings.Check == nil {
		return nil
	}
	if err := s.settings.Check(request.Inventory); err != nil {
		return refusal("submit", ReasonInvalid, err.Error())
	}
	return nil
}

func checkName(step, field, name string) *wire.Failure {
	if name == "" || len(name) > MaxKeyBytes {
		return refusal(step, ReasonInvalid, fmt.Sprintf("%s has %d bytes; 1 to %d are allowed", field, len(name), MaxKeyBytes))
	}
	return nil
}

// Change tells the status of a change by its id.
func (s *Server) Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeStatus, error) {
	leader, failure := s.barrier(ctx, "change")
	if failure != nil {
		return &wire.ChangeStatus{ChangeId: request.ChangeId, Failure: failure, Leader: leader}, nil
	}
	return s.withWaiting(s.settings.State.Change(request.ChangeId)), nil
}

// withWaiting adds the processes that may hold an older revision still.
func (s *Server) withWaiting(status *wire.ChangeStatus) *wire.ChangeStatus {
	if status.State != StateAccepted {
		return status
	}
	status = proto.CloneOf(status)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status.Waiting = s.table.Waiting(status.Revision, time.Now())
	return status
}

// barrier returns once this replica's state may be read, or the refusal and the leader's address.
func (s *Server) barrier(ctx context.Context, step string) (string, *wire.Failure) {
	leads, leader := s.isLeader()
	if !leads {
		return leader, notLeader(step)
	}
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	if err := s.settings.ReadBarrier(ctx); err != nil {
		return "", notLeader(step)
	}
	return "", nil
}

// ReportDeath notes which requests an engine was running when it died.
func (s *Server) ReportDeath(ctx context.Context, report *wire.DeathReport) (*wire.DeathReply, error) {
	leads, leader := s.isLeader()
	if !leads {
		return &wire.DeathReply{Failure: notLeader("death"), Leader: leader}, nil
	}
	result, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Death{Death: report}})
	if err != nil {
		return &wire.DeathReply{Failure: unsettled("death", err)}, nil
	}
	return &wire.DeathReply{Failure: result.Failure}, nil
}

// Clear frees a suspect that ran alone to its end.
func (s *Server) Clear(ctx context.Context, request *wire.ClearRequest) (*wire.ClearReply, error) {
	leads, leader := s.isLeader()
	if !leads {
		return &wire.ClearReply{Failure: notLeader("clear"), Leader: leader}, nil
	}
	result, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Clear{Clear: request}})
	if err != nil {
		return &wire.ClearReply{Failure: unsettled("clear", err)}, nil
	}
	return &wire.ClearReply{Failure: result.Failure}, nil
}

// Records returns the durable records of decisions.
func (s *Server) Records(ctx context.Context, request *wire.RecordsRequest) (*wire.RecordsReply, error) {
	leader, failure := s.barrier(ctx, "records")
	if failure != nil {
		return &wire.RecordsReply{Failure: failure, Leader: leader}, nil
	}
	return s.settings.State.Records(request), nil
}

// Record stores a decision of another part of control.
func (s *Server) Record(ctx context.Context, record *wire.Record) error {
	_, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Record{Record: record}})
	return err
}

// Quarantine stores a verdict on a fingerprint.
func (s *Server) Quarantine(ctx context.Context, update *wire.QuarantineUpdate) error {
	_, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Quarantine{Quarantine: update}})
	return err
}

// Order issues an order to an upstream and returns it with its fencing token. The same order id gets the
// same order.
func (s *Server) Order(ctx context.Context, command *wire.OrderCommand) (*wire.Result, error) {
	return s.propose(ctx, &wire.Command{Body: &wire.Command_Order{Order: command}})
}

// OrderSettled notes the end of an order.
func (s *Server) OrderSettled(ctx context.Context, done *wire.OrderSettled) error {
	_, err := s.propose(ctx, &wire.Command{Body: &wire.Command_OrderSettled{OrderSettled: done}})
	return err
}

// State returns the state that the server answers from.
func (s *Server) State() *State { return s.settings.State }
