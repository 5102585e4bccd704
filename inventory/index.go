// Finding things of an inventory by name and by path.

package inventory

import "strings"

type index struct {
	upstreams     map[string]int
	groups        map[string]int
	models        map[string]int
	organisations map[string]int
	routes        map[string]routePlace
}

type routePlace struct{ service, route int }

func newIndex(i *Inventory) index {
	x := index{
		upstreams:     make(map[string]int, len(i.Upstreams)),
		groups:        make(map[string]int, len(i.Groups)),
		models:        make(map[string]int, len(i.Models)),
		organisations: make(map[string]int, len(i.Organisations)),
		routes:        make(map[string]routePlace),
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
			x.routes[r.Method+" "+r.Path] = routePlace{n, k}
		}
	}
	return x
}

// Upstream returns the upstream of a name.
func (i *Inventory) Upstream(name string) (Upstream, bool) {
	return find(i.index.upstreams, i.Upstreams, name)
}

// Group returns the group of a name.
func (i *Inventory) Group(name string) (Group, bool) { return find(i.index.groups, i.Groups, name) }

// Model returns the model of a name.
func (i *Inventory) Model(name string) (Model, bool) { return find(i.index.models, i.Models, name) }

// Organisation returns the organisation of a name.
func (i *Inventory) Organisation(name string) (Organisation, bool) {
	return find(i.index.organisations, i.Organisations, name)
}

func find[T any](places map[string]int, list []T, name string) (T, bool) {
	n, ok := places[name]
	if !ok {
		var zero T
		return zero, false
	}
	return list[n], true
}

// Route returns the service and the route that a request belongs to: the exact path, else the longest
// declared path above it; a route with the method goes before one for any.
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

// parent returns the path up to and with the last '/' before its end, or the empty string.
func parent(path string) string {
	return path[:strings.LastIndexByte(path[:len(path)-1], '/')+1]
}
