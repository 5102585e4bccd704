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
	heard := availability.ReadNotice(response, a.job.server.settings.Headers.Leaving, now)
	if heard == (availability.Notice{}) {
		return
	}
	before := a.upstream.update(func(s availability.State) availability.State { return s.WithNotice(now, heard) })
	if heard.IsLeaving && !before.IsLeaving() || heard.Backoff > 0 && !before.IsBackingOff(now) {
		a.reportNotice(heard)
	}
}

// reportNotice calls Settings.OnNotice.
func (a *attempt) reportNotice(heard availability.Notice) {
	report := a.job.server.settings.OnNotice
	if report == nil {
		return
	}
	instance := a.upstream.Instance()
	report(Notice{
		Notice: heard, Request: a.job.id, Service: a.job.service, Upstream: instance.ID, Born: instance.Born,
	})
}
