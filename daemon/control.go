package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/operator"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/peer"
	"guavahitch.example/guavahitch/ranks"
	"guavahitch.example/guavahitch/wire"
)

const (
	// logFolder and stateFolder are the parts of a control replica's folder.
	logFolder   = "log"
	stateFolder = "state"
	// stateInterval is the time between two looks at the state's files.
	stateInterval = time.Second
	// segmentTimeout bounds the reading of one part of a sealed file from another replica.
	segmentTimeout = 10 * time.Second
)

// controlRole is one replica of control: the replicated log, the state that it is applied to, and the server
// of wire.Control over both.
type controlRole struct {
	process  *Process
	state    *control.State
	node     *consensus.Node
	sender   *peer.Sender
	receiver *peer.Receiver
	server   *control.Server
	client   *http.Client
	scheme   string
	closed   sync.Once
	// operators is where operators are served, nil for nowhere.
	operators net.Listener
}

func (p *Process) addControl() error {
	r := &controlRole{process: p, scheme: p.scheme, client: p.client}
	if err := r.open(); err != nil {
		return err
	}
	p.control = r
	p.inner.add(wire.NewControlServer(r.server))
	p.inner.add(wire.NewSegmentsServer(control.Segments{State: r.state}))
	r.receiver = peer.NewReceiver(r.node.Step)
	p.inner.mux.Handle(peer.Path, r.receiver.Handler())
	p.add(control.NewReconciler(r.server, control.AskSidecar(r.sidecarAt)).Run)
	p.add(r.watchState)
	p.add(r.server.Run)
	r.addKeeper()
	p.add(func(ctx context.Context) error {
		<-ctx.Done()
		r.close()
		return nil
	})
	return p.addOperators()
}

func (r *controlRole) open() error {
	folder := r.process.settings.Control.Folder
	state, err := control.OpenState(control.StateSettings{Directory: filepath.Join(folder, stateFolder), Fetch: r.fetch})
	if err != nil {
		return eris.Wrapf(err, "state in %s", folder)
	}
	r.state = state
	r.sender = peer.NewSender(peer.Settings{URL: r.url, Client: r.client})
	r.node, err = consensus.Open(consensus.Settings{
		ID: r.process.settings.Name, Address: r.process.address(), Members: r.founders(),
		Folder: filepath.Join(folder, logFolder), IsAutoReplacing: true,
		Apply: func(e consensus.Entry) []byte {
			return state.Apply(control.Entry{Index: e.Index, Term: e.Term, TimeMs: e.TimeMs, Command: e.Command})
		},
		Snapshot: state.Snapshot, Restore: state.Restore, Send: r.sender.Send, OnStatusChange: r.onChange,
	})
	if err != nil {
		r.sender.Close()
		return eris.Wrapf(err, "replicated log in %s", folder)
	}
	r.server = control.NewServer(control.Settings{
		Name: r.process.settings.Name, State: state, Propose: r.node.Propose, ReadBarrier: r.node.ReadBarrier,
		Leader: r.leader, Check: inventory.Check, Retention: retentionOf,
	})
	return nil
}

// addKeeper looks after the groups while this replica leads.
func (r *controlRole) addKeeper() {
	p := r.process
	keeper := ranks.NewManager(ranks.ManagerSettings{
		Replica: p.settings.Name, State: r.state, Server: r.server, Leading: r.leading, Ranks: r.ranksOf,
		Rule: p.rebalancing.Rule, Costs: p.rebalancing.Costs, Events: p.events,
		OnError: func(err error) { p.log.WithError(err).Warn("keeper of the groups") },
	})
	p.inner.add(wire.NewRanksServer(keeper))
	p.add(keeper.Run)
}

func (r *controlRole) leading() (term uint64, leads bool) {
	status := r.node.Status()
	return status.Term, status.Leader == r.process.settings.Name
}

// ranksOf returns the client of an upstream's sidecar.
func (r *controlRole) ranksOf(upstream string) wire.Ranks {
	member, _ := r.state.Member(upstream)
	if member == nil {
		return nil
	}
	return wire.NewRanksProtobufClient(r.scheme+"://"+member.Address, r.client)
}

// founders returns the replicas of the settings as the members that found the group.
func (r *controlRole) founders() []consensus.Member {
	var members []consensus.Member
	for _, replica := range r.process.settings.Replicas {
		members = append(members, consensus.Member{ID: replica.Name, Address: replica.Address, IsVoter: true})
	}
	return members
}

// addressOf returns the address of a replica, by the settings or by the log's membership.
func (r *controlRole) addressOf(id string) string {
	for _, replica := range r.process.settings.Replicas {
		if replica.Name == id {
			return replica.Address
		}
	}
	if r.node == nil {
		return ""
	}
	for _, member := range r.node.Status().Members {
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
	name = r.node.Status().Leader
	return name, r.addressOf(name)
}

func (r *controlRole) onChange(status consensus.Status) {
	r.process.log.WithFields(logrus.Fields{
		"role": status.Role, "term": status.Term, "leader": status.Leader, "fault": status.Fault,
	}).Info("control replica changed")
	r.process.events.Add(&wire.Event{Kind: "replica-" + status.Role, Peer: status.Leader, Detail: status.Fault})
}

// retentionOf returns how long answers are kept under an inventory.
func retentionOf(text []byte) time.Duration {
	owned, err := inventory.Parse("inventory", text)
	if err != nil {
		return 0
	}
	return time.Duration(owned.Rules.RetentionHours) * time.Hour
}

// fetch returns a part of a sealed file from any other replica that holds it.
func (r *controlRole) fetch(name string, offset int64) ([]byte, error) {
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
		last = eris.Wrapf(err, "segment %s at %s", name, replica.Name)
	}
	if last == nil {
		last = eris.Errorf("segment %s: there is no other replica", name)
	}
	return nil, last
}

// sidecarAt returns the client of the sidecar at an address.
func (r *controlRole) sidecarAt(address string) wire.Sidecar {
	return wire.NewSidecarProtobufClient(r.scheme+"://"+address, r.client)
}

// watchState tells when the state's files cannot be written or read.
func (r *controlRole) watchState(ctx context.Context) error {
	ticker := time.NewTicker(stateInterval)
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
			r.process.log.WithError(err).Error("the state's files cannot be used; give the replica another disk")
			r.process.events.Add(&wire.Event{Kind: "state-broken", Detail: err.Error()})
		}
		isBroken = err != nil
	}
}

// close hands leadership over and closes the log.
func (r *controlRole) close() {
	r.closed.Do(func() {
		if err := r.node.Close(); err != nil {
			r.process.log.WithError(err).Error("close of the replicated log")
		}
		r.sender.Close()
		r.receiver.Close()
	})
}

// ControlServer returns the server of the control role.
func (p *Process) ControlServer() *control.Server { return p.control.server }

// ControlState returns the state of the control role.
func (p *Process) ControlState() *control.State { return p.control.state }

// addOperators serves operators at the address of the settings.
func (p *Process) addOperators() error {
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
	p.control.operators = listener
	served := listener
	if p.keys != nil {
		served = p.keys.OperatorListener(listener)
	}
	p.group.Add(func() error { return server.Serve(served) }, func(error) { _ = server.Close() })
	return nil
}

// readToken returns the operators' token, so that a changed file is in force at once.
func readToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	return strings.TrimSpace(string(text)), eris.Wrapf(err, "token file %s", file)
}

// members returns all processes that have events: the members and the control replicas.
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

// OperatorsAddress returns the address that operators are served on.
func (p *Process) OperatorsAddress() string { return p.control.operators.Addr().String() }
