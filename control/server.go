// The server of wire.Control. It validates a request, proposes a command to the replicated log and answers with
// the result of the state machine. Only the leader answers. Any other replica refuses and names the leader.

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
	// MaxInventoryBytes is the size limit of an inventory.
	MaxInventoryBytes = 8 << 20
	// MaxAnswerBytes is the size limit of an answer that is stored for resends.
	MaxAnswerBytes = 4 << 20
	// MaxKeyBytes is the length limit of an idempotency key, a change id and a name.
	MaxKeyBytes = 255
	// MaxWait limits how long a claim waits for the end of a running call.
	MaxWait = 30 * time.Second
	// TickInterval is the time between two checks of the leases.
	TickInterval = 50 * time.Millisecond
	// ProposeTimeout bounds the wait for one proposal and for one read barrier.
	ProposeTimeout = 5 * time.Second
)

type (
	// Settings connect a Server to its state and its replicated log.
	Settings struct {
		// Name is the name of this replica.
		Name string
		// State is this replica's state, to which the entries of the log are applied.
		State *State
		// Propose adds a command to the replicated log and returns the result of its application.
		Propose func(ctx context.Context, command []byte) ([]byte, error)
		// ReadBarrier returns once this replica is proved to lead and has applied every committed entry.
		ReadBarrier func(ctx context.Context) error
		// Leader returns the name and address of the leader. Both are empty if no leader is known.
		Leader func() (name, address string)
		// Check validates an inventory. If it is nil, every inventory is valid.
		Check func(inventory []byte) error
		// Retention returns how long answers are kept under an inventory. If it is nil, the retention does not
		// change.
		Retention func(inventory []byte) time.Duration
	}

	// Server serves wire.Control.
	Server struct {
		settings Settings
		wake     chan struct{}

		mutex sync.Mutex
		// table holds the leases that this replica granted in the term tableTerm.
		table     *lease.Table
		tableTerm uint64
		loads     map[string]*wire.Load
		// relayed holds the names of the processes that follow each relay.
		relayed map[string][]string
		traffic *traffic
	}
)

// NewServer returns a server. Run must be called so that leases expire.
func NewServer(settings Settings) *Server {
	return &Server{
		settings: settings,
		wake:     make(chan struct{}, 1),
		table:    lease.NewTable(),
		loads:    make(map[string]*wire.Load),
		relayed:  make(map[string][]string),
		traffic:  newTraffic(),
	}
}

// isLeader reports whether this replica leads, and returns the address of the leader. Another replica may have
// taken over unnoticed.
func (s *Server) isLeader() (bool, string) {
	name, address := s.settings.Leader()
	return name == s.settings.Name, address
}

// propose adds a command to the log and returns the result of the state machine.
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

// Submit proposes a new revision of the inventory.
func (s *Server) Submit(ctx context.Context, request *wire.SubmitRequest) (*wire.ChangeStatus, error) {
	leads, leader := s.isLeader()
	if !leads {
		return &wire.ChangeStatus{ChangeId: request.ChangeId, Failure: notLeader("submit"), Leader: leader}, nil
	}
	if failure := s.checkSubmit(request); failure != nil {
		return &wire.ChangeStatus{
			ChangeId: request.ChangeId, State: StateRefused, Reason: failure.Reason, Failure: failure,
		}, nil
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
		return &wire.ChangeStatus{
			ChangeId: request.ChangeId, State: StateRefused, Reason: result.Failure.Reason, Failure: result.Failure,
		}, nil
	}
	s.wakeRun()
	return s.withWaiting(result.Change), nil
}

// checkSubmit validates a submission by its content alone, so that a resend gets the same refusal.
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
		return refusal(
			step, ReasonInvalid, fmt.Sprintf("%s has %d bytes; 1 to %d are allowed", field, len(name), MaxKeyBytes),
		)
	}
	return nil
}

// Change returns the status of a change by its id.
func (s *Server) Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeStatus, error) {
	leader, failure := s.barrier(ctx, "change")
	if failure != nil {
		return &wire.ChangeStatus{ChangeId: request.ChangeId, Failure: failure, Leader: leader}, nil
	}
	return s.withWaiting(s.settings.State.Change(request.ChangeId)), nil
}

// withWaiting adds to the status of an accepted change the processes that may still hold an older revision.
func (s *Server) withWaiting(status *wire.ChangeStatus) *wire.ChangeStatus {
	if status.State != StateAccepted {
		return status
	}
	status = proto.CloneOf(status)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status.Waiting = s.table.HoldersBelow(status.Revision, time.Now())
	return status
}

// barrier returns once this replica's state may be read. Otherwise it returns a refusal and the leader's
// address.
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

// ReportDeath records which requests an engine was running when it died.
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

// Clear releases a suspected fingerprint whose request ran alone to completion.
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

// Record stores a decision of another component of control.
func (s *Server) Record(ctx context.Context, record *wire.Record) error {
	_, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Record{Record: record}})
	return err
}

// Quarantine adds a fingerprint to the quarantine or removes it.
func (s *Server) Quarantine(ctx context.Context, update *wire.QuarantineUpdate) error {
	_, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Quarantine{Quarantine: update}})
	return err
}

// Order issues an order to an upstream and returns it with its fencing token. A repeated order id returns the
// same order, or only its token once it is settled.
func (s *Server) Order(ctx context.Context, command *wire.OrderCommand) (*wire.Result, error) {
	return s.propose(ctx, &wire.Command{Body: &wire.Command_Order{Order: command}})
}

// OrderSettled records that an upstream carried out or refused an order.
func (s *Server) OrderSettled(ctx context.Context, done *wire.OrderSettled) error {
	_, err := s.propose(ctx, &wire.Command{Body: &wire.Command_OrderSettled{OrderSettled: done}})
	return err
}

// State returns the state from which the server answers.
func (s *Server) State() *State { return s.settings.State }
