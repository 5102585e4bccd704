package dev

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/fake"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/ranks"
	"guavahitch.example/guavahitch/settings"
)

// upstreams.go starts a fake upstream for each upstream of the inventory and creates its sidecar.

func (d *Dev) addUpstreams(replicas []settings.Replica) error {
	for _, up := range d.parsedInventory.Upstreams {
		kind, address, err := d.startFake(up)
		if err != nil {
			return err
		}
		role := &settings.Sidecar{
			Engine: address, Kind: kind, Services: up.Services, ChecksFencing: up.ChecksFencing, Running: slots, Queued: queued,
		}
		if err := d.joinGroup(role, up); err != nil {
			return err
		}
		p, err := d.newProcess(&settings.Settings{
			Name: up.Name, Listen: loopback, FailureDomain: up.FailureDomain, Replicas: replicas, Sidecar: role,
		})
		if err != nil {
			return err
		}
		d.sidecars = append(d.sidecars, p)
	}
	return nil
}

// joinGroup assigns to an upstream its share of the fake ranks of its group. The first upstream of the group starts the
// ranks. Every upstream gets the same number of ranks, rounded up, so some ranks may be spares.
func (d *Dev) joinGroup(role *settings.Sidecar, up inventory.Upstream) error {
	described, isMember := d.parsedInventory.Group(up.Group)
	if !isMember {
		return nil
	}
	members := 0
	for _, other := range d.parsedInventory.Upstreams {
		if other.Group == up.Group {
			members++
		}
	}
	each := (described.Ranks + members - 1) / members
	group := d.groups[up.Group]
	if group == nil {
		group = &fakeGroup{ranks: fake.NewRanks(fake.RanksSettings{
			Engines: each * members, Shape: ranks.ShapeOf(described), Step: rankStep, Drift: popularityDrift, Seed: 1,
		})}
		if err := group.ranks.Start(loopback); err != nil {
			return eris.Wrapf(err, "fake ranks of %s", up.Group)
		}
		d.groups[up.Group] = group
	}
	role.Group, role.Ranks, role.RanksEngine, role.FirstRank = up.Group, each, group.ranks.Address(), group.nextSlot
	group.nextSlot += each
	return nil
}

// startFake starts the fake upstream of a sidecar: an engine when the upstream serves a model, else a plain service.
func (d *Dev) startFake(up inventory.Upstream) (kind, address string, err error) {
	for _, service := range up.Services {
		if _, isModel := d.parsedInventory.Model(service); isModel {
			e := fake.NewEngine(fake.EngineSettings{
				Name: up.Name, Model: service, Slots: slots, Step: stepTime, PerRequest: stepPerRequest, CrashWord: crashWord,
			})
			d.engines = append(d.engines, e)
			err := e.Start(loopback)
			return "model", e.Address(), eris.Wrapf(err, "fake engine %s", up.Name)
		}
	}
	s := fake.NewService(fake.ServiceSettings{Name: up.Name, Delay: ledgerDelay})
	d.services = append(d.services, s)
	err = s.Start(loopback)
	return "service", s.Address(), eris.Wrapf(err, "fake service %s", up.Name)
}

// restartEngines restarts fake engines that a request has crashed.
func (d *Dev) restartEngines(ctx context.Context) {
	ticker := time.NewTicker(engineRestartInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, e := range d.engines {
				if e.IsDead() {
					_ = e.Start(e.Address())
				}
			}
		}
	}
}
