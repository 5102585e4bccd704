// index.go looks up the parts of an inventory by name and by path.

package inventory

import "strings"

// index maps names, and method and path of routes, to positions in the lists of the inventory.
type index struct {
	upstreams     map[string]int
	groups        map[string]int
	models        map[string]int
	organisations map[string]int
	routes        map[string]routePosition
}

type routePosition struct{ service, route int }

func newIndex(i *Inventory) index {
	x := index{
		upstreams:     make(map[string]int, len(i.Upstreams)),
		groups:        make(map[string]int, len(i.Groups)),
		models:        make(map[string]int, len(i.Models)),
		organisations: make(map[string]int, len(i.Organisations)),
		routes:        make(map[string]routePosition),
	}
	for n, u := range i.Upstreams {
		x.upstreams[u.Name] = n
	}
	for n, g := range i.Groups {
		x.groups[g.Name] = n
	}
	for n, m := range i.Models {
		x.models[m.Name] = n
	}
	for n, o := range i.Organisations {
		x.organisations[o.Name] = n
	}
	for n, s := range i.Services {
		for k, r := range s.Routes {
			x.routes[r.Method+" "+r.Path] = routePosition{n, k}
		}
	}
	return x
}

// Upstream returns the upstream with the name.
func (i *Inventory) Upstream(name string) (Upstream, bool) {
	return find(i.index.upstreams, i.Upstreams, name)
}

// Group returns the group with the name.
func (i *Inventory) Group(name string) (Group, bool) { return find(i.index.groups, i.Groups, name) }

// Model returns the model with the name.
func (i *Inventory) Model(name string) (Model, bool) { return find(i.index.models, i.Models, name) }

// Organisation returns the organisation with the name.
func (i *Inventory) Organisation(name string) (Organisation, bool) {
	return find(i.index.organisations, i.Organisations, name)
}

func find[T any](positions map[string]int, list []T, name string) (T, bool) {
	n, ok := positions[name]
	if !ok {
		var zero T
		return zero, false
	}
	return list[n], true
}

// Route returns the service and the route of a request. The route is that of the exact path, or else of the longest
// declared path above it that ends with "/". Of two routes with the same path, the one for the request's method takes
// precedence over the one for any method.
func (i *Inventory) Route(method, path string) (Service, Route, bool) {
	for candidate := path; candidate != ""; candidate = parent(candidate) {
		for _, m := range []string{method, ""} {
			if p, ok := i.index.routes[m+" "+candidate]; ok {
				return i.Services[p.service], i.Services[p.service].Routes[p.route], true
			}
		}
	}
	return Service{}, Route{}, false
}

// parent returns the path up to and including the last '/' before its end, or the empty string.
func parent(path string) string {
	return path[:strings.LastIndexByte(path[:len(path)-1], '/')+1]
}
