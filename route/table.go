package route

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Table finds routes, services and organisations in constant time, however many there are. It is immutable and
// safe for concurrent use.
type Table struct {
	configuration *Configuration
	hosts         map[string]map[string]*Route
	services      map[string]*Service
	keys          map[string]*Organisation
}

// NewTable returns the table of a configuration that passed Check.
func NewTable(c *Configuration) *Table {
	t := &Table{
		configuration: c,
		hosts:         map[string]map[string]*Route{},
		services:      make(map[string]*Service, len(c.Services)),
		keys:          map[string]*Organisation{},
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
	host := foldHost(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = map[string]*Route{}
	}
	t.hosts[host][r.Prefix] = r
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Configuration returns what the table was made from.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Route returns the route of the host whose prefix is the longest that begins the path, or nil.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.hosts[foldHost(host)]
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

// MinGapObjective returns the shortest pause between events that a route of the service wants, 0 for none.
func (t *Table) MinGapObjective(service string) time.Duration {
	least := time.Duration(0)
	for i := range t.configuration.Routes {
		r := &t.configuration.Routes[i]
		isRouted := slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service })
		if isRouted && r.GapObjective > 0 && (least == 0 || r.GapObjective < least) {
			least = r.GapObjective
		}
	}
	return least
}

// Service returns the service of the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns the holder of a key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// NeedsKeys reports whether requests are to carry keys at all.
func (t *Table) NeedsKeys() bool { return len(t.configuration.Organisations) > 0 }

// Choose returns the service for a request of the route; point selects it and lies in [0, 1).
func (r *Route) Choose(point float64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	left := point * float64(total)
	chosen := ""
	for _, share := range r.Split {
		if share.Weight == 0 {
			continue
		}
		chosen = share.Service
		left -= float64(share.Weight)
		if left < 0 {
			break
		}
	}
	return chosen
}

// foldHost returns a host without port, in lower case.
func foldHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
