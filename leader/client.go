// Package leader speaks to the leader of the control replicas. Entries, sidecars and operators' verbs call
// control through it: it remembers who leads, follows the hints of the other replicas and moves on when a
// replica stays silent.
package leader

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// CallTimeout bounds a call beyond the wait that it asks for.
	CallTimeout = 1500 * time.Millisecond
	// pause is the time between two tries when no replica leads.
	pause = 50 * time.Millisecond
)

type (
	// Client calls the leader. It is safe for concurrent use.
	Client struct {
		mutex     sync.Mutex
		addresses []string
		clients   map[string]wire.Control
		current   int
	}

	// reply is what every reply of control tells of its own failure and of the leader.
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
		c.clients[address] = wire.NewControlProtobufClient(scheme+"://"+address, &http.Client{Transport: transport})
	}
	return c
}

func (c *Client) target() (string, wire.Control) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address := c.addresses[c.current%len(c.addresses)]
	return address, c.clients[address]
}

// LeaderAddress returns the address of the replica that is taken for the leader.
func (c *Client) LeaderAddress() string {
	address, _ := c.target()
	return address
}

// follow moves on to the named leader, or to the next replica when the name is not known.
func (c *Client) follow(from, leader string) {
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

// ask calls until a replica that leads answers or the context ends.
func ask[R reply](ctx context.Context, c *Client, step string, wait time.Duration, call func(context.Context, wire.Control) (R, error)) (R, *outcome.Error) {
	var none R
	for {
		address, client := c.target()
		bounded, cancel := context.WithTimeout(ctx, wait+CallTimeout)
		answer, err := call(bounded, client)
		cancel()
		if err == nil && answer.GetFailure().GetReason() != control.ReasonNotLeader {
			return answer, nil
		}
		if ctx.Err() != nil {
			return none, outcome.Error{
				Step: step, Peer: address, Outcome: outcome.Unknown, Reason: "no-leader", RetryAfter: time.Second,
			}.WithCause(ctx.Err())
		}
		hint := ""
		if err == nil {
			hint = answer.GetLeader()
		}
		c.follow(address, hint)
		if hint == "" {
			time.Sleep(pause)
		}
	}
}

// Announce enters or renews the membership of a process.
func (c *Client) Announce(ctx context.Context, request *wire.AnnounceRequest) (*wire.AnnounceReply, *outcome.Error) {
	return ask(ctx, c, "announce", 0, func(ctx context.Context, client wire.Control) (*wire.AnnounceReply, error) {
		return client.Announce(ctx, request)
	})
}

// Watch waits for a newer view and renews the lease on the inventory.
func (c *Client) Watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchReply, *outcome.Error) {
	wait := time.Duration(request.WaitMs) * time.Millisecond
	return ask(ctx, c, "watch", wait, func(ctx context.Context, client wire.Control) (*wire.WatchReply, error) {
		return client.Watch(ctx, request)
	})
}

// Submit proposes a revision of the inventory. It may be sent again: the change id makes it idempotent.
func (c *Client) Submit(ctx context.Context, request *wire.SubmitRequest) (*wire.ChangeStatus, *outcome.Error) {
	return ask(ctx, c, "submit", 0, func(ctx context.Context, client wire.Control) (*wire.ChangeStatus, error) {
		return client.Submit(ctx, request)
	})
}

// Change tells the status of a change.
func (c *Client) Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeStatus, *outcome.Error) {
	return ask(ctx, c, "change", 0, func(ctx context.Context, client wire.Control) (*wire.ChangeStatus, error) {
		return client.Change(ctx, request)
	})
}

// Claim takes an idempotency key or tells who holds it. Sent again, it is granted again to the same attempt.
func (c *Client) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, *outcome.Error) {
	wait := time.Duration(request.WaitMs) * time.Millisecond
	return ask(ctx, c, "claim", wait, func(ctx context.Context, client wire.Control) (*wire.ClaimReply, error) {
		return client.Claim(ctx, request)
	})
}

// Settle stores the end of a claimed call.
func (c *Client) Settle(ctx context.Context, request *wire.SettleRequest) (*wire.SettleReply, *outcome.Error) {
	return ask(ctx, c, "settle", 0, func(ctx context.Context, client wire.Control) (*wire.SettleReply, error) {
		return client.Settle(ctx, request)
	})
}

// ReportDeath tells control which requests an engine was running when it died.
func (c *Client) ReportDeath(ctx context.Context, report *wire.DeathReport) (*wire.DeathReply, *outcome.Error) {
	return ask(ctx, c, "report-death", 0, func(ctx context.Context, client wire.Control) (*wire.DeathReply, error) {
		return client.ReportDeath(ctx, report)
	})
}

// Clear tells that a suspect request ran alone to its end.
func (c *Client) Clear(ctx context.Context, request *wire.ClearRequest) (*wire.ClearReply, *outcome.Error) {
	return ask(ctx, c, "clear", 0, func(ctx context.Context, client wire.Control) (*wire.ClearReply, error) {
		return client.Clear(ctx, request)
	})
}

// Records returns the durable records of decisions.
func (c *Client) Records(ctx context.Context, request *wire.RecordsRequest) (*wire.RecordsReply, *outcome.Error) {
	return ask(ctx, c, "records", 0, func(ctx context.Context, client wire.Control) (*wire.RecordsReply, error) {
		return client.Records(ctx, request)
	})
}
