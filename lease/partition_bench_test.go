package lease_test

import (
	"fmt"
	"testing"
	"time"

	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/wire"
)

const (
	partitionProcesses = 100
	partitionCutOff    = 25
	partitionLength    = 5 * time.Minute
	partitionStart     = 3*changeInterval - time.Second
	partitionWindow    = 20 * time.Minute
	partitionStep      = 100 * time.Millisecond
	// failoverStart and failoverLength define the time during which no leader renews any lease.
	failoverStart  = 2 * time.Minute
	failoverLength = 2 * time.Second
	// changeInterval corresponds to 770 changes a day.
	changeInterval = 24 * time.Hour / 770
	// repeatableWeight and claimedWeight are the value of a process's requests per second. Claimed requests
	// need the quorum and are lost without it, whatever the lease.
	repeatableWeight = 10.0
	claimedWeight    = 5.0
)

// partition simulates a window of virtual time with one partition, one change of leader and changes at their
// daily rate, with the real lease table and holders.
type partition struct {
	table       *lease.Table
	lease       time.Duration
	holders     []lease.Holder
	now         time.Duration
	revision    uint64
	inForce     uint64
	changedAt   time.Duration
	slowest     time.Duration
	slowChanges int
	changes     int
	lost        float64
	total       float64
}

func (p *partition) clock() time.Time { return time.Unix(0, 0).Add(p.now) }

func (p *partition) isCutOff(process int) bool {
	if p.now >= failoverStart && p.now < failoverStart+failoverLength {
		return true
	}
	return process < partitionCutOff && p.now >= partitionStart && p.now < partitionStart+partitionLength
}

func (p *partition) run() {
	for p.now < partitionWindow {
		if p.now%changeInterval < partitionStep && p.revision == p.inForce {
			p.revision++
			p.changes++
			p.changedAt = p.now
		}
		for n := range p.holders {
			p.stepProcess(n)
		}
		p.declare()
		p.now += partitionStep
	}
}

func (p *partition) stepProcess(n int) {
	cutOff := p.isCutOff(n)
	isTurn := p.now%lease.RenewInterval == time.Duration(n%10)*partitionStep
	if !cutOff && (isTurn || p.holders[n].Revision() < p.revision) {
		p.table.Renew(fmt.Sprint(n), p.revision, p.clock())
		p.holders[n] = p.holders[n].WithReply(&wire.WatchReply{
			Revision: p.revision, Inventory: []byte("{}"), LeaseMs: p.lease.Milliseconds(),
		}, p.clock())
	}
	seconds := partitionStep.Seconds()
	p.total += (repeatableWeight + claimedWeight) * seconds
	if p.holders[n].RefusesWork(p.clock()) {
		p.lost += (repeatableWeight + claimedWeight) * seconds
	} else if cutOff {
		p.lost += claimedWeight * seconds
	}
}

func (p *partition) declare() {
	if p.inForce == p.revision || len(p.table.HoldersBelow(p.revision, p.clock())) > 0 {
		return
	}
	p.inForce = p.revision
	took := p.now - p.changedAt
	p.slowest = max(p.slowest, took)
	if took > 6*time.Second {
		p.slowChanges++
	}
}

// BenchmarkInForcePartition compares lease lengths by the weighted share of requests that are lost and by the
// time until a change is in force. The baseline has no leases: no request is refused, and a change is in force
// when the partition ends.
func BenchmarkInForcePartition(b *testing.B) {
	for _, length := range []time.Duration{
		time.Second, 2 * time.Second, lease.Duration, 30 * time.Second, 10 * time.Minute,
	} {
		name := fmt.Sprintf("lease=%v", length)
		if length > partitionLength {
			name = "lease=none"
		}
		b.Run(name, func(b *testing.B) {
			p := &partition{
				lease: length, table: lease.NewTable().EmptyWithDuration(length),
				holders: make([]lease.Holder, partitionProcesses), revision: 1,
			}
			p.run()
			b.ReportMetric(100*p.lost/p.total, "lost-%")
			b.ReportMetric(p.slowest.Seconds(), "change-max-s")
			b.ReportMetric(float64(p.slowChanges), "changes-over-6s")
			b.ReportMetric(float64(p.changes), "changes")
			b.ReportMetric(0, "ns/op")
		})
	}
}
