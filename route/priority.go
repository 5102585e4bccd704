package route

import (
	"cmp"
	"slices"
)

// Priority orders the requests of one service: by the priority of the organisation, or of the route if the organisation names
// none, and within that by the priority of the route. 0 is the most urgent.
type Priority struct{ First, Route int }

// PriorityOf returns the priority of the requests of an organisation on the route. The organisation is nil for a request
// without a key.
func (r *Route) PriorityOf(o *Organisation) Priority {
	if o != nil && o.HasPriority {
		return Priority{First: o.Priority, Route: r.Priority}
	}
	return Priority{First: r.Priority, Route: r.Priority}
}

// compare returns a negative number if p is more urgent than other.
func (p Priority) compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.First, other.First), cmp.Compare(p.Route, other.Route))
}

// HasPriorities reports whether routes of streams to the service differ in their priority. Priorities of organisations alone
// have no effect.
func (t *Table) HasPriorities(service string) bool {
	priorities := t.priorities[service]
	return slices.ContainsFunc(priorities, func(p Priority) bool { return p.Route != priorities[0].Route })
}

// PriorityIndex returns the number of different priorities of streams to the service that are more urgent.
func (t *Table) PriorityIndex(service string, priority Priority) int {
	index, _ := slices.BinarySearchFunc(t.priorities[service], priority, Priority.compare)
	return index
}

// streamPriorities returns the different priorities that streams to each service may have, the most urgent first.
func (c *Configuration) streamPriorities() map[string][]Priority {
	priorities := map[string][]Priority{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != Stream {
			continue
		}
		possible := r.possiblePriorities(c.Organisations)
		for _, share := range r.Split {
			priorities[share.Service] = append(priorities[share.Service], possible...)
		}
	}
	for service, list := range priorities {
		slices.SortFunc(list, Priority.compare)
		priorities[service] = slices.Compact(list)
	}
	return priorities
}

// possiblePriorities returns the priorities that requests of the route may have, with repetitions.
func (r *Route) possiblePriorities(organisations []Organisation) []Priority {
	if r.IsOpen || len(organisations) == 0 {
		return []Priority{r.PriorityOf(nil)}
	}
	possible := make([]Priority, 0, len(organisations))
	for i := range organisations {
		possible = append(possible, r.PriorityOf(&organisations[i]))
	}
	slices.SortFunc(possible, Priority.compare)
	return slices.Compact(possible)
}
