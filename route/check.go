package route

import "fmt"

// Invalid is the error for a configuration that is refused.
type Invalid struct {
	// Subject is the route, service or organisation at fault.
	Subject string
	Detail  string
}

// Error returns the subject and the detail.
func (e *Invalid) Error() string { return e.Subject + ": " + e.Detail }

// Check returns an *Invalid for the first fault that makes the configuration unusable, or nil.
func (c *Configuration) Check() error {
	services := map[string]bool{}
	for _, service := range c.Services {
		services[service.Name] = true
	}
	routesByPrefix := map[[2]string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		prefix := [2]string{normaliseHost(r.Host), r.Prefix}
		if other, isTaken := routesByPrefix[prefix]; isTaken {
			return &Invalid{Subject: "route " + r.Name, Detail: "has the host and prefix of route " + other}
		}
		routesByPrefix[prefix] = r.Name
	}
	return c.checkKeys()
}

// check checks the split and the timeout of a route.
func (r *Route) check(services map[string]bool) error {
	subject := "route " + r.Name
	total := 0
	for _, share := range r.Split {
		if !services[share.Service] {
			return &Invalid{Subject: subject, Detail: fmt.Sprintf("service %q is not known", share.Service)}
		}
		if share.Weight < 0 {
			return &Invalid{Subject: subject, Detail: fmt.Sprintf("weight %d is negative", share.Weight)}
		}
		total += share.Weight
	}
	if total == 0 {
		return &Invalid{Subject: subject, Detail: "the weights add up to 0"}
	}
	if r.Timeout <= 0 {
		return &Invalid{Subject: subject, Detail: "the timeout has to be positive"}
	}
	return nil
}

// checkKeys refuses a key that belongs to two organisations.
func (c *Configuration) checkKeys() error {
	holders := map[string]string{}
	for _, organisation := range c.Organisations {
		for _, key := range organisation.Keys {
			holder, isHeld := holders[key]
			if isHeld && holder != organisation.Name {
				return &Invalid{Subject: "organisation " + organisation.Name, Detail: "shares a key with " + holder}
			}
			holders[key] = organisation.Name
		}
	}
	return nil
}
