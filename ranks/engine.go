// Package ranks speaks the Ranks protocol: Driver is the sidecar's end, which drives the engines of the ranks
// behind it, and Manager is the control leader's end, which founds groups, replaces ranks, decides when to
// rebalance and runs the switches of expert maps.
package ranks

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/fencing"
	"guavahitch.example/guavahitch/mapswitch"
)

// engine.go speaks JSON over HTTP to the engine of one rank: GET and POST /ranks/SLOT, GET /ranks/SLOT/counts.

// engineTimeout bounds one exchange with an engine.
const engineTimeout = 2 * time.Second

type (
	// EngineReport is what the engine of a rank answers to a read or an order.
	EngineReport struct {
		// Number is the highest order number that the engine has seen; 0 when it keeps none.
		Number uint64
		// Tokens are the fencing tokens of the latest order of each lane.
		Tokens map[string]fencing.Token
		IsBusy bool
		State  mapswitch.EngineState
	}

	// EngineOrder is an order to the engine of a rank.
	EngineOrder struct {
		Number uint64
		Lane   string
		Token  fencing.Token
		Order  mapswitch.Order
	}

	// EngineCounts is what the engine of a rank counted since the last window.
	EngineCounts struct {
		Sequence uint64
		// Layout is the sequence of the layout under which it counted.
		Layout uint64
		// Tokens are the tokens of each slot of the rank, by layer and slot.
		Tokens []uint32
		BusyUs int64
	}

	// engineClient speaks to the engine of one rank.
	engineClient struct {
		base string
		http *http.Client
	}
)

func newEngineClient(address string, slot int) *engineClient {
	return &engineClient{
		base: fmt.Sprintf("http://%s/ranks/%d", address, slot), http: &http.Client{Timeout: engineTimeout},
	}
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
		return fencing.Report{}, eris.Wrap(err, "engine state")
	}
	return fencing.Report{
		Number: report.Number, Tokens: report.Tokens, IsBusy: report.IsBusy, State: state, Digest: digestOf(report.State),
	}, nil
}

// digestOf changes with whatever an order changes; steps go on by themselves and are left out.
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
	return eris.Wrap(json.NewDecoder(response.Body).Decode(into), "engine's answer")
}
