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

// upstreams.go starts the fake upstreams of the inventory and the sidecars beside them.

func (d *Dev) addUpstreams(replicas []settings.Replica) error {
	for _, up := range d.owned.Upstreams {
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
		p, err := d.process(&settings.Settings{
			Name: up.Name, Listen: loopback, FailureDomain: up.FailureDomain, Replicas: replicas, Sidecar: role,
		})
		if err != nil {
			return err
		}
		d.sidecars = append(d.sidecars, p)
	}
	return nil
}

// joinGroup gives an upstream its part of the fake ranks of its group, which the first upstream starts. Each
// upstream has the same number of ranks, so that there may be spares.
func (d *Dev) joinGroup(role *settings.Sidecar, up inventory.Upstream) error {
	described, isMember := d.owned.Group(up.Group)
	if !isMember {
		return nil
	}
	members := 0
	for _, other := range d.owned.Upstreams {
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
	role.Group, role.Ranks, role.RanksEngine, role.FirstRank = up.Group, each, group.ranks.Address(), group.next
	group.next += each
	return nil
}

// startFake starts the fake upstream behind a sidecar.
func (d *Dev) startFake(up inventory.Upstream) (kind, address string, err error) {
	for _, service := range up.Services {
		if _, isModel := d.owned.Model(service); isModel {
			e := fake.NewEngine(fake.EngineSettings{
				Name: up.Name, Model: service, Slots: slots, Step: stepTime, PerRequest: stepPerRequest, CrashWord: deadlyWord,
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

// reviveEngines restarts fake engines that a request has killed.
func (d *Dev) reviveEngines(ctx context.Context) {
	ticker := time.NewTicker(engineRestart)
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
