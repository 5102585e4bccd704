package registry

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protodelim"

	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

const (
	// frameSilence is the pause between frames after which a stream is opened anew.
	frameSilence = 1500 * time.Millisecond
	// fetchTimeout bounds the fetch of a configuration from one replica; another one is tried then.
	fetchTimeout = 600 * time.Millisecond
	// followPause is the time between two attempts to follow a replica that does not answer.
	followPause = 250 * time.Millisecond
	// strangerLimit is how long a replica is followed that is neither a seed nor named by another one.
	strangerLimit = 20 * time.Second
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 16 << 20
)

type (
	// FollowerSettings configure a Follower. Its functions are called from several goroutines.
	FollowerSettings struct {
		// Seeds returns the inner addresses to begin with.
		Seeds func() []string
		// Self is the inner address of a follower that is a replica, and is not followed.
		Self string
		// IsEntry tells that the follower counts among those that share the limits of services.
		IsEntry bool
		// OnDocument takes each configuration that a replica tells of; it may be nil, as may OnLoads and
		// OnEntries.
		OnDocument func(*wire.RoutingDocument)
		// OnUpstreams takes announcements and renewals.
		OnUpstreams func(announced, renewals []roster.Entry)
		// OnLoads takes what upstreams have to do.
		OnLoads func([]Load)
		// OnEntries takes the number of entries that follow the replicas.
		OnEntries func(int)
		Log       *logrus.Entry
	}

	// Follower follows every replica that it knows of.
	Follower struct {
		settings FollowerSettings
		client   *http.Client
		// root is the context of Run: a replica is followed until it ends, whoever named it.
		root     context.Context
		mutex    sync.Mutex
		replicas map[string]*followed
		// held is the newest configuration that was handed on, fetched when the last fetch began.
		held    uint64
		fetched time.Time
		done    sync.WaitGroup
	}

	// followed is one replica that is followed.
	followed struct {
		cancel context.CancelFunc
		// named is when a replica or the seeds named it last.
		named time.Time
		// names are the replicas that it named last.
		names     []string
		entries   int
		connected bool
	}
)

// NewFollower returns a follower; Run starts it.
func NewFollower(settings FollowerSettings) *Follower {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Follower{
		settings: settings, replicas: map[string]*followed{},
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: true,
		}},
	}
}

// Run follows the replicas until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.root = ctx
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		f.refresh(time.Now())
		select {
		case <-ctx.Done():
			f.done.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// refresh follows the seeds and all replicas that connected ones name, and lets go of others.
func (f *Follower) refresh(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	named := f.settings.Seeds()
	for _, r := range f.replicas {
		if r.connected {
			named = append(named, r.names...)
		}
	}
	for _, address := range named {
		f.follow(address, now)
	}
	for address, r := range f.replicas {
		if now.Sub(r.named) > strangerLimit {
			r.cancel()
			delete(f.replicas, address)
		}
	}
}

// follow starts to follow a replica; the mutex is held.
func (f *Follower) follow(address string, now time.Time) {
	if address == f.settings.Self {
		return
	}
	if known := f.replicas[address]; known != nil {
		known.named = now
		return
	}
	inner, cancel := context.WithCancel(f.root)
	f.replicas[address] = &followed{cancel: cancel, named: now}
	f.done.Go(func() { f.keep(inner, address) })
}

// keep follows one replica until the context ends.
func (f *Follower) keep(ctx context.Context, address string) {
	for ctx.Err() == nil {
		err := f.read(ctx, address)
		if f.lost(address) {
			f.settings.Log.WithError(err).WithField("replica", address).Warn("replica lost")
		}
		wait.For(ctx, followPause)
	}
}

// read follows one stream to its end.
func (f *Follower) read(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(frameSilence, cancel)
	defer silence.Stop()
	url := "http://" + address + watchPath
	if f.settings.IsEntry {
		url += "?" + roleField + "=" + entryRole
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "open stream")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("answered %s", response.Status)
	}
	reader := bufio.NewReader(response.Body)
	for {
		frame := &wire.WatchFrame{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}).UnmarshalFrom(reader, frame); err != nil {
			return eris.Wrap(err, "read frame")
		}
		silence.Reset(frameSilence)
		f.take(ctx, address, frame)
	}
}

