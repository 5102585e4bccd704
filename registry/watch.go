package registry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"guavahitch.example/guavahitch/item"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

const (
	// watchPath streams frames to followers. documentPath returns the newest configuration.
	watchPath    = "/watch"
	documentPath = "/document"
	// renewalInterval is the longest time between two frames of a stream.
	renewalInterval = 500 * time.Millisecond
	// batchDelay is how long a change waits for further changes, so that one frame carries all of them.
	batchDelay = 3 * time.Millisecond
	// frameWriteTimeout bounds the writing of a frame.
	frameWriteTimeout = 2 * time.Second
	// roleField is the query parameter with the role of the follower.
	roleField = "Role"
	// heldVersionField is the query parameter of documentPath with the version that the follower holds.
	heldVersionField = "HeldVersion"
	// entryRole is the role of entries, which share the limits of services.
	entryRole = "entry"
)

// watchStream records what one follower has been sent, so that the next frame carries only changes.
type watchStream struct {
	replica *Replica
	// follower names the process that reads the stream.
	follower      string
	revision      uint64
	isStarted     bool
	lastRenewal   time.Time
	members       []string
	entries       int
	loadsRevision uint64
	// evidenceRevision is the revision of the evidence that was sent last.
	evidenceRevision uint64
	// limitsRevision is that of the rate limits that were sent last.
	limitsRevision uint64
	// sentVersion is the version of the configuration that was sent last.
	sentVersion heldVersion
}

// serveWatch streams frames until the follower disconnects or the replica closes.
func (r *Replica) serveWatch(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	if query.Get(roleField) == entryRole {
		defer r.enroll(query)()
		r.addEntries(1)
		defer r.addEntries(-1)
	}
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	stream := &watchStream{replica: r, follower: cmp.Or(query.Get(nameField), host)}
	cause, err := stream.run(request.Context(), w)
	if err != nil && r.ctx.Err() == nil {
		r.streams.recordEnd(time.Now(), stream.follower, cause, err)
	}
}

// run sends frames until the follower disconnects, the replica closes or a frame cannot be sent. It returns the error of the
// frame and its cause.
func (w *watchStream) run(ctx context.Context, writer http.ResponseWriter) (cause string, err error) {
	r := w.replica
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		frame, changed := w.nextFrame(now)
		learned := w.addEvidence(frame, now)
		limited := w.addLimits(frame, now)
		if cause, err := sendFrame(writer, frame); err != nil {
			return cause, err
		}
		if sent := versionOf(frame.Version); sent != w.sentVersion {
			w.sentVersion = sent
			r.streams.recordSent(w.follower, sent.version)
		}
		timer.Reset(renewalInterval)
		select {
		case <-ctx.Done():
			return "", nil
		case <-r.ctx.Done():
			return "", nil
		case <-timer.C:
		case <-learned:
			wait.For(r.ctx, batchDelay)
		case <-limited:
			wait.For(r.ctx, batchDelay)
		case <-changed:
			wait.For(r.ctx, batchDelay)
		}
	}
}

// addEntries adds to the number of connected entries.
func (r *Replica) addEntries(change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entryCount += change
	r.notifyWatchers()
}

// nextFrame returns what has changed since the last frame, and a channel that is closed at the next change. The first
// frame after the replica has caught up holds all upstreams. Until then, frames hold only those that drain or have left, and
// renewals.
func (w *watchStream) nextFrame(now time.Time) (*wire.WatchFrame, <-chan struct{}) {
	r := w.replica
	frame := &wire.WatchFrame{}
	node := r.caughtUpNode()
	// The set is read after the version, so that it holds all orders from before that configuration.
	document := r.state.newest()
	evacuated := encodeEvacuations(r.Evacuated(), now)
	hasCaughtUp := node != nil && r.caughtUpNode() == node
	if hasCaughtUp {
		frame.Evacuations = evacuated
	}
	if hasCaughtUp && document != nil {
		frame.Version = &document.Version
	}
	upstreams, renewals, loads, changed := w.addState(frame, now, hasCaughtUp)
	frame.Upstreams = item.EncodeAll(r.items, kindUpstream, (*wire.AnnouncedUpstream).GetId, upstreams)
	frame.Renewals = item.EncodeAll(r.items, kindRenewal, (*wire.UpstreamRenewal).GetId, renewals)
	frame.Loads = item.EncodeAll(r.items, kindLoad, (*wire.UpstreamLoad).GetId, loads)
	return frame, changed
}

