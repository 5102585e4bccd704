package registry

import (
	"math"
	"time"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/item"
	"guavahitch.example/guavahitch/quota"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// encodeEntry returns the message for an entry of the roster. The message holds the age of the last heartbeat in place
// of its time, so that the clocks of the processes need not agree.
func encodeEntry(entry *roster.Entry, now time.Time) *wire.AnnouncedUpstream {
	i := &entry.Instance
	return &wire.AnnouncedUpstream{
		Id: i.ID, Born: i.Born, Sequence: i.Sequence, Service: i.Service, Address: i.Address, Domain: i.Domain,
		State: int32(i.State), Slots: int32(i.Slots),
		Group: i.Group.Name, GroupEpoch: i.Group.Epoch, GroupRank: int32(i.Group.Rank),
		GroupSize: int32(i.Group.Size), GroupOpen: i.Group.IsOpen,
		SilenceMs: now.Sub(entry.LastHeartbeat).Milliseconds(),
		ColdMs:    max(i.ColdUntil.Sub(now).Milliseconds(), 0), Superseded: i.IsSuperseded, Returned: i.HasReturned,
	}
}

// decodeEntry returns the roster entry of a message.
func decodeEntry(m *wire.AnnouncedUpstream, now time.Time) roster.Entry {
	entry := roster.Entry{
		LastHeartbeat: heartbeatTime(m.SilenceMs, now),
		Instance: roster.Instance{
			ID: m.Id, Born: m.Born, Sequence: m.Sequence, Service: m.Service, Address: m.Address,
			Domain: m.Domain, State: roster.State(m.State), Slots: int(m.Slots),
			Group: roster.Group{
				Name: m.Group, Epoch: m.GroupEpoch, Rank: int(m.GroupRank), Size: int(m.GroupSize), IsOpen: m.GroupOpen,
			},
			IsSuperseded: m.Superseded, HasReturned: m.Returned,
		},
	}
	if m.ColdMs > 0 {
		entry.Instance.ColdUntil = now.Add(time.Duration(m.ColdMs) * time.Millisecond)
	}
	return entry
}

// decodeEntries returns the roster entries of items. Items that cannot be decoded are left out.
func decodeEntries(l *item.Log, origin string, items [][]byte, now time.Time) []roster.Entry {
	entries := make([]roster.Entry, 0, len(items))
	for _, m := range item.DecodeAll[wire.AnnouncedUpstream](l, kindUpstream, origin, items) {
		entries = append(entries, decodeEntry(m, now))
	}
	return entries
}

// encodeRenewal returns the message that renews an entry which has not changed.
func encodeRenewal(entry *roster.Entry, now time.Time) *wire.UpstreamRenewal {
	return &wire.UpstreamRenewal{
		Id: entry.Instance.ID, Born: entry.Instance.Born, SilenceMs: now.Sub(entry.LastHeartbeat).Milliseconds(),
	}
}

// decodeRenewals returns entries that hold only the ID, the incarnation and the last heartbeat.
func decodeRenewals(l *item.Log, origin string, items [][]byte, now time.Time) []roster.Entry {
	renewals := make([]roster.Entry, 0, len(items))
	for _, m := range item.DecodeAll[wire.UpstreamRenewal](l, kindRenewal, origin, items) {
		renewals = append(renewals, roster.Entry{
			LastHeartbeat: heartbeatTime(m.SilenceMs, now), Instance: roster.Instance{ID: m.Id, Born: m.Born},
		})
	}
	return renewals
}

// heartbeatTime returns the time of the last heartbeat on the local clock.
func heartbeatTime(silenceMs int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(silenceMs, 0)) * time.Millisecond)
}

// encodeLimits returns the items for rate limits, with the age of what was heard in place of its time.
func encodeLimits(log *item.Log, limits []quota.Limit, now time.Time) [][]byte {
	messages := make([]*wire.UpstreamLimit, 0, len(limits))
	for _, l := range limits {
		messages = append(messages, &wire.UpstreamLimit{
			Id: l.Upstream, Born: l.Born, Service: l.Service, Named: l.IsNamed, PerSecond: l.PerSecond,
			AgeMs: now.Sub(l.Heard).Milliseconds(),
		})
	}
	return item.EncodeAll(log, kindLimit, (*wire.UpstreamLimit).GetId, messages)
}

// decodeLimits returns the rate limits of items. Those that no upstream can have named are left out.
func decodeLimits(log *item.Log, origin string, items [][]byte, now time.Time) []quota.Limit {
	limits := make([]quota.Limit, 0, len(items))
	for _, m := range item.DecodeAll[wire.UpstreamLimit](log, kindLimit, origin, items) {
		if !(m.PerSecond >= 0) || math.IsInf(m.PerSecond, 1) {
			continue
		}
		limits = append(limits, quota.Limit{
			Upstream: m.Id, Born: m.Born, Service: m.Service, Heard: heartbeatTime(m.AgeMs, now),
			RateLimit: availability.RateLimit{IsNamed: m.Named, PerSecond: m.PerSecond},
		})
	}
	return limits
}

// decodeGrants returns the grants in the answer to a request that was sent at the given time.
func decodeGrants(log *item.Log, origin string, items [][]byte, asked time.Time) []quota.Grant {
	grants := make([]quota.Grant, 0, len(items))
	for _, m := range item.DecodeAll[wire.QuotaGrant](log, kindGrant, origin, items) {
		grants = append(grants, quota.Grant{Upstream: m.Id, Born: m.Born, Requests: int(m.Requests), IsCold: m.Cold, Asked: asked})
	}
	return grants
}