func (f *Follower) take(ctx context.Context, address string, frame *wire.WatchFrame) {
	now := time.Now()
	if f.settings.OnDocument != nil && f.mayFetch(frame.Version, now) {
		f.done.Go(func() { f.fetch(ctx, address) })
	}
	announced := make([]roster.Entry, 0, len(frame.Upstreams))
	for _, m := range frame.Upstreams {
		announced = append(announced, entryOf(m, now))
	}
	renewals := make([]roster.Entry, 0, len(frame.Renewals))
	for _, m := range frame.Renewals {
		renewals = append(renewals, renewedOf(m, now))
	}
	if len(announced) > 0 || len(renewals) > 0 {
		f.settings.OnUpstreams(announced, renewals)
	}
	if len(frame.Loads) > 0 && f.settings.OnLoads != nil {
		f.settings.OnLoads(loadsOf(frame.Loads))
	}
	f.note(address, frame, now)
}

// mayFetch reports whether a version is new and no fetch is under way, and notes that one begins.
func (f *Follower) mayFetch(version uint64, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version <= f.held || now.Sub(f.fetched) < fetchTimeout {
		return false
	}
	f.fetched = now
	return true
}

// fetch reads the newest configuration of one replica and hands it on. When that fails, the next frame that tells
// of a newer version starts another fetch.
func (f *Follower) fetch(ctx context.Context, address string) {
	document, err := f.readDocument(ctx, address)
	if err != nil {
		f.settings.Log.WithError(err).WithField("replica", address).Warn("configuration not fetched")
	}
	f.mutex.Lock()
	f.fetched = time.Time{}
	isNewer := err == nil && document.Version > f.held
	if isNewer {
		f.held = document.Version
	}
	f.mutex.Unlock()
	if isNewer {
		f.settings.OnDocument(document)
	}
}

func (f *Follower) readDocument(ctx context.Context, address string) (*wire.RoutingDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+documentPath, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "fetch")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("answered %s", response.Status)
	}
	document := &wire.RoutingDocument{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	return document, eris.Wrap(options.UnmarshalFrom(bufio.NewReader(response.Body), document), "read configuration")
}

func loadsOf(messages []*wire.UpstreamLoad) []Load {
	loads := make([]Load, 0, len(messages))
	for _, m := range messages {
		loads = append(loads, Load{ID: m.Id, Running: int(m.Running), Waiting: int(m.Waiting), Pace: float64(m.Pace)})
	}
	return loads
}

// note keeps what a frame tells of the replicas and entries.
func (f *Follower) note(address string, frame *wire.WatchFrame, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.replicas[address]
	if r == nil {
		return
	}
	if !r.connected {
		r.connected = true
		f.settings.Log.WithField("replica", address).Info("replica followed")
	}
	r.entries = int(frame.Entries)
	if len(frame.Replicas) > 0 {
		r.names = frame.Replicas
		for _, name := range frame.Replicas {
			f.follow(name, now)
		}
	}
	entries := 0
	for _, other := range f.replicas {
		if other.connected {
			entries = max(entries, other.entries)
		}
	}
	if f.settings.OnEntries != nil {
		f.settings.OnEntries(entries)
	}
}

// lost notes that a stream ended, and reports whether it had begun.
func (f *Follower) lost(address string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.replicas[address]
	if r == nil || !r.connected {
		return false
	}
	r.connected = false
	return true
}

// IsConnected reports whether the follower hears from a replica.
func (f *Follower) IsConnected() bool { return f.ConnectedReplicas() > 0 }

// ConnectedReplicas returns the number of replicas that the follower hears from.
func (f *Follower) ConnectedReplicas() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, r := range f.replicas {
		if r.connected {
			count++
		}
	}
	return count
}
