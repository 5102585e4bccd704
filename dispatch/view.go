package dispatch

import (
	"context"
	"strconv"
	"time"

	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/routing"
	"guavahitch.example/guavahitch/wire"
)

// view.go maintains the entry's copy of control's state: members, inventory, quarantine verdicts and the lease on
// them.

const (
	// watchPause is the delay after a failed watch.
	watchPause = 100 * time.Millisecond
	// roleSidecar is the role of members that run in front of an upstream.
	roleSidecar = "sidecar"
	// roleEntry is the role of members that route requests.
	roleEntry = "entry"
)

// WatchControl watches control and applies each reply until the context ends. No other goroutine may call Use
// meanwhile.
func (d *Dispatcher) WatchControl(ctx context.Context) error {
	for ctx.Err() == nil {
		sent := time.Now()
		wait := lease.RenewInterval
		if d.Holder().RefusesWork(sent) {
			wait = watchPause
		}
		request := d.Holder().Request(d.settings.Entry, wait)
		reply, failure := d.settings.Leader.Watch(ctx, request)
		if failure != nil {
			time.Sleep(watchPause)
			continue
		}
		d.Use(d.Holder().WithReply(reply, sent))
		if reply.Failure != nil {
			time.Sleep(watchPause)
		}
	}
	return ctx.Err()
}

// Use replaces the entry's copy of control's state and updates the picker's table.
func (d *Dispatcher) Use(holder lease.Holder) {
	before := d.Holder()
	if holder.Revision() != before.Revision() {
		d.useInventory(holder)
	}
	d.verdicts.SetVerdicts(holder.Quarantined())
	if holder.View() != before.View() || holder.Revision() != before.Revision() {
		d.picker.Use(d.tableOf(holder))
		d.closeUnusedLinks(holder)
	} else {
		d.picker.Use(d.picker.Table().WithLease(holder.Expires()))
	}
	d.holder.Store(&holder)
	d.wakeGates()
}

func (d *Dispatcher) useInventory(holder lease.Holder) {
	accepted, err := inventory.Parse("inventory", holder.Inventory())
	if err != nil {
		d.settings.Events.Add(&wire.Event{Kind: "inventory-unreadable", Detail: err.Error()})
		return
	}
	d.inventory.Store(accepted)
	d.settings.Scope.Gauge("inventory_revision").Update(float64(holder.Revision()))
	d.settings.Events.Add(&wire.Event{Kind: "inventory-in-force", Detail: "revision " + strconv.FormatUint(holder.Revision(), 10)})
}

// tableOf returns the table of the sidecars among the members. It omits upstreams that are not in the inventory,
// unless the inventory admits unlisted ones.
func (d *Dispatcher) tableOf(holder lease.Holder) routing.Table {
	var upstreams []routing.Upstream
	owned := d.inventory.Load()
	entries := 0
	for _, member := range holder.Members() {
		if member.Role == roleEntry {
			entries++
		}
		if member.Role != roleSidecar {
			continue
		}
		if _, listed := owned.Upstream(member.Name); !listed && !owned.Rules.AdmitUnlisted {
			continue
		}
		upstreams = append(upstreams, routing.UpstreamOf(member))
	}
	d.entries.Store(int64(entries))
	return routing.Table{}.WithLease(holder.Expires()).WithEntries(entries).With(upstreams...)
}

// closeUnusedLinks closes the connections to sidecars that are no longer members.
func (d *Dispatcher) closeUnusedLinks(holder lease.Holder) {
	present := map[string]bool{}
	for _, member := range holder.Members() {
		present[member.Address] = true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for address, link := range d.links {
		if !present[address] {
			link.Close()
			delete(d.links, address)
		}
	}
}
