package registry

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// spreadTimeout bounds the wait for another replica to take the end of an upstream.
const spreadTimeout = 250 * time.Millisecond

// Announce takes what an upstream says of itself.
func (r *Replica) Announce(ctx context.Context, instance roster.Instance) {
	r.settings.Scope.Counter("announcements").Inc(1)
	now := time.Now()
	r.mutex.Lock()
	isChange := r.roster.Announce(instance, now)
	r.finish(ctx, instance.ID, isChange, now)
}

// Leave takes the end of an upstream; born is 0 when its incarnation is not known.
func (r *Replica) Leave(ctx context.Context, id string, born int64) {
	now := time.Now()
	r.mutex.Lock()
	isChange := r.roster.Leave(id, born, now)
	r.finish(ctx, id, isChange, now)
}

// finish tells entries and the other replicas of a change. It unlocks the mutex.
func (r *Replica) finish(ctx context.Context, id string, isChange bool, now time.Time) {
	entry := r.roster.Get(id)
	if !isChange || entry == nil {
		r.mutex.Unlock()
		return
	}
	message := announcedOf(entry, now)
	others := r.others()
	r.signal()
	r.mutex.Unlock()
	r.settings.Log.WithField("upstream", id).WithField("state", message.State).WithField("service", message.Service).
		WithField("address", message.Address).Info("upstream changed")
	if roster.State(message.State) == roster.Ready {
		go r.spread(context.WithoutCancel(ctx), others, message)
		return
	}
	r.spread(ctx, others, message)
}

// others returns the other replicas; the mutex is held.
func (r *Replica) others() []string {
	var others []string
	for _, id := range r.members {
		if id != r.settings.ID {
			others = append(others, id)
		}
	}
	return others
}

// spread passes a change on to the other replicas, and returns once one of them has taken it: entries hear of
// it then even if this replica fails at once.
func (r *Replica) spread(ctx context.Context, others []string, message *wire.AnnouncedUpstream) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	taken := make(chan bool, len(others))
	for _, id := range others {
		go func() {
			_, err := r.registryAt(id).Spread(ctx, &wire.SpreadRequest{Upstreams: []*wire.AnnouncedUpstream{message}})
			taken <- err == nil
		}()
	}
	left := len(others)
	for left > 0 {
		left--
		if <-taken {
			break
		}
	}
	go func() {
		for range left {
			<-taken
		}
		cancel()
	}()
}

// merge takes what another replica heard of upstreams.
func (r *Replica) merge(announced, renewals []roster.Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	isChange := false
	for _, entry := range announced {
		isChange = r.roster.Announce(entry.Instance, entry.LastHeartbeat) || isChange
	}
	for _, entry := range renewals {
		r.roster.Renew(entry)
	}
	if isChange {
		r.signal()
	}
}

// inner serves the other replicas.
type inner struct{ replica *Replica }

// Submit stores a configuration; only the leader does.
func (i inner) Submit(ctx context.Context, request *wire.RoutingSubmitRequest) (*wire.RoutingSubmitReply, error) {
	node := i.replica.node.Load()
	if request.Document == nil || node == nil || node.Status().Leader != i.replica.settings.ID {
		return nil, ErrNoQuorum
	}
	if err := i.replica.submit(ctx, request.Document); err != nil {
		return nil, err
	}
	return &wire.RoutingSubmitReply{Version: i.replica.state.newest().GetVersion()}, nil
}

// Newest returns the newest configuration; only the leader does.
func (i inner) Newest(ctx context.Context, _ *wire.RoutingNewestRequest) (*wire.RoutingNewestReply, error) {
	node := i.replica.node.Load()
	if node == nil || node.Status().Leader != i.replica.settings.ID {
		return nil, ErrNoQuorum
	}
	document, err := i.replica.Newest(ctx)
	if err != nil {
		return nil, err
	}
	return &wire.RoutingNewestReply{Document: document}, nil
}

// Spread takes changes that another replica heard of.
func (i inner) Spread(_ context.Context, request *wire.SpreadRequest) (*wire.SpreadReply, error) {
	now := time.Now()
	announced := make([]roster.Entry, 0, len(request.Upstreams))
	for _, message := range request.Upstreams {
		announced = append(announced, entryOf(message, now))
	}
	i.replica.merge(announced, nil)
	return &wire.SpreadReply{}, nil
}
