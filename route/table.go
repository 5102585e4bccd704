package route

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Table looks up routes, services and organisations in a time that does not depend on their number. It is immutable and
// safe for concurrent use.
type Table struct {
	configuration *Configuration
	hosts         map[string]map[string]*Route
	services      map[string]*Service
	keys          map[string]*Organisation
	priorities    map[string][]Priority
}

// NewTable returns the lookup table of a configuration, which must have passed Check.
func NewTable(c *Configuration) *Table {
	t := &Table{
		configuration: c,
		hosts:         map[string]map[string]*Route{},
		services:      make(map[string]*Service, len(c.Services)),
		keys:          map[string]*Organisation{},
		priorities:    c.streamPriorities(),
	}
	for i := range c.Routes {
		t.addRoute(&c.Routes[i])
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.keys[key] = &c.Organisations[i]
		}
	}
	return t
}

func (t *Table) addRoute(r *Route) {
	host := normaliseHost(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = map[string]*Route{}
	}
	t.hosts[host][r.Prefix] = r
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Configuration returns the configuration that the table was built from.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Route returns the route of the host with the longest prefix of the path, or nil. Only prefixes that end with a slash
// and the whole path match.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.hosts[normaliseHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r := prefixes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// MinGapObjective returns the smallest GapObjective of the routes to the service, or 0 if none has one.
func (t *Table) MinGapObjective(service string) time.Duration {
	shortest := time.Duration(0)
	for i := range t.configuration.Routes {
		r := &t.configuration.Routes[i]
		isRouted := slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service })
		if isRouted && r.GapObjective > 0 && (shortest == 0 || r.GapObjective < shortest) {
			shortest = r.GapObjective
		}
	}
	return shortest
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns the organisation that a key belongs to, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// NeedsKeys reports whether requests must carry keys, which is so as soon as the configuration has organisations.
func (t *Table) NeedsKeys() bool { return len(t.configuration.Organisations) > 0 }

// Choose returns the service for a request of the route. A point drawn uniformly from [0, 1) selects services by their
// weights.
func (r *Route) Choose(point float64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	remainder := point * float64(total)
	chosen := ""
	for _, share := range r.Split {
		if share.Weight == 0 {
			continue
		}
		chosen = share.Service
		remainder -= float64(share.Weight)
		if remainder < 0 {
			break
		}
	}
	return chosen
}

// normaliseHost returns a host in lower case and without port.
func normaliseHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
