package registry

import (
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

const (
	// watchPath streams frames to entries, documentPath returns the newest configuration.
	watchPath    = "/watch"
	documentPath = "/document"
	// renewalInterval is the longest time between two frames.
	renewalInterval = 500 * time.Millisecond
	// gatherTime is how long a change waits for others, so that one frame tells of all of them.
	gatherTime = 3 * time.Millisecond
	// frameTimeout is the longest that writing a frame may take.
	frameTimeout = 2 * time.Second
	// roleField is the query field with the role of the follower.
	roleField = "Role"
	// entryRole is the role of followers that share the limits of services.
	entryRole = "entry"
)

// watch is what one follower was told.
type watch struct {
	replica  *Replica
	revision uint64
	isBegun  bool
	renewed  time.Time
	members  []string
	entries  int
	loads    uint64
}

// serveWatch streams frames until the follower or the replica goes.
func (r *Replica) serveWatch(w http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Get(roleField) == entryRole {
		r.countEntry(1)
		defer r.countEntry(-1)
	}
	control := http.NewResponseController(w)
	follower := &watch{replica: r}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		frame, changed := follower.frame(time.Now())
		_ = control.SetWriteDeadline(time.Now().Add(frameTimeout))
		if _, err := protodelim.MarshalTo(w, frame); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		timer.Reset(renewalInterval)
		select {
		case <-request.Context().Done():
			return
		case <-r.ctx.Done():
			return
		case <-timer.C:
		case <-changed:
			wait.For(r.ctx, gatherTime)
		}
	}
}

func (r *Replica) countEntry(change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries += change
	r.signal()
}

// frame returns what the follower was not told yet, and the channel that is closed with the next change.
func (w *watch) frame(now time.Time) (*wire.WatchFrame, <-chan struct{}) {
	r := w.replica
	frame := &wire.WatchFrame{}
	frame.Version = r.state.newest().GetVersion()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	isDue := now.Sub(w.renewed) >= renewalInterval
	for _, entry := range r.roster.Entries() {
		switch {
		case !w.isBegun || entry.Changed > w.revision:
			frame.Upstreams = append(frame.Upstreams, announcedOf(entry, now))
		case isDue && entry.LastHeartbeat.After(w.renewed):
			frame.Renewals = append(frame.Renewals, renewalOf(entry, now))
		}
	}
	if isDue {
		w.renewed = now
	}
	w.isBegun = true
	w.revision = r.roster.Revision()
	if !slices.Equal(w.members, r.members) {
		w.members = r.members
		frame.Replicas = r.members
	}
	frame.Entries = int32(r.entries)
	if w.loads != r.loadsNumber {
		w.loads = r.loadsNumber
		frame.Loads = r.loadMessages()
	}
	return frame, r.changed
}

// loadMessages returns the messages that tell of all loads; the mutex is held.
func (r *Replica) loadMessages() []*wire.UpstreamLoad {
	var messages []*wire.UpstreamLoad
	for _, loads := range r.loads {
		for _, load := range loads {
			messages = append(messages, &wire.UpstreamLoad{
				Id: load.ID, Running: int32(load.Running), Waiting: int32(load.Waiting), Pace: float32(load.Pace),
			})
		}
	}
	return messages
}

// serveDocument returns the newest configuration that this replica knows to be in force.
func (r *Replica) serveDocument(w http.ResponseWriter, _ *http.Request) {
	document := r.state.newest()
	if document == nil {
		http.Error(w, "there is no configuration", http.StatusNotFound)
		return
	}
	if _, err := protodelim.MarshalTo(w, document); err != nil {
		r.settings.Log.WithError(err).Warn("configuration not sent")
	}
}
