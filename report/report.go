// Package report generates the weekly report from the durable records of control: configuration changes and their
// causes, changes of expert maps with their skew and cost, upstream failures and quarantine, membership, and the
// outcomes of requests by organisation and service. It reads nothing but the records, so a report for the same period
// is the same after every restart. New builds a Report; WriteText and WriteHTML print it.
package report

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"time"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/operator"
)

// Kinds and figures of the records that a report uses.
const (
	kindConfiguration = "configuration"
	kindMembership    = "membership"
	kindSwitch        = "switch"
	kindDeath         = "death"
	kindQuarantine    = "quarantine"
	figureSkew        = "skew"
	figureExpected    = "skew expected"
)

// movedGBPattern matches the moved gigabytes in the decision of a map change, such as "move 12 replicas (3.5 GB)".
var movedGBPattern = regexp.MustCompile(`\(([0-9.]+) GB\)`)

// Report holds the contents of a report.
type Report struct {
	From, To time.Time
	// First is the time of the first record; From when there is none.
	First time.Time
	// Records is the number of records between From and To.
	Records int
	Changes []Change
	Maps    []MapChange
	// NotNow counts, by group and cause, the decisions not to change an expert map.
	NotNow     []Tally
	Switches   []Line
	Deaths     []Line
	Quarantine []Line
	Membership []Tally
	Traffic    []Traffic
	// Skew holds the recorded skew of each group.
	Skew []Series
	// Outcomes holds, by outcome, the number of requests in each traffic record that were not answered.
	Outcomes []Series
}

// New returns the report on the records between two times. The records must be in the order of their time.
func New(records []operator.Record, from, to time.Time) Report {
	r := Report{From: from, To: to, First: from}
	for _, record := range records {
		if at := timeOf(record); at.Before(from) || at.After(to) {
			continue
		}
		if r.Records == 0 {
			r.First = timeOf(record)
		}
		r.Records++
		r.add(record)
	}
	slices.SortStableFunc(r.NotNow, byCount)
	slices.SortStableFunc(r.Membership, byCount)
	slices.SortFunc(r.Traffic, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(b.sum(), a.sum()), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Service, b.Service))
	})
	return r
}

func byCount(a, b Tally) int { return cmp.Compare(b.Count, a.Count) }

func (r *Report) add(record operator.Record) {
	switch record.Kind {
	case kindConfiguration:
		r.addChange(record)
	case balance.KindMap:
		r.addMap(record)
		r.addSkew(record)
	case balance.KindNotNow:
		r.NotNow = addTally(r.NotNow, Tally{Subject: record.Subject, Decision: record.Decision, Cause: record.Cause})
		r.addSkew(record)
	case kindSwitch:
		r.Switches = append(r.Switches, lineOf(record))
	case kindDeath:
		r.Deaths = append(r.Deaths, lineOf(record))
	case kindQuarantine:
		r.Quarantine = append(r.Quarantine, lineOf(record))
	case kindMembership:
		r.Membership = addTally(r.Membership, Tally{Subject: record.Subject, Decision: record.Decision})
	case control.KindTraffic:
		r.addTraffic(record)
	}
}

// addChange adds a submission, or marks an earlier one as in force.
func (r *Report) addChange(record operator.Record) {
	at := timeOf(record)
	if record.Decision == control.StateInForce {
		for i := range r.Changes {
			c := &r.Changes[i]
			if c.ChangeID == record.ChangeID && c.State == control.StateAccepted {
				c.State, c.InForceMs = record.Decision, at.Sub(c.Time).Milliseconds()
			}
		}
		return
	}
	r.Changes = append(r.Changes, Change{
		Time: at, ChangeID: record.ChangeID, Subject: record.Subject, State: record.Decision, Cause: record.Cause,
	})
}

func (r *Report) addMap(record operator.Record) {
	m := MapChange{
		Time: timeOf(record), Group: record.Subject, Record: recordName(record), Decision: record.Decision, Cause: record.Cause,
		Rule: record.Rule,
	}
	m.SkewBefore, _ = figureValue(record, figureSkew)
	m.SkewExpected, _ = figureValue(record, figureExpected)
	if found := movedGBPattern.FindStringSubmatch(record.Decision); found != nil {
		m.MovedGB, _ = strconv.ParseFloat(found[1], 64)
	}
	r.Maps = append(r.Maps, m)
}

func (r *Report) addSkew(record operator.Record) {
	if skew, known := figureValue(record, figureSkew); known {
		r.Skew = addPoint(r.Skew, record.Subject, Point{timeOf(record), skew})
	}
}

func (r *Report) addTraffic(record operator.Record) {
	counts := map[string]float64{}
	for _, f := range record.Figures {
		c, ok := control.ParseTrafficCount(f.Name)
		if !ok {
			continue
		}
		t := r.traffic(c.Organisation, c.Service)
		switch c.Outcome {
		case "NotRun":
			t.NotRun += uint64(f.Value)
		case "Ran":
			t.Ran += uint64(f.Value)
		case "Unknown":
			t.Unknown += uint64(f.Value)
		default:
			t.Answered += uint64(f.Value)
		}
		counts[c.Outcome] += f.Value
	}
	for _, outcome := range []string{"NotRun", "Ran", "Unknown"} {
		r.Outcomes = addPoint(r.Outcomes, outcome, Point{timeOf(record), counts[outcome]})
	}
}

func (r *Report) traffic(organisation, service string) *Traffic {
	for i := range r.Traffic {
		if r.Traffic[i].Organisation == organisation && r.Traffic[i].Service == service {
			return &r.Traffic[i]
		}
	}
	r.Traffic = append(r.Traffic, Traffic{Organisation: organisation, Service: service})
	return &r.Traffic[len(r.Traffic)-1]
}

// MovedGB returns the size of the weights that ranks loaded for all map changes.
func (r Report) MovedGB() float64 {
	sum := 0.0
	for _, m := range r.Maps {
		sum += m.MovedGB
	}
	return sum
}

func addTally(tallies []Tally, next Tally) []Tally {
	for i, t := range tallies {
		if t.Subject == next.Subject && t.Decision == next.Decision && t.Cause == next.Cause {
			tallies[i].Count++
			return tallies
		}
	}
	next.Count = 1
	return append(tallies, next)
}

func addPoint(all []Series, name string, p Point) []Series {
	for i := range all {
		if all[i].Name == name {
			all[i].Points = append(all[i].Points, p)
			return all
		}
	}
	return append(all, Series{Name: name, Points: []Point{p}})
}

func figureValue(record operator.Record, name string) (float64, bool) {
	for _, f := range record.Figures {
		if f.Name == name {
			return f.Value, true
		}
	}
	return 0, false
}

func lineOf(record operator.Record) Line {
	return Line{Time: timeOf(record), Record: recordName(record), Subject: record.Subject, Decision: record.Decision, Cause: record.Cause}
}

func recordName(record operator.Record) string { return fmt.Sprintf("record-%d", record.Index) }

func timeOf(record operator.Record) time.Time { return time.UnixMilli(record.TimeMs).UTC() }
