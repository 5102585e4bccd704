package route

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"guavahitch.example/guavahitch/document"
)

const (
	// ItemRoute is one of the routes.
	ItemRoute Item = iota + 1
	// ItemService is one of the services.
	ItemService
	// ItemOrganisation is one of the organisations.
	ItemOrganisation
	// ItemLimits is the limits.
	ItemLimits
)

const (
	// maxFindings bounds the findings of one configuration, maxSuggestions those up to which near names are looked for.
	maxFindings    = 1000
	maxSuggestions = 50
	// maxSuggestedBytes bounds the names for which near ones are looked for.
	maxSuggestedBytes = 64
)

type (
	// Item is a kind of part of a configuration.
	Item int

	// Place is a value in a configuration.
	Place struct {
		Item Item
		// Index is that of the route, service or organisation.
		Index int
		// Field is the name of the field in its Go type, empty for the whole item.
		Field string
		// Element is the index in a list, -1 for the whole field.
		Element int
	}

	// Finding is a fault of a configuration, or a part of it that is probably not meant.
	Finding struct {
		Place  Place
		Detail string
		// IsWarning is set for what Check accepts.
		IsWarning bool
	}

	// finder collects the findings of one configuration.
	finder struct {
		configuration *Configuration
		services      map[string]bool
		findings      []Finding
	}
)

// Findings returns all faults that Check refuses, and warnings about parts that can never match, have no effect or
// contradict each other.
func (c *Configuration) Findings() []Finding {
	f := &finder{configuration: c, services: map[string]bool{}}
	for i := range c.Services {
		f.services[c.Services[i].Name] = true
	}
	f.checkNames()
	f.checkPrefixes()
	used := map[string]bool{}
	for i := range c.Routes {
		f.checkSplit(i, used)
		f.checkMatch(i)
		f.checkTimes(i)
		f.checkKind(i)
		f.checkRegions(i)
	}
	for i := range c.Services {
		f.checkService(i, used)
	}
	f.checkKeys()
	f.checkLimits()
	return f.findings
}

// add adds a finding. At most maxFindings are kept, and as many warnings as leave room for one fault.
func (f *finder) add(isWarning bool, place Place, format string, arguments ...any) {
	if len(f.findings) >= maxFindings || isWarning && len(f.findings) >= maxFindings/2 {
		return
	}
	f.findings = append(f.findings, Finding{Place: place, Detail: fmt.Sprintf(format, arguments...), IsWarning: isWarning})
}

func (f *finder) fault(place Place, format string, arguments ...any) {
	f.add(false, place, format, arguments...)
}

func (f *finder) warn(place Place, format string, arguments ...any) {
	f.add(true, place, format, arguments...)
}

func at(item Item, index int, field string) Place {
	return Place{Item: item, Index: index, Field: field, Element: -1}
}

// checkNames finds names that several items share.
func (f *finder) checkNames() {
	type named struct {
		item Item
		name string
	}
	seen := map[named]bool{}
	check := func(item Item, index int, name, detail string) {
		if seen[named{item, name}] {
			f.warn(at(item, index, "Name"), "%q is listed before; %s", name, detail)
		}
		seen[named{item, name}] = true
	}
	for i := range f.configuration.Routes {
		check(ItemRoute, i, f.configuration.Routes[i].Name, "log lines cannot tell them apart")
	}
	for i := range f.configuration.Services {
		check(ItemService, i, f.configuration.Services[i].Name, "only the last one is used")
	}
	for i := range f.configuration.Organisations {
		check(ItemOrganisation, i, f.configuration.Organisations[i].Name, "log lines cannot tell them apart")
	}
}

func (f *finder) checkPrefixes() {
	holders := map[[2]string]string{}
	for i := range f.configuration.Routes {
		r := &f.configuration.Routes[i]
		prefix := [2]string{normaliseHost(r.Host), r.Prefix}
		if holder, isTaken := holders[prefix]; isTaken {
			f.fault(at(ItemRoute, i, "Prefix"), "has the host and prefix of route %s", holder)
		}
		holders[prefix] = r.Name
	}
}

// checkSplit checks the services of a route, and adds those that get requests to used.
func (f *finder) checkSplit(index int, used map[string]bool) {
	r := &f.configuration.Routes[index]
	total := 0
	listed := map[string]bool{}
	for i, share := range r.Split {
		place := Place{Item: ItemRoute, Index: index, Field: "Split", Element: i}
		if !f.services[share.Service] {
			f.fault(place, "service %q is not known%s", share.Service, f.suggest(share.Service))
		}
		switch {
		case share.Weight < 0:
			f.fault(place, "weight %d is negative", share.Weight)
		case share.Weight == 0 && len(r.Split) > 1:
			f.warn(place, "a weight of 0 gets no requests")
		}
		if listed[share.Service] {
			f.warn(place, "service %q is listed before", share.Service)
		}
		listed[share.Service] = true
		used[share.Service] = used[share.Service] || share.Weight > 0
		total += share.Weight
	}
	if total == 0 {
		f.fault(at(ItemRoute, index, "Split"), "the weights add up to 0")
	}
}

// suggest returns a hint at the service with the nearest name, or nothing.
func (f *finder) suggest(misspelt string) string {
	if len(f.findings) >= maxSuggestions || len(misspelt) > maxSuggestedBytes {
		return ""
	}
	names := slices.Sorted(maps.Keys(f.services))
	if near := document.Nearest(misspelt, names); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	return ""
}

