package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/operator"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/peer"
	"guavahitch.example/guavahitch/ranks"
	"guavahitch.example/guavahitch/wire"
)

const (
	// logFolder and stateFolder are the subfolders of a control replica's folder.
	logFolder   = "log"
	stateFolder = "state"
	// stateCheckInterval is the time between two checks of the state's files for errors.
	stateCheckInterval = time.Second
	// logCheckInterval is the time between two checks of the replicated log for a fault.
	logCheckInterval = 250 * time.Millisecond
	// segmentTimeout bounds the read of one part of a sealed file from another replica.
	segmentTimeout = 10 * time.Second
)

// controlRole is one control replica: the replicated log, the state that its entries are applied to, and the server
// that offers both as wire.Control.
type controlRole struct {
	process  *Process
	state    *control.State
	log      *consensus.Restarter
	sender   *peer.Sender
	receiver *peer.Receiver
	server   *control.Server
	client   *http.Client
	scheme   string
	// operatorListener accepts the operators' connections; nil when the settings have no address for operators.
	operatorListener net.Listener
}

func (p *Process) addControl() error {
	r := &controlRole{process: p, scheme: p.scheme, client: p.client}
	if err := r.open(); err != nil {
		return err
	}
	p.control = r
	p.internal.add(wire.NewControlServer(r.server))
	p.internal.add(wire.NewSegmentsServer(control.Segments{State: r.state}))
	r.receiver = peer.NewReceiver(r.log.Step, limit.NewAccount(limit.Settings{}))
	p.internal.mux.Handle(peer.Path, r.receiver.Handler())
	p.add(control.NewReconciler(r.server, control.AskSidecar(r.sidecarAt)).Run)
	p.add(r.watchState)
	p.add(r.server.Run)
	r.addRankManager()
	p.add(r.keepLogOpen)
	return p.addOperatorServer()
}

func (r *controlRole) open() error {
	folder := r.process.settings.Control.Folder
	state, err := control.OpenState(control.StateSettings{Directory: filepath.Join(folder, stateFolder), Fetch: r.fetchSegment})
	if err != nil {
		return eris.Wrapf(err, "open the state in %s", folder)
	}
	r.state = state
	r.sender = peer.NewSender(peer.Settings{URL: r.url, Client: r.client})
	r.log = &consensus.Restarter{ID: r.process.settings.Name, Open: r.openNode}
	if _, err := r.log.Check(); err != nil {
		r.sender.Close()
		return eris.Wrapf(err, "open the replicated log in %s", folder)
	}
	r.server = control.NewServer(control.Settings{
		Name: r.process.settings.Name, State: state, Propose: r.log.Propose, ReadBarrier: r.log.ReadBarrier,
		Leader: r.leader, Check: inventory.Check, Retention: retentionOf,
	})
	return nil
}

// openNode opens the folder of the replicated log with an empty state, which the log restores.
func (r *controlRole) openNode() (*consensus.Node, error) {
	r.state.Reset()
	return consensus.Open(consensus.Settings{
		ID: r.process.settings.Name, Address: r.process.address(), Members: r.initialMembers(),
		Folder: filepath.Join(r.process.settings.Control.Folder, logFolder), IsAutoReplacing: true,
		Apply: func(e consensus.Entry) []byte {
			return r.state.Apply(control.Entry{Index: e.Index, Term: e.Term, TimeMs: e.TimeMs, Command: e.Command})
		},
		Snapshot: r.state.Snapshot, Restore: r.state.Restore, Send: r.sender.Send, OnStatusChange: r.onStatusChange,
	})
}

// addRankManager adds the manager of the groups' ranks, which is active while this replica leads.
func (r *controlRole) addRankManager() {
	p := r.process
	manager := ranks.NewManager(ranks.ManagerSettings{
		Replica: p.settings.Name, State: r.state, Server: r.server, Leading: r.leadership, Ranks: r.ranksOf,
		Rule: p.rebalancing.Rule, Costs: p.rebalancing.Costs, Events: p.events,
		OnError: func(err error) { p.log.WithError(err).Warn("managing the ranks of the groups failed") },
	})
	p.internal.add(wire.NewRanksServer(manager))
	p.add(manager.Run)
}

func (r *controlRole) leadership() (term uint64, leads bool) {
	status := r.log.Status()
	return status.Term, status.Leader == r.process.settings.Name
}

// ranksOf returns the Ranks client of an upstream's sidecar, or nil for an unknown upstream.
func (r *controlRole) ranksOf(upstream string) wire.Ranks {
	member, _ := r.state.Member(upstream)
	if member == nil {
		return nil
	}
	return wire.NewRanksProtobufClient(r.scheme+"://"+member.Address, r.client)
}

// initialMembers returns the replicas of the settings as the first members of the replicated log.
func (r *controlRole) initialMembers() []consensus.Member {
	var members []consensus.Member
	for _, replica := range r.process.settings.Replicas {
		members = append(members, consensus.Member{ID: replica.Name, Address: replica.Address, IsVoter: true})
	}
	return members
}

// addressOf returns the address of a replica from the settings or else from the log's membership. It is empty for an
// unknown replica.
func (r *controlRole) addressOf(id string) string {
	for _, replica := range r.process.settings.Replicas {
		if replica.Name == id {
			return replica.Address
		}
	}
	for _, member := range r.log.Status().Members {
		if member.ID == id {
			return member.Address
		}
	}
	return ""
}

func (r *controlRole) url(id string) string {
	address := r.addressOf(id)
	if address == "" {
		return ""
	}
	return r.scheme + "://" + address
}

