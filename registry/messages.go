package registry

import (
	"time"

	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// announcedOf returns the message that tells of an entry of the roster.
func announcedOf(entry *roster.Entry, now time.Time) *wire.AnnouncedUpstream {
	i := &entry.Instance
	return &wire.AnnouncedUpstream{
		Id: i.ID, Born: i.Born, Sequence: i.Sequence, Service: i.Service, Address: i.Address, Domain: i.Domain,
		State: int32(i.State), Slots: int32(i.Slots),
		Group: i.Group.Name, GroupEpoch: i.Group.Epoch, GroupRank: int32(i.Group.Rank),
		GroupSize: int32(i.Group.Size), GroupOpen: i.Group.IsOpen,
		SilenceMs: now.Sub(entry.LastHeartbeat).Milliseconds(),
	}
}

// entryOf returns the entry that a message tells of.
func entryOf(m *wire.AnnouncedUpstream, now time.Time) roster.Entry {
	return roster.Entry{
		LastHeartbeat: heardAt(m.SilenceMs, now),
		Instance: roster.Instance{
			ID: m.Id, Born: m.Born, Sequence: m.Sequence, Service: m.Service, Address: m.Address,
			Domain: m.Domain, State: roster.State(m.State), Slots: int(m.Slots),
			Group: roster.Group{
				Name: m.Group, Epoch: m.GroupEpoch, Rank: int(m.GroupRank), Size: int(m.GroupSize), IsOpen: m.GroupOpen,
			},
		},
	}
}

func renewalOf(entry *roster.Entry, now time.Time) *wire.UpstreamRenewal {
	return &wire.UpstreamRenewal{
		Id: entry.Instance.ID, Born: entry.Instance.Born, SilenceMs: now.Sub(entry.LastHeartbeat).Milliseconds(),
	}
}

func renewedOf(m *wire.UpstreamRenewal, now time.Time) roster.Entry {
	return roster.Entry{LastHeartbeat: heardAt(m.SilenceMs, now), Instance: roster.Instance{ID: m.Id, Born: m.Born}}
}

func heardAt(silenceMs int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(silenceMs, 0)) * time.Millisecond)
}
