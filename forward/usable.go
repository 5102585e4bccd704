package forward

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"guavahitch.example/guavahitch/evacuation"
)

// This file decides which upstreams a request may use at all: none in a failure domain that is evacuated, and none outside
// its home regions. It holds for every attempt of the request.

const (
	// ReasonEvacuated is the reason of a Decision about a request that was refused because all upstreams that it could use
	// are in evacuated domains.
	ReasonEvacuated = "evacuated"
	// reasonNoRegion is the reason of a request that was refused because no upstream is in a region that its route and its
	// organisation allow.
	reasonNoRegion = "no upstream in an allowed region"
	// retryAfterEvacuated is the Retry-After of a request that is refused because of an evacuation. Evacuations last much
	// longer than requests, so an early retry would be refused again.
	retryAfterEvacuated = 2 * time.Second
	// drainShare is the part of the evacuation time in which a domain drains. The rest is left for the order to reach the
	// entry.
	drainShare = 0.5
)

// selection restricts the upstreams of one request.
type selection struct {
	// regions and organisationRegions are the regions that the route and the organisation allow. An empty list allows all.
	regions, organisationRegions []string
	// position is the place of the request in a drain, in [0, 1): the request may be sent to a domain while the open share
	// of the domain is larger. It is drawn once for all attempts, so that a request with several attempts is not more
	// likely to reach the domain.
	position float64
}

// SetEvacuations merges a set of evacuated domains that was received with the one in force. It returns the set in force and
// whether its revision has changed.
func (f *Fleet) SetEvacuations(received evacuation.Set) (inForce evacuation.Set, isChanged bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held := *f.evacuations.Load()
	next, isUpdated := held.Merge(received)
	if isUpdated {
		f.evacuations.Store(&next)
	}
	isChanged = next.Revision() != held.Revision()
	if isChanged {
		f.rebuild()
	}
	return next, isChanged
}

// Evacuations returns the set of evacuated domains in force.
func (f *Fleet) Evacuations() evacuation.Set { return *f.evacuations.Load() }

// open returns those of the upstreams whose domain is not evacuated. Groups are judged by them: what is known of a group that
// no request goes to says nothing about the service.
func (f *Fleet) open(upstreams []*Upstream) []*Upstream {
	set := f.evacuations.Load()
	if set.IsEmpty() {
		return upstreams
	}
	return filter(upstreams, func(u *Upstream) bool { return !set.Has(u.Instance().Domain) })
}

// isEvacuated reports whether the domain of an upstream is evacuated or drains.
func (f *Fleet) isEvacuated(u *Upstream) bool { return f.evacuations.Load().Has(u.Instance().Domain) }

// filter returns the upstreams that are kept, in a new slice.
func filter(upstreams []*Upstream, isKept func(*Upstream) bool) []*Upstream {
	kept := make([]*Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if isKept(u) {
			kept = append(kept, u)
		}
	}
	return kept
}

// restrict sets the home regions of the request.
func (j *job) restrict(organisationRegions []string) {
	j.selection.regions, j.selection.organisationRegions = j.route.Regions, organisationRegions
}

// mayUse reports whether the request may be sent to the upstream: the upstream is in an allowed region, and its domain is not
// evacuated or still takes this request while it drains.
func (j *job) mayUse(u *Upstream, now time.Time) bool {
	domain := u.Instance().Domain
	return j.allowsRegion(domain) && j.drainsLater(domain, now)
}

// allowsRegion reports whether the region of a domain is allowed. An unknown domain belongs to no region.
func (j *job) allowsRegion(domain string) bool {
	if len(j.selection.regions) == 0 && len(j.selection.organisationRegions) == 0 {
		return true
	}
	region, isKnown := j.server.settings.Regions[domain]
	return isKnown && isListed(j.selection.regions, region) && isListed(j.selection.organisationRegions, region)
}

func isListed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// drainsLater reports whether the domain takes the request: it is not evacuated, or it drains and has not reached the position
// of the request.
func (j *job) drainsLater(domain string, now time.Time) bool {
	set := j.server.fleet.evacuations.Load()
	return set.IsEmpty() || j.selection.position < set.OpenShare(domain, now, j.server.settings.DomainDrainTime())
}

// DomainDrainTime returns the time in which the load of an evacuated domain decreases to nothing.
func (s Settings) DomainDrainTime() time.Duration {
	return time.Duration(drainShare * float64(cmp.Or(s.EvacuationTime, DefaultEvacuationTime)))
}

// isOpen reports whether the domain of an upstream takes requests: it is not evacuated, or it still drains.
func (f *Fleet) isOpen(u *Upstream, now time.Time) bool {
	set := f.evacuations.Load()
	return set.IsEmpty() || set.OpenShare(u.Instance().Domain, now, f.settings.DomainDrainTime()) > 0
}

// isUnrestricted reports whether the request may use every upstream of its service.
func (j *job) isUnrestricted() bool {
	isInAnyRegion := len(j.selection.regions) == 0 && len(j.selection.organisationRegions) == 0
	return isInAnyRegion && j.server.fleet.evacuations.Load().IsEmpty()
}

// usable returns the upstreams of the service that the request may be sent to.
func (j *job) usable(now time.Time) []*Upstream {
	upstreams := j.server.fleet.Service(j.service)
	if j.isUnrestricted() {
		return upstreams
	}
	return filter(upstreams, func(u *Upstream) bool { return j.mayUse(u, now) })
}

// unusableRefusal returns the refusal of a request whose service has upstreams, none of which it may use. It returns nil if
// there is one that it may use, or the service has none at all.
func (j *job) unusableRefusal(now time.Time) *refusal {
	upstreams := j.server.fleet.Service(j.service)
	mayUse := func(u *Upstream) bool { return j.mayUse(u, now) }
	isInRegion := func(u *Upstream) bool { return j.allowsRegion(u.Instance().Domain) }
	switch {
	case len(upstreams) == 0 || slices.ContainsFunc(upstreams, mayUse):
		return nil
	case slices.ContainsFunc(upstreams, isInRegion):
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonEvacuated, retryAfter: retryAfterEvacuated}
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonNoRegion, retryAfter: retryAfterNoUpstream}
	}
}

// hasUntried reports whether the request may use an upstream other than the given one that it has not tried.
func (j *job) hasUntried(than *Upstream, now time.Time) bool {
	return slices.ContainsFunc(j.usable(now), func(u *Upstream) bool { return u != than && !slices.Contains(j.tried, u) })
}

// hasFaster reports whether the request may use an upstream that is not slow, other than the given one.
func (j *job) hasFaster(than *Upstream, now time.Time) bool {
	return slices.ContainsFunc(j.usable(now), func(u *Upstream) bool { return u != than && !u.currentState().IsSlow() })
}

// ownInFlight returns the requests of this entry that count against the capacity of the upstreams, of which there is at least
// one: all that were admitted without those at other upstreams of the service.
func (g *admission) ownInFlight(upstreams []*Upstream) int64 {
	own, all := int64(g.inFlight), g.server.fleet.Service(upstreams[0].Instance().Service)
	if len(all) == len(upstreams) {
		return own
	}
	for _, u := range all {
		own -= u.inFlight.Load()
	}
	for _, u := range upstreams {
		own += u.inFlight.Load()
	}
	return max(own, 0)
}
