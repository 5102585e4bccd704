package forward

import (
	"net/http"
	"time"

	"guavahitch.example/guavahitch/availability"
)

// This file records what upstreams say of themselves in their responses.

// hearNotice records what the head of a response says of the upstream. A response with status 421 comes from another
// upstream at the same address.
func (a *attempt) hearNotice(response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	now := time.Now()
	names := a.job.server.settings.Headers
	heard := availability.ReadNotice(response, names.Notice, now)
	if a.job.id == "" || response.Header.Get(names.RequestID) != a.job.id {
		// The response may be an earlier one, so a limit that it does not name may be named still.
		heard.IsRateLimitUnknown = !heard.RateLimit.IsNamed
	}
	before, after := a.upstream.update(func(s availability.State) availability.State {
		return s.WithNotice(a.started, now, heard)
	})
	isBreach := before.IsInBackoff(a.started, now)
	isNews := heard.IsLeaving && !before.IsLeaving() || heard.Backoff > 0 && !before.IsBackingOff(now)
	isLimitChange := before.RateLimit() != after.RateLimit()
	if isLimitChange {
		a.job.server.fleet.quotas.setUnreported(a.upstream.Instance().ID)
	}
	if isNews || isLimitChange || isBreach {
		a.reportNotice(heard, before.RateLimit(), isBreach)
	}
}

// reportNotice calls Settings.OnNotice.
func (a *attempt) reportNotice(heard availability.Notice, earlierLimit availability.RateLimit, isBreach bool) {
	report := a.job.server.settings.OnNotice
	if report == nil {
		return
	}
	instance := a.upstream.Instance()
	report(Notice{
		Notice: heard, EarlierLimit: earlierLimit, Request: a.job.id, Service: a.job.service, Upstream: instance.ID,
		Born: instance.Born, IsBreach: isBreach,
	})
}
