package soak_test

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// malformedPercent is the chance that another sender sends a malformed message in a step.
const malformedPercent = 40

// malformedIDs are IDs that no upstream has: not UTF-8, with control characters, long.
var malformedIDs = []string{"i-\xff\x80", "i-\xed\xa0\x80", "i-\x00\n", strings.Repeat("i", 5000), "i-7c\xff-%d"}

// malformedBodies are bodies of heartbeats, some of them well formed.
var malformedBodies = []string{
	`{"backend":"unknown","address":"10.9.9.9:80","zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"born":17,"sequence":1}`,
	`{"backend":"unknown","address":"10.9.9.9:80","zone":"z","version":"v1","slots":4,"state":"draining","coldRemainingMs":0,"born":17,"sequence":2}`,
	`{"backend":"unknown","address":"::1:8169","zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"born":9223372036854775807,"sequence":1}`,
	"{\"backend\":\"unknown\",\"address\":\"10.9.9.9:80\",\"zone\":\"\xff\x80\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":17,\"sequence\":1}",
	`[[[[[[`, ``,
}

// incompleteHeartbeat returns a heartbeat that names the address of an upstream with a later start, and lacks fields.
func (w *cluster) incompleteHeartbeat() string {
	u := w.upstreams[w.malformed.intN(len(w.upstreams))]
	return fmt.Sprintf(`{"backend":"ledger","address":%q,"state":"ready","born":%d}`, u.proxy.address(), time.Now().UnixMilli())
}

// sendMalformedMessage sends a malformed heartbeat or departure of another sender. Whatever it is, configurations must go on to come into force
// and upstreams to be used, which the other checks show.
func (w *cluster) sendMalformedMessage() {
	if w.malformed.chance(30) {
		w.recordStep("incomplete heartbeat of another sender")
		w.sendMalformed("agent", "heartbeat", w.incompleteHeartbeat())
		return
	}
	id := malformedIDs[w.malformed.intN(len(malformedIDs))]
	if strings.Contains(id, "%d") {
		id = fmt.Sprintf(id, w.malformed.intN(1000))
	}
	body, verb := malformedBodies[w.malformed.intN(len(malformedBodies))], "heartbeat"
	if w.malformed.chance(30) {
		verb, body = "deregister", ""
	}
	w.recordStep("malformed %s of %.20q", verb, id)
	w.sendMalformed(id, verb, body)
}

// sendMalformed sends a message to each control process.
func (w *cluster) sendMalformed(id, verb, body string) {
	for _, control := range w.controls {
		address := fmt.Sprintf("http://%s:%d/instances/%s/%s", control.ip, controlPort, url.PathEscape(id), verb)
		// A control process that is down or paused does not answer.
		response, err := w.client.Post(address, "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusInternalServerError {
			w.reportViolation("control %s answers %d to an malformed %s of %q", control.ip, response.StatusCode, verb, id)
		}
	}
}
