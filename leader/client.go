// Package leader is the client for the leader of the control replicas. Entries, sidecars and operator commands call
// control through it. It remembers which replica is the leader, follows the hints of replicas that are not, and tries
// the next replica when a call fails or times out.
package leader

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/http1"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// CallTimeout bounds one attempt of a call, in addition to the wait that the call itself requests.
	CallTimeout = 1500 * time.Millisecond
	// retryDelay is the time before the next attempt when the last one named no leader.
	retryDelay = 50 * time.Millisecond
)

type (
	// Client calls the leader and repeats a call until the leader answers or the context ends. It is safe for
	// concurrent use.
	Client struct {
		mutex     sync.Mutex
		addresses []string
		clients   map[string]wire.Control
		current   int
	}

	// reply is the part that all replies of control have in common: their failure and the address of the leader.
	reply interface {
		GetFailure() *wire.Failure
		GetLeader() string
	}
)

// NewClient returns a client of the replicas at the given IP addresses and ports. The scheme is "http" or
// "https".
func NewClient(scheme string, addresses []string, transport http.RoundTripper) *Client {
	c := &Client{addresses: slices.Clone(addresses), clients: map[string]wire.Control{}}
	for _, address := range addresses {
		c.clients[address] = wire.NewControlProtobufClient(scheme+"://"+address, http1.NewClient(transport))
	}
	return c
}

func (c *Client) target() (string, wire.Control) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address := c.addresses[c.current%len(c.addresses)]
	return address, c.clients[address]
}

// LeaderAddress returns the address of the replica that the client currently treats as the leader.
func (c *Client) LeaderAddress() string {
	address, _ := c.target()
	return address
}

// switchReplica makes the given leader the current replica, or the next replica if that address is unknown. It does
// nothing when a concurrent call has already moved on from the replica from.
func (c *Client) switchReplica(from, leader string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.addresses[c.current%len(c.addresses)] != from {
		return
	}
	if at := slices.Index(c.addresses, leader); at >= 0 {
		c.current = at
		return
	}
	c.current = (c.current + 1) % len(c.addresses)
}

// callLeader repeats a call until the leader answers or the context ends. Each attempt is bounded by wait and
// CallTimeout.
func callLeader[R reply](ctx context.Context, c *Client, step string, wait time.Duration, call func(context.Context, wire.Control) (R, error)) (R, *outcome.Error) {
	var zero R
	for {
		address, client := c.target()
		callContext, cancel := context.WithTimeout(ctx, wait+CallTimeout)
		answer, err := call(callContext, client)
		cancel()
		if err == nil && answer.GetFailure().GetReason() != control.ReasonNotLeader {
			return answer, nil
		}
		if ctx.Err() != nil {
			return zero, outcome.Error{
				Step: step, Peer: address, Outcome: outcome.Unknown, Reason: "no-leader", RetryAfter: time.Second,
			}.WithCause(ctx.Err())
		}
		hint := ""
		if err == nil {
			hint = answer.GetLeader()
		}
		c.switchReplica(address, hint)
		if hint == "" {
			time.Sleep(retryDelay)
		}
	}
}

// Announce registers a process as a member or renews its membership.
func (c *Client) Announce(ctx context.Context, request *wire.AnnounceRequest) (*wire.AnnounceReply, *outcome.Error) {
	return callLeader(ctx, c, "announce", 0, func(ctx context.Context, client wire.Control) (*wire.AnnounceReply, error) {
		return client.Announce(ctx, request)
	})
}

// Watch waits until control's members, inventory or quarantine are newer than those that the request names, at most for
// the request's wait. It also renews the lease on the inventory.
func (c *Client) Watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchReply, *outcome.Error) {
	wait := time.Duration(request.WaitMs) * time.Millisecond
	return callLeader(ctx, c, "watch", wait, func(ctx context.Context, client wire.Control) (*wire.WatchReply, error) {
		return client.Watch(ctx, request)
	})
}

// Submit proposes a revision of the inventory. The change id makes it idempotent, so it can be repeated.
func (c *Client) Submit(ctx context.Context, request *wire.SubmitRequest) (*wire.ChangeStatus, *outcome.Error) {
	return callLeader(ctx, c, "submit", 0, func(ctx context.Context, client wire.Control) (*wire.ChangeStatus, error) {
		return client.Submit(ctx, request)
	})
}

// Change returns the status of a submitted change.
func (c *Client) Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeStatus, *outcome.Error) {
	return callLeader(ctx, c, "change", 0, func(ctx context.Context, client wire.Control) (*wire.ChangeStatus, error) {
		return client.Change(ctx, request)
	})
}

// Claim acquires an idempotency key or returns its current holder. A repeated claim by the same attempt is granted
// again.
func (c *Client) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, *outcome.Error) {
	wait := time.Duration(request.WaitMs) * time.Millisecond
	return callLeader(ctx, c, "claim", wait, func(ctx context.Context, client wire.Control) (*wire.ClaimReply, error) {
		return client.Claim(ctx, request)
	})
}

// Settle stores the outcome of a claimed call.
func (c *Client) Settle(ctx context.Context, request *wire.SettleRequest) (*wire.SettleReply, *outcome.Error) {
	return callLeader(ctx, c, "settle", 0, func(ctx context.Context, client wire.Control) (*wire.SettleReply, error) {
		return client.Settle(ctx, request)
	})
}

// ReportDeath reports which requests an engine was running when it died at a time.
func (c *Client) ReportDeath(
	ctx context.Context, died time.Time, report *wire.DeathReport,
) (*wire.DeathReply, *outcome.Error) {
	return callLeader(ctx, c, "report-death", 0, func(ctx context.Context, client wire.Control) (*wire.DeathReply, error) {
		report.AgeMs = time.Since(died).Milliseconds()
		return client.ReportDeath(ctx, report)
	})
}

// Clear reports that a request suspected of causing an engine's death ran alone to its end.
func (c *Client) Clear(ctx context.Context, request *wire.ClearRequest) (*wire.ClearReply, *outcome.Error) {
	return callLeader(ctx, c, "clear", 0, func(ctx context.Context, client wire.Control) (*wire.ClearReply, error) {
		return client.Clear(ctx, request)
	})
}

// Records returns the durable records of control's decisions.
func (c *Client) Records(ctx context.Context, request *wire.RecordsRequest) (*wire.RecordsReply, *outcome.Error) {
	return callLeader(ctx, c, "records", 0, func(ctx context.Context, client wire.Control) (*wire.RecordsReply, error) {
		return client.Records(ctx, request)
	})
}