// addState adds the members and the number of entries to a frame, and returns the upstreams, renewals and loads that go into it.
func (w *watchStream) addState(frame *wire.WatchFrame, now time.Time, hasCaughtUp bool) (
	upstreams []*wire.AnnouncedUpstream, renewals []*wire.UpstreamRenewal, loads []*wire.UpstreamLoad, changed <-chan struct{},
) {
	r := w.replica
	r.mutex.Lock()
	defer r.mutex.Unlock()
	upstreams = w.changedUpstreams(now, hasCaughtUp)
	if now.Sub(w.lastRenewal) >= renewalInterval {
		renewals = w.renewals(now, hasCaughtUp)
		w.lastRenewal = now
	}
	w.isStarted = hasCaughtUp
	w.revision = r.roster.Revision()
	if !slices.Equal(w.members, r.members) {
		w.members = r.members
		frame.Replicas = r.members
	}
	frame.Entries = int32(r.entryCount)
	r.addCount(frame, now)
	if w.loadsRevision != r.loadsRevision {
		loads = r.encodeLoads(w.loadsRevision)
		w.loadsRevision = r.loadsRevision
	}
	return upstreams, renewals, loads, r.changed
}

// changedUpstreams returns the upstreams that changed since the last frame, without those of services that are not served. A
// replica that has not caught up may not know the services: it blocks ready upstreams, and sends the others. The caller holds the
// mutex of the replica.
func (w *watchStream) changedUpstreams(now time.Time, hasCaughtUp bool) []*wire.AnnouncedUpstream {
	since := w.revision
	if !w.isStarted {
		since = 0
	}
	var upstreams []*wire.AnnouncedUpstream
	r := w.replica.roster
	for _, entry := range r.ChangedSince(since) {
		if hasCaughtUp && r.Serves(entry.Instance) || !hasCaughtUp && entry.Instance.State != roster.Ready {
			upstreams = append(upstreams, encodeEntry(entry, now))
		}
	}
	return upstreams
}

// renewals returns the upstreams that were heard since the last renewals. The caller holds the mutex of the replica.
func (w *watchStream) renewals(now time.Time, hasCaughtUp bool) []*wire.UpstreamRenewal {
	var renewals []*wire.UpstreamRenewal
	r := w.replica.roster
	for entry := range r.All() {
		if entry.LastHeartbeat.After(w.lastRenewal) && (!hasCaughtUp || r.Serves(entry.Instance)) {
			renewals = append(renewals, encodeRenewal(entry, now))
		}
	}
	return renewals
}

// addEvidence adds new evidence to a frame, and returns a channel that is closed at the next addition.
func (w *watchStream) addEvidence(frame *wire.WatchFrame, now time.Time) (learned <-chan struct{}) {
	var evidence *wire.Evidence
	evidence, w.evidenceRevision, learned = w.replica.memory.Evidence(now, w.evidenceRevision)
	frame.Evidence = encodeEvidence(w.replica.items, evidence)
	return learned
}

// encodeLoads returns the messages for the loads of the groups that have changed since a revision. The caller holds the
// mutex.
func (r *Replica) encodeLoads(since uint64) []*wire.UpstreamLoad {
	var messages []*wire.UpstreamLoad
	for _, group := range r.loads {
		if group.revision <= since {
			continue
		}
		for _, load := range group.loads {
			messages = append(messages, &wire.UpstreamLoad{
				Id: load.ID, Running: int32(load.Running), Waiting: int32(load.Waiting), Pace: float32(load.Pace),
			})
		}
	}
	return messages
}

// serveDocument sends the newest committed configuration that this replica has applied, unless the follower holds it.
func (r *Replica) serveDocument(w http.ResponseWriter, request *http.Request) {
	node := r.caughtUpNode()
	document := r.state.newest()
	if document == nil || node == nil || r.caughtUpNode() != node {
		http.Error(w, "there is no configuration", http.StatusNotFound)
		return
	}
	held, err := strconv.ParseUint(request.URL.Query().Get(heldVersionField), 10, 64)
	if err == nil && held >= document.Version {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if _, err := protodelim.MarshalTo(w, document); err != nil {
		r.settings.Log.WithError(err).Warn("cannot send the configuration")
	}
}
