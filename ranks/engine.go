// Package ranks implements the Ranks protocol between the control leader and the sidecars of expert-parallel groups.
// Driver is the sidecar's side: it forwards instructions to the engines behind the sidecar and reports their presence
// and token counts. Manager is the leader's side: it forms groups, replaces ranks, and runs the switches of expert maps
// that the balancer decides on.
package ranks

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/fencing"
	"guavahitch.example/guavahitch/http1"
	"guavahitch.example/guavahitch/mapswitch"
)

// This file holds the client of the engine of one rank. The engine serves JSON over HTTP: GET and POST /ranks/SLOT, and
// GET /ranks/SLOT/counts.

const (
	// engineTimeout is the timeout of one HTTP request to an engine.
	engineTimeout = 2 * time.Second
	// maxEngineAnswer bounds the body of a response of an engine in bytes, maxEngineHead its head.
	maxEngineAnswer = 16 << 20
	maxEngineHead   = 64 << 10
)

type (
	// EngineReport is the answer of a rank's engine to a read or an order.
	EngineReport struct {
		// Number is the highest order number that the engine has seen, 0 when the engine keeps none.
		Number uint64
		// Tokens holds the fencing token of the latest order in each lane.
		Tokens map[string]fencing.Token
		// IsBusy is true while the engine executes an order.
		IsBusy bool
		State  mapswitch.EngineState
	}

	// EngineOrder is an order to the engine of a rank, with its order number and fencing token. An empty Order only
	// raises the highest number that the engine has seen.
	EngineOrder struct {
		Number uint64
		Lane   string
		Token  fencing.Token
		Order  mapswitch.Order
	}

	// EngineCounts holds the token counts of a rank's engine in one counting window.
	EngineCounts struct {
		// Sequence is the number of the window.
		Sequence uint64
		// Layout is the sequence number of the layout under which the tokens were counted.
		Layout uint64
		// Tokens holds the number of tokens of each slot of the rank, by layer and slot.
		Tokens []uint32
		// BusyUs is the busy time in microseconds.
		BusyUs int64
	}

	// engineClient sends requests to the engine of one rank.
	engineClient struct {
		base string
		http *http.Client
	}
)

func newEngineClient(address string, slot int) *engineClient {
	client := http1.NewClient(&http.Transport{MaxResponseHeaderBytes: maxEngineHead})
	client.Timeout = engineTimeout
	return &engineClient{base: fmt.Sprintf("http://%s/ranks/%d", address, slot), http: client}
}

func (c *engineClient) send(ctx context.Context, command fencing.Command) (fencing.Report, error) {
	order := EngineOrder{Number: command.Number, Lane: command.Order.Lane, Token: command.Order.Token}
	if len(command.Order.Payload) > 0 {
		if err := json.Unmarshal(command.Order.Payload, &order.Order); err != nil {
			return fencing.Report{}, eris.Wrap(err, "order")
		}
	}
	body, err := json.Marshal(order)
	if err != nil {
		return fencing.Report{}, eris.Wrap(err, "order")
	}
	return c.report(ctx, http.MethodPost, body)
}

func (c *engineClient) read(ctx context.Context) (fencing.Report, error) {
	return c.report(ctx, http.MethodGet, nil)
}

func (c *engineClient) report(ctx context.Context, method string, body []byte) (fencing.Report, error) {
	var report EngineReport
	if err := c.exchange(ctx, method, "", body, &report); err != nil {
		return fencing.Report{}, err
	}
	state, err := json.Marshal(report.State)
	if err != nil {
		return fencing.Report{}, eris.Wrap(err, "encode engine state")
	}
	return fencing.Report{
		Number: report.Number, Tokens: report.Tokens, IsBusy: report.IsBusy, State: state, Digest: digestOf(report.State),
	}, nil
}

// digestOf returns a digest that changes whenever an order changes the engine's state. Steps advance and
// a pending layout takes effect without an order, so the digest leaves out the step and covers only the newest layout.
func digestOf(state mapswitch.EngineState) uint64 {
	state.Step, state.Layout, state.Pending = 0, 0, state.Newest()
	text, _ := json.Marshal(state)
	return xxhash.Sum64(text)
}

func (c *engineClient) counts(ctx context.Context) (EngineCounts, error) {
	var counts EngineCounts
	return counts, c.exchange(ctx, http.MethodGet, "/counts", nil, &counts)
}

func (c *engineClient) exchange(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "engine")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("engine %s%s answered %s", c.base, path, response.Status)
	}
	limited := io.LimitReader(response.Body, maxEngineAnswer)
	return eris.Wrap(json.NewDecoder(limited).Decode(into), "decode engine's answer")
}