// checkMatch finds hosts and prefixes that no request has.
func (f *finder) checkMatch(index int) {
	r := &f.configuration.Routes[index]
	if host := normaliseHost(r.Host); host == "" || strings.ContainsFunc(host, isNeverInHost) {
		f.warn(at(ItemRoute, index, "Host"), "no request has the host %q: hosts are compared literally", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || strings.ContainsFunc(r.Prefix, isNeverInPath) {
		f.warn(at(ItemRoute, index, "Prefix"), "no request has the path %q: paths begin with / and are compared as they are sent", r.Prefix)
	}
}

func isNeverInHost(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune(`/*?#@\`, r) }

func isNeverInPath(r rune) bool { return r <= ' ' || r > '~' || r == '?' || r == '#' }

// checkTimes finds times that contradict each other.
func (f *finder) checkTimes(index int) {
	r := &f.configuration.Routes[index]
	if r.Timeout <= 0 {
		f.fault(at(ItemRoute, index, "Timeout"), "the timeout has to be positive")
		return
	}
	f.checkTime(index, "Objective", r.Objective)
	f.checkTime(index, "GapObjective", r.GapObjective)
	attempts := max(r.Attempts, 1)
	if r.IsRepeatable() && r.Objective > 0 && r.Objective <= r.Timeout && time.Duration(attempts) > r.Timeout/r.Objective {
		f.warn(at(ItemRoute, index, "Attempts"), "%d attempts of the objective %v do not fit into the timeout %v", attempts, r.Objective, r.Timeout)
	}
}

func (f *finder) checkTime(index int, field string, value time.Duration) {
	timeout := f.configuration.Routes[index].Timeout
	switch {
	case value < 0:
		f.warn(at(ItemRoute, index, field), "%v is negative", value)
	case value > timeout:
		f.warn(at(ItemRoute, index, field), "%v is above the timeout %v", value, timeout)
	}
}

// checkKind finds fields that have no effect for the kind of the route.
func (f *finder) checkKind(index int) {
	r := &f.configuration.Routes[index]
	if r.Kind != Stream && r.GapObjective > 0 {
		f.warn(at(ItemRoute, index, "GapObjective"), "has no effect: the route is no stream")
	}
	if r.Kind != Stream && r.IsResumable {
		f.warn(at(ItemRoute, index, "IsResumable"), "has no effect: the route is no stream")
	}
	if r.Attempts < 0 {
		f.warn(at(ItemRoute, index, "Attempts"), "%d is negative", r.Attempts)
	}
	if r.Priority < 0 {
		f.warn(at(ItemRoute, index, "Priority"), "%d is negative; 0 is the most urgent", r.Priority)
	}
}

// checkRegions finds routes that refuse all requests of an organisation, and reports the first such organisation.
func (f *finder) checkRegions(index int) {
	r := &f.configuration.Routes[index]
	if r.IsOpen || len(r.Regions) == 0 {
		return
	}
	for _, o := range f.configuration.Organisations {
		if len(o.Regions) > 0 && !slices.ContainsFunc(o.Regions, func(region string) bool { return slices.Contains(r.Regions, region) }) {
			f.warn(at(ItemRoute, index, "Regions"), "has no region in common with organisation %s", o.Name)
			return
		}
	}
}

func (f *finder) checkService(index int, used map[string]bool) {
	s := &f.configuration.Services[index]
	if !used[s.Name] {
		f.warn(at(ItemService, index, "Name"), "no route sends requests to service %q", s.Name)
	}
	if s.MaxConnections < 0 {
		f.warn(at(ItemService, index, "MaxConnections"), "%d is negative", s.MaxConnections)
	}
	if s.ColdPerSecond > 0 && s.ColdStart <= 0 {
		f.warn(at(ItemService, index, "ColdPerSecond"), "has no effect without a cold start time")
	}
	if s.Engine != nil && s.Engine.Slots <= 0 {
		f.warn(at(ItemService, index, "Engine"), "an engine without slots admits no streams")
	}
}

func (f *finder) checkKeys() {
	holders := map[string]string{}
	for i := range f.configuration.Organisations {
		o := &f.configuration.Organisations[i]
		if len(o.Keys) == 0 {
			f.warn(at(ItemOrganisation, i, ""), "organisation %q has no keys", o.Name)
		}
		if o.HasPriority && o.Priority < 0 {
			f.warn(at(ItemOrganisation, i, "Priority"), "%d is negative; 0 is the most urgent", o.Priority)
		}
		for k, key := range o.Keys {
			f.checkKey(Place{Item: ItemOrganisation, Index: i, Field: "Keys", Element: k}, key, holders)
			holders[key] = o.Name
		}
	}
}

// checkKey checks one key. Details never hold the key itself, which is a secret.
func (f *finder) checkKey(place Place, key string, holders map[string]string) {
	holder, isHeld := holders[key]
	switch name := f.configuration.Organisations[place.Index].Name; {
	case isHeld && holder != name:
		f.fault(place, "organisation %q shares a key with %s", name, holder)
	case isHeld:
		f.warn(place, "the key is listed before")
	}
	switch {
	case key == "":
		f.warn(place, "an empty key admits requests without a key")
	case key != strings.TrimSpace(key):
		f.warn(place, "no request has a key with spaces around it")
	}
}

func (f *finder) checkLimits() {
	l := f.configuration.Limits
	for _, limit := range []struct {
		field string
		value int64
	}{
		{"HeaderBytes", int64(l.HeaderBytes)},
		{"BodyBytes", l.BodyBytes},
		{"HeaderTimeout", int64(l.HeaderTimeout)},
		{"IdleTimeout", int64(l.IdleTimeout)},
	} {
		if limit.value < 0 {
			f.warn(at(ItemLimits, 0, limit.field), "is negative, which sets no limit")
		}
	}
}
