package registry

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

// This file exchanges evidence about requests that end upstreams. It needs no leader: each entry sends what it
// saw itself to every replica that it follows, and each replica sends what it holds to all that follow it.

// sendEvidence sends the evidence of an entry to a replica, all of it at first, until the stream to the replica ends.
func (f *Follower) sendEvidence(ctx context.Context, address string) {
	replica := wire.NewRegistryProtobufClient("http://"+address, f.client)
	read, sent := f.settings.Memory.Evidence, uint64(0)
	for {
		evidence, revision, changed := read(time.Now(), sent)
		if evidence != nil {
			if err := f.spread(ctx, replica, evidence); err != nil {
				f.settings.Log.WithError(err).WithField("replica", address).Warn("cannot send evidence")
				if !wait.For(ctx, reconnectDelay) {
					return
				}
				continue
			}
		}
		read, sent = f.settings.Memory.OwnEvidence, revision
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (f *Follower) spread(ctx context.Context, replica wire.Registry, evidence *wire.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	_, err := replica.Spread(ctx, &wire.SpreadRequest{Evidence: evidence})
	return err
}

// mergeEvidence adds the evidence of a replica.
func (f *Follower) mergeEvidence(evidence *wire.Evidence, now time.Time) {
	if evidence == nil {
		return
	}
	verdicts := f.settings.Memory.Merge(now, evidence)
	if len(verdicts) > 0 && f.settings.OnVerdicts != nil {
		f.settings.OnVerdicts(verdicts)
	}
}
