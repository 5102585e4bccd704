package registry

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/item"
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
	_, err := replica.Spread(ctx, &wire.SpreadRequest{Evidence: encodeEvidence(f.items, evidence)})
	return err
}

// encodeEvidence returns evidence as items of one crash or one progress each.
func encodeEvidence(l *item.Log, evidence *wire.Evidence) [][]byte {
	var list []*wire.Evidence
	for _, d := range evidence.GetDeaths() {
		list = append(list, &wire.Evidence{Deaths: []*wire.DeathReport{d}})
	}
	for _, p := range evidence.GetProgress() {
		list = append(list, &wire.Evidence{Progress: []*wire.Progress{p}})
	}
	return item.EncodeAll(l, kindEvidence, evidenceOrigin, list)
}

// evidenceOrigin names an item of evidence by its upstream or organisation.
func evidenceOrigin(e *wire.Evidence) string {
	if len(e.Deaths) > 0 {
		return e.Deaths[0].CrashId
	}
	return e.Progress[0].Organisation
}

// decodeEvidence returns the evidence in the items that can be decoded, or nil if there is none.
func decodeEvidence(l *item.Log, origin string, items [][]byte) *wire.Evidence {
	if len(items) == 0 {
		return nil
	}
	evidence := &wire.Evidence{}
	for _, part := range item.DecodeAll[wire.Evidence](l, kindEvidence, origin, items) {
		evidence.Deaths = append(evidence.Deaths, part.Deaths...)
		evidence.Progress = append(evidence.Progress, part.Progress...)
	}
	return evidence
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
