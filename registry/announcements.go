package registry

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/item"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// spreadTimeout bounds the wait until another replica has received a change of an upstream.
const spreadTimeout = 250 * time.Millisecond

// callOrigin names items that came with a call, whose sender is not known.
const callOrigin = "call"

// Announce records an announcement of an upstream and passes a change on to the other replicas. If the upstream drains, it
// returns once its departure is stored in the replicated log and another replica has received the change. It returns
// ErrUnknownService for a departure from a service that is not in the configuration, which another sender may have forged. An
// announcement that returns an error must not be acknowledged.
func (r *Replica) Announce(ctx context.Context, instance roster.Instance) error {
	r.settings.Scope.Counter("announcements").Inc(1)
	if r.state.hasDeparted(&instance) {
		return nil
	}
	now := time.Now()
	r.mutex.Lock()
	isServed := r.roster.Serves(instance)
	// Others need no upstream of a service that is not in the configuration. They receive it when it is.
	isChange := r.roster.Announce(instance, now) && isServed
	spread := r.publishAndUnlock(ctx, instance.ID, isChange, now)
	if instance.State == roster.Ready {
		return nil
	}
	if !isServed {
		return ErrUnknownService
	}
	err := r.storeDeparture(ctx, &wire.UpstreamDeparture{
		Id: instance.ID, Born: instance.Born, Draining: instance.State == roster.Draining,
	})
	<-spread
	return err
}

// Leave records that an upstream has left and passes the change on to the other replicas. It returns once the departure is
// stored in the replicated log and another replica has received the change. A born of 0 stands for an unknown incarnation. A
// departure that returns an error must not be acknowledged: ErrTooManyDepartures, for example, if the replica knows no such upstream
// and too many of these have left.
func (r *Replica) Leave(ctx context.Context, id string, born int64) error {
	now := time.Now()
	r.mutex.Lock()
	held := r.roster.Get(id)
	if held != nil && born == 0 {
		born = held.Instance.Born
	}
	isAnyIncarnation := held == nil && born == 0
	isUnknown := held == nil || held.Instance.Service == "" || !r.roster.Serves(held.Instance)
	if isUnknown && r.state.departed().Unknown() >= maxUnknownDepartures {
		r.mutex.Unlock()
		return ErrTooManyDepartures
	}
	isChange := r.roster.Leave(id, born, now)
	spread := r.publishAndUnlock(ctx, id, isChange, now)
	err := r.storeDeparture(ctx, &wire.UpstreamDeparture{Id: id, Born: born, AnyIncarnation: isAnyIncarnation, Unknown: isUnknown})
	<-spread
	return err
}

// RecordRefusal counts a heartbeat or a departure that names no upstream, and names its ID once in the log.
func (r *Replica) RecordRefusal(id string, err error) { r.items.LeaveOut(kindAnnouncement, id, err) }

// publishAndUnlock sends a change to the entries and the other replicas. It unlocks the mutex, which the caller holds. The
// returned channel is closed once one of the replicas has received the change, and at the latest after spreadTimeout.
func (r *Replica) publishAndUnlock(ctx context.Context, id string, isChange bool, now time.Time) <-chan struct{} {
	done := make(chan struct{})
	entry := r.roster.Get(id)
	if !isChange || entry == nil {
		r.mutex.Unlock()
		close(done)
		return done
	}
	message := encodeEntry(entry, now)
	others := r.otherReplicas()
	r.notifyWatchers()
	r.mutex.Unlock()
	line := r.settings.Log.WithField("upstream", id).WithField("state", message.State).WithField("service", message.Service).
		WithField("address", message.Address)
	if message.ColdMs > 0 {
		line = line.WithField("cold_ms", message.ColdMs)
	}
	line.Info("upstream changed")
	go func() {
		r.spread(ctx, others, message)
		close(done)
	}()
	return done
}

// otherReplicas returns the IDs of the other members. The caller holds the mutex.
func (r *Replica) otherReplicas() []string {
	var others []string
	for _, id := range r.members {
		if id != r.settings.ID {
			others = append(others, id)
		}
	}
	return others
}

// spread sends a change to the other replicas and returns once one of them has acknowledged it or all have failed, at
// the latest after spreadTimeout.
// After an acknowledgement, entries receive the change even if this replica fails at once.
func (r *Replica) spread(ctx context.Context, others []string, message *wire.AnnouncedUpstream) {
	upstreams := item.EncodeAll(r.items, kindUpstream, (*wire.AnnouncedUpstream).GetId, []*wire.AnnouncedUpstream{message})
	if len(upstreams) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	replies := make(chan bool, len(others))
	for _, id := range others {
		go func() {
			_, err := r.registryAt(id).Spread(ctx, &wire.SpreadRequest{Upstreams: upstreams})
			replies <- err == nil
		}()
	}
	remaining := len(others)
	for remaining > 0 {
		remaining--
		if <-replies {
			break
		}
	}
	go func() {
		for range remaining {
			<-replies
		}
		cancel()
	}()
}

// merge records announcements and renewals that other replicas have received.
func (r *Replica) merge(announced, renewals []roster.Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	isChange := false
	for _, entry := range announced {
		if r.state.hasDeparted(&entry.Instance) {
			continue
		}
		isChange = r.roster.Announce(entry.Instance, entry.LastHeartbeat) || isChange
	}
	for _, entry := range renewals {
		r.roster.Renew(entry)
	}
	if isChange {
		r.notifyWatchers()
	}
}

// replicaService serves the calls of the other replicas.
type replicaService struct{ replica *Replica }

// Submit stores a configuration. A replica that does not lead returns ErrNoQuorum.
func (i replicaService) Submit(
	ctx context.Context, request *wire.RoutingSubmitRequest,
) (*wire.RoutingSubmitReply, error) {
	if request.Document == nil || !i.replica.isLeader() {
		return nil, ErrNoQuorum
	}
	if err := i.replica.submit(ctx, request.Document); err != nil {
		return nil, err
	}
	return &wire.RoutingSubmitReply{Version: i.replica.state.newest().GetVersion()}, nil
}

// Newest returns the newest configuration. A replica that does not lead returns ErrNoQuorum.
func (i replicaService) Newest(ctx context.Context, _ *wire.RoutingNewestRequest) (*wire.RoutingNewestReply, error) {
	if !i.replica.isLeader() {
		return nil, ErrNoQuorum
	}
	document, err := i.replica.Newest(ctx)
	if err != nil {
		return nil, err
	}
	return &wire.RoutingNewestReply{Document: document}, nil
}

// Spread records changes that another replica has received.
func (i replicaService) Spread(_ context.Context, request *wire.SpreadRequest) (*wire.SpreadReply, error) {
	now := time.Now()
	items := i.replica.items
	i.replica.merge(decodeEntries(items, callOrigin, request.Upstreams, now), nil)
	i.replica.memory.Merge(now, decodeEvidence(items, callOrigin, request.Evidence))
	return &wire.SpreadReply{}, nil
}