func (r *controlRole) leader() (name, address string) {
	name = r.log.Status().Leader
	return name, r.addressOf(name)
}

func (r *controlRole) onStatusChange(status consensus.Status) {
	r.process.log.WithFields(logrus.Fields{
		"role": status.Role, "term": status.Term, "leader": status.Leader, "fault": status.Fault,
	}).Info("the status of the control replica changed")
	r.process.events.Add(&wire.Event{Kind: "replica-" + status.Role, Peer: status.Leader, Detail: status.Fault})
}

// retentionOf returns how long an inventory keeps answers, or zero when it can't be parsed.
func retentionOf(text []byte) time.Duration {
	parsed, err := inventory.Parse("inventory", text)
	if err != nil {
		return 0
	}
	return time.Duration(parsed.Rules.RetentionHours) * time.Hour
}

// fetchSegment returns a part of a sealed file, read from the first other replica that has it.
func (r *controlRole) fetchSegment(name string, offset int64) ([]byte, error) {
	var last error
	for _, replica := range r.process.settings.Replicas {
		if replica.Name == r.process.settings.Name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), segmentTimeout)
		client := wire.NewSegmentsProtobufClient(r.scheme+"://"+replica.Address, r.client)
		reply, err := client.Read(ctx, &wire.SegmentRequest{Name: name, Offset: offset})
		cancel()
		if err == nil && reply.Failure == nil {
			return reply.Data, nil
		}
		if err == nil {
			err = outcome.FromWire(reply.Failure)
		}
		last = eris.Wrapf(err, "read segment %s from %s", name, replica.Name)
	}
	if last == nil {
		last = eris.Errorf("segment %s: no other replica to read it from", name)
	}
	return nil, last
}

// sidecarAt returns the client of the sidecar at an address.
func (r *controlRole) sidecarAt(address string) wire.Sidecar {
	return wire.NewSidecarProtobufClient(r.scheme+"://"+address, r.client)
}

// watchState logs an error and records an event when the state's files can't be written or read.
func (r *controlRole) watchState(ctx context.Context) error {
	ticker := time.NewTicker(stateCheckInterval)
	defer ticker.Stop()
	isBroken := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		err := r.state.Err()
		if err != nil && !isBroken {
			r.process.log.WithError(err).Error("the state's files can't be read or written; replace the replica's disk")
			r.process.events.Add(&wire.Event{Kind: "state-broken", Detail: err.Error()})
		}
		isBroken = err != nil
	}
}

// keepLogOpen opens the replicated log again after a fault, for example of its disk. When the context ends, it closes the log, which
// transfers leadership first, and the connections to other replicas.
func (r *controlRole) keepLogOpen(ctx context.Context) error {
	ticker := time.NewTicker(logCheckInterval)
	defer ticker.Stop()
	isFailing := false
	for {
		select {
		case <-ctx.Done():
			r.close()
			return nil
		case <-ticker.C:
		}
		_, err := r.log.Check()
		if err != nil && !isFailing {
			r.process.log.WithError(err).Error("the replicated log can't be opened again; it is tried until that succeeds")
		}
		isFailing = err != nil
	}
}

func (r *controlRole) close() {
	if err := r.log.Close(); err != nil {
		r.process.log.WithError(err).Error("closing the replicated log failed")
	}
	r.sender.Close()
	r.receiver.Close()
}

// ControlServer returns the server of the control role. The process must have that role.
func (p *Process) ControlServer() *control.Server { return p.control.server }

// ControlState returns the state of the control role. The process must have that role.
func (p *Process) ControlState() *control.State { return p.control.state }

// addOperatorServer adds the server for operators when the settings have an address for it.
func (p *Process) addOperatorServer() error {
	c := p.settings.Control
	if c.Operators == "" {
		return nil
	}
	listener, err := net.Listen("tcp", c.Operators)
	if err != nil {
		return outcome.Error{Step: "listen", Peer: c.Operators, Outcome: outcome.NotRun, Reason: "address"}.WithCause(err)
	}
	server := operator.NewServer(operator.Settings{
		Token: func() (string, error) { return readToken(c.TokenFile) }, Leader: p.leader,
		Inventory: p.control.state.Revision, Members: p.control.members,
		Events: func(address string) wire.Events {
			return wire.NewEventsProtobufClient(p.control.scheme+"://"+address, p.control.client)
		},
	})
	p.control.operatorListener = listener
	secured := listener
	if p.keys != nil {
		secured = p.keys.OperatorListener(listener)
	}
	p.group.Add(func() error { return server.Serve(secured) }, func(error) { _ = server.Close() })
	return nil
}

// readToken returns the operators' token. It reads the file on each call, so that a changed token is used at once.
func readToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	return strings.TrimSpace(string(text)), eris.Wrapf(err, "token file %s", file)
}

// members returns all processes that keep events, which are the members and the control replicas.
func (r *controlRole) members() []*wire.Member {
	reply := &wire.WatchReply{}
	r.state.Fill(reply, &wire.WatchRequest{})
	members := reply.Members
	for _, replica := range r.process.settings.Replicas {
		isMember := slices.ContainsFunc(members, func(m *wire.Member) bool { return m.Name == replica.Name })
		if !isMember {
			members = append(members, &wire.Member{Name: replica.Name, Role: "control", Address: replica.Address})
		}
	}
	return members
}

// OperatorsAddress returns the address at which operators are served. The settings must have one.
func (p *Process) OperatorsAddress() string { return p.control.operatorListener.Addr().String() }
