package registry

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"

	"guavahitch.example/guavahitch/wire"
)

// This file fetches configurations from replicas and passes on those that are newer.

// claimFetch reports whether the caller is to fetch a version: it is newer than the last one and no fetch is under way.
// It then records the start of the fetch.
func (f *Follower) claimFetch(version heldVersion, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.newest.isOlderThan(version) || now.Sub(f.fetchStarted) < fetchTimeout {
		return false
	}
	f.fetchStarted = now
	return true
}

// fetchDocument reads the newest configuration of one replica and passes it to OnDocument. If that fails, the next
// frame with a newer version starts another fetch.
func (f *Follower) fetchDocument(ctx context.Context, address string) {
	document, err := f.readDocument(ctx, address, heldVersion{})
	if err != nil {
		f.settings.Log.WithError(err).WithField("replica", address).Warn("cannot fetch the configuration")
	}
	f.mutex.Lock()
	f.fetchStarted = time.Time{}
	f.mutex.Unlock()
	f.adopt(document)
}

// fetchWithoutFrame reads the newest configuration of a replica whose stream ended. The stream may have ended at a frame that
// cannot be sent or read, which must not block the configuration.
func (f *Follower) fetchWithoutFrame(ctx context.Context, address string) {
	if f.settings.OnDocument == nil {
		return
	}
	f.mutex.Lock()
	held := f.newest
	f.mutex.Unlock()
	// A replica that has ended does not answer. The loss of its stream was logged.
	document, _ := f.readDocument(ctx, address, held)
	f.adopt(document)
}

// adopt passes a configuration to OnDocument if it is newer than the ones before. A nil one is ignored.
func (f *Follower) adopt(document *wire.RoutingDocument) {
	if document == nil {
		return
	}
	version := heldVersion{version: document.Version, isHeld: true}
	f.mutex.Lock()
	isNewer := f.newest.isOlderThan(version)
	f.newest = f.newest.withNewer(version)
	f.mutex.Unlock()
	if isNewer {
		f.settings.OnDocument(document)
		f.freshness.recordFetched(version)
	}
}

// readDocument returns the newest configuration of a replica, or nil if it is not newer than the held version.
func (f *Follower) readDocument(ctx context.Context, address string, held heldVersion) (*wire.RoutingDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := "http://" + address + documentPath
	if held.isHeld {
		url += "?" + heldVersionField + "=" + strconv.FormatUint(held.version, 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "create configuration request")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "fetch")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("fetch configuration: replica answered %s", response.Status)
	}
	document := &wire.RoutingDocument{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := options.UnmarshalFrom(bufio.NewReader(response.Body), document); err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	if len(document.Compressed) == 0 {
		return nil, eris.New("read configuration: it has no text")
	}
	return document, nil
}
