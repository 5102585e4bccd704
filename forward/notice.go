package forward

import (
	"net/http"
	"time"

	"guavahitch.example/guavahitch/availability"
)

// This file records what upstreams say of themselves in their responses: that they leave, and that they want no requests
// for a time.

// hearNotices records what the head of a response says of the upstream. A response with status 421 comes from another
// upstream at the same address.
func (a *attempt) hearNotices(response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	now := time.Now()
	if leaving := response.Header.Get(a.job.server.settings.Headers.Leaving); leaving != "" && leaving != "0" {
		a.hearLeaving(now)
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		return
	}
	if length, isValid := availability.ParseRetryAfter(response.Header, now); isValid && length > 0 {
		a.hearClosure(now, length)
	}
}

func (a *attempt) hearLeaving(now time.Time) {
	wasLeaving := a.upstream.State().IsLeaving()
	a.upstream.update(func(s availability.State) availability.State { return s.WithLeaving(now) })
	if !wasLeaving {
		a.reportNotice(Notice{IsLeaving: true})
	}
}

func (a *attempt) hearClosure(now time.Time, length time.Duration) {
	wasClosed := a.upstream.State().IsClosed(now)
	a.upstream.update(func(s availability.State) availability.State { return s.WithClosure(now, length) })
	if !wasClosed {
		a.reportNotice(Notice{ClosedFor: length})
	}
}

// reportNotice calls Settings.OnNotice.
func (a *attempt) reportNotice(notice Notice) {
	report := a.job.server.settings.OnNotice
	if report == nil {
		return
	}
	instance := a.upstream.Instance()
	notice.Request, notice.Service = a.job.id, a.job.service
	notice.Upstream, notice.Born = instance.ID, instance.Born
	report(notice)
}
