package registry

import (
	"net/url"
	"strconv"
	"time"

	"guavahitch.example/guavahitch/quota"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// This file divides the cold bounds among the entries: the leader grants requests, and all replicas tell how many entries
// there are. An entry tells a replica the largest number that it knows, so that a replica which has restarted knows it too.

const (
	// nameField is the query parameter with the name of an entry.
	nameField = "Name"
	// entriesField and entriesAgeField are the query parameters with the largest number of entries that an entry knows, and
	// the time since it was observed in milliseconds.
	entriesField    = "Entries"
	entriesAgeField = "EntriesAgeMs"
)

// grantCold grants an entry requests beyond its shares of the cold bounds of a service.
func (r *Replica) grantCold(now time.Time, entry string, d *wire.QuotaDemand) []quota.Grant {
	table := r.Table()
	if d.Cold <= 0 || table == nil {
		return nil
	}
	service := table.Service(d.Service)
	if service == nil {
		return nil
	}
	bound := r.settings.Cold.Bound(service.ColdPerSecond)
	if bound.IsZero() {
		return nil
	}
	return r.allocator.GrantCold(now, entry, d.Service, int(d.Cold), bound, r.coldTargets(d.Service))
}

// coldTargets returns the ready upstreams of a service by ID.
func (r *Replica) coldTargets(service string) []quota.Target {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var targets []quota.Target
	for _, entry := range r.roster.Entries() {
		if i := &entry.Instance; i.Service == service && i.State == roster.Ready {
			targets = append(targets, quota.Target{ID: i.ID, Born: i.Born})
		}
	}
	return targets
}

// enroll records an entry that has connected, with what the query of its stream tells, until the returned function is called.
func (r *Replica) enroll(query url.Values) (leave func()) {
	now, name := time.Now(), query.Get(nameField)
	// Entries of earlier versions tell no number, which counts as none.
	entries, _ := strconv.Atoi(query.Get(entriesField))
	ageMs, _ := strconv.ParseInt(query.Get(entriesAgeField), 10, 64)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.roll.Connect(now, name, quota.Peak{Entries: entries, Seen: heartbeatTime(ageMs, now)})
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.roll.Disconnect(time.Now(), name)
	}
}

// addCount adds to a frame what this replica knows of the number of entries. The caller holds the mutex.
func (r *Replica) addCount(frame *wire.WatchFrame, now time.Time) {
	peak := r.roll.Peak(now)
	frame.MostEntries, frame.MostEntriesAgeMs = int32(peak.Entries), now.Sub(peak.Seen).Milliseconds()
	frame.Settled = now.Sub(r.started) >= quota.SettleTime
}

// hearCount passes on what a frame tells of the number of entries.
func (f *Follower) hearCount(frame *wire.WatchFrame, now time.Time) {
	if f.settings.Quota.OnCount == nil {
		return
	}
	f.settings.Quota.OnCount(now, quota.Count{
		Peak:     quota.Peak{Entries: int(frame.MostEntries), Seen: heartbeatTime(frame.MostEntriesAgeMs, now)},
		IsLeader: frame.LeadingTerm > 0, IsSettled: frame.Settled,
	})
}

// query returns the query of a stream: the name of the follower and, for an entry, its role and the largest number of entries
// that it knows.
func (f *Follower) query(now time.Time) string {
	query := url.Values{nameField: {f.name}}
	if f.settings.IsEntry {
		query.Set(roleField, entryRole)
	}
	if f.settings.Quota.Peak != nil {
		if peak := f.settings.Quota.Peak(); peak.Entries > 0 {
			query.Set(entriesField, strconv.Itoa(peak.Entries))
			query.Set(entriesAgeField, strconv.FormatInt(now.Sub(peak.Seen).Milliseconds(), 10))
		}
	}
	return query.Encode()
}

func encodeGrant(g quota.Grant) *wire.QuotaGrant {
	return &wire.QuotaGrant{Id: g.Upstream, Born: g.Born, Requests: int32(g.Requests), Cold: g.IsCold}
}
