// parse.go decodes an inventory and checks the rules that involve several fields.

package inventory

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"guavahitch.example/guavahitch/document"
)

// nameLimit is the maximum length of a name, in bytes.
const nameLimit = 63

var (
	namePattern = regexp.MustCompile(fmt.Sprintf(`^[A-Za-z0-9][A-Za-z0-9._-]{0,%d}$`, nameLimit-1))
	nameAllowed = fmt.Sprintf("1 to %d letters, digits, '.', '_' and '-', starting with a letter or digit", nameLimit)
	// reservedPaths are the paths that an entry serves itself.
	reservedPaths = []string{"/v1/", "/healthz", "/readyz", "/metrics"}
)

// Parse reads an inventory, checks it and fills in the defaults. The error is a document.Problems that contains all
// problems with their positions in the file.
func Parse(file string, data []byte) (*Inventory, error) {
	var i Inventory
	decoded := document.Decode(file, data, &i)
	c := &checker{decoded: decoded, inventory: &i}
	c.run()
	if err := decoded.Err(); err != nil {
		return nil, err
	}
	i = i.withDefaults()
	i.index = newIndex(&i)
	return &i, nil
}

// Check returns the problems of an inventory as an error, or nil when there are none.
func Check(data []byte) error {
	_, err := Parse("inventory", data)
	return err
}

// checker runs the checks that involve several fields.
type checker struct {
	decoded   *document.Document
	inventory *Inventory
}

func (c *checker) run() {
	models := c.checkNames("Models", len(c.inventory.Models), func(n int) string { return c.inventory.Models[n].Name })
	groups := c.checkNames("Groups", len(c.inventory.Groups), func(n int) string { return c.inventory.Groups[n].Name })
	services := c.checkNames("Services", len(c.inventory.Services), func(n int) string { return c.inventory.Services[n].Name })
	c.checkNames("Upstreams", len(c.inventory.Upstreams), func(n int) string { return c.inventory.Upstreams[n].Name })
	c.checkNames("Organisations", len(c.inventory.Organisations), func(n int) string { return c.inventory.Organisations[n].Name })
	c.checkGroups(models)
	c.checkUpstreams(groups, slices.Concat(models, services))
	c.checkServices(models)
	c.checkRules()
}

// checkNames reports malformed and duplicate names in a list, and returns all names.
func (c *checker) checkNames(list string, length int, nameOf func(int) string) []string {
	first := make(map[string]int, length)
	names := make([]string, 0, length)
	for n := range length {
		name, path := nameOf(n), fmt.Sprintf("%s[%d].Name", list, n)
		if !c.decoded.Has(path) {
			continue
		}
		if !namePattern.MatchString(name) {
			c.decoded.Add(path, "malformed name", nameAllowed)
		}
		if earlier, twice := first[name]; twice {
			c.decoded.Add(path, fmt.Sprintf("duplicate name, also used by %s[%d]", list, earlier), "a unique name")
			continue
		}
		first[name] = n
		names = append(names, name)
	}
	return names
}

// checkReference reports a reference to a name that is not defined.
func (c *checker) checkReference(path, name, kind string, known []string) {
	if !c.decoded.Has(path) || name == "" || slices.Contains(known, name) {
		return
	}
	text := "no such " + kind
	if near := document.Nearest(name, known); near != "" {
		text += fmt.Sprintf("; did you mean %q?", near)
	}
	c.decoded.Add(path, text, joinNames(known))
}

func joinNames(known []string) string {
	const shown = 20
	if len(known) > shown {
		return fmt.Sprintf("%s and %d more", strings.Join(known[:shown], ", "), len(known)-shown)
	}
	return strings.Join(known, ", ")
}

func (c *checker) checkGroups(models []string) {
	for n, g := range c.inventory.Groups {
		path := fmt.Sprintf("Groups[%d]", n)
		c.checkReference(path+".Model", g.Model, "model", models)
		if g.Ranks > 0 && g.Experts > 0 && g.SpareSlots > g.Experts {
			c.decoded.Add(path+".SpareSlots", "more spare slots than experts", fmt.Sprintf("at most %d", g.Experts))
		}
	}
}

func (c *checker) checkUpstreams(groups, services []string) {
	for n, u := range c.inventory.Upstreams {
		path := fmt.Sprintf("Upstreams[%d]", n)
		c.checkReference(path+".Group", u.Group, "group", groups)
		for k, service := range u.Services {
			inner := fmt.Sprintf("%s.Services[%d]", path, k)
			c.checkReference(inner, service, "model or service", services)
			if slices.Index(u.Services, service) < k {
				c.decoded.Add(inner, "duplicate service", "each service once")
			}
		}
		if c.decoded.Has(path+".FailureDomain") && !namePattern.MatchString(u.FailureDomain) {
			c.decoded.Add(path+".FailureDomain", "malformed name", nameAllowed)
		}
	}
}

func (c *checker) checkServices(models []string) {
	routes := make(map[string]string)
	for n, s := range c.inventory.Services {
		if slices.Contains(models, s.Name) {
			c.decoded.Add(fmt.Sprintf("Services[%d].Name", n), "name is already used by a model", "a unique name")
		}
		for k, r := range s.Routes {
			path := fmt.Sprintf("Services[%d].Routes[%d]", n, k)
			c.checkRoute(path, r)
			declared := r.Method + " " + r.Path
			if earlier, twice := routes[declared]; twice {
				c.decoded.Add(path, "duplicate route; "+earlier+" declares it too", "each method and path once")
			}
			routes[declared] = path
		}
	}
}

func (c *checker) checkRoute(path string, r Route) {
	if !c.decoded.Has(path + ".Path") {
		return
	}
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?# ") {
		c.decoded.Add(path+".Path", "malformed path", "a path that starts with '/', without '?', '#' and spaces")
	}
	for _, reserved := range reservedPaths {
		if r.Path == reserved || strings.HasPrefix(r.Path, strings.TrimSuffix(reserved, "/")+"/") {
			c.decoded.Add(path+".Path", "path is reserved for the entry", "paths outside "+strings.Join(reservedPaths, ", "))
			return
		}
	}
}

func (c *checker) checkRules() {
	r := c.inventory.Rules
	if r.MaxDeadline > 0 && r.DefaultDeadline > r.MaxDeadline {
		c.decoded.Add("Rules.DefaultDeadline", "longer than MaxDeadline", "at most "+r.MaxDeadline.String())
	}
}
