// Reconciliation of open claims by the leader. It stores the answer or frees the key even if no caller retries
// the call.

package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/wire"
)

const (
	// ReconcileInterval is the time between two passes over the open claims.
	ReconcileInterval = time.Second
	// maxConcurrentQueries limits how many sidecars are queried at a time.
	maxConcurrentQueries = 16
	// queryTimeout bounds one query to a sidecar.
	queryTimeout = 5 * time.Second
)

// Reconciler queries sidecars about open claims while its replica leads.
type Reconciler struct {
	server *Server
	// ask queries the sidecar of the claim's upstream. The member is nil if the upstream is not a member at
	// present.
	ask func(ctx context.Context, sidecar *wire.Member, stored *wire.StoredClaim) claim.Finding
	// reconciliations holds the progress of each open claim. It is empty while another replica leads.
	reconciliations map[claim.Key]claim.Reconciliation
}

// NewReconciler returns a reconciler. ask must bar the attempt from running if it has not started, and return
// its outcome.
func NewReconciler(
	server *Server, ask func(context.Context, *wire.Member, *wire.StoredClaim) claim.Finding,
) *Reconciler {
	return &Reconciler{server: server, ask: ask, reconciliations: make(map[claim.Key]claim.Reconciliation)}
}

// Run reconciles until the context ends.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if leads, _ := r.server.isLeader(); leads {
			r.reconcileDue(ctx)
		} else {
			clear(r.reconciliations)
		}
	}
}

// reconcileDue queries the sidecar of every claim that is due and settles the claims whose outcome is found.
func (r *Reconciler) reconcileDue(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	now := time.Now()
	next := make(map[claim.Key]claim.Reconciliation)
	var due []claim.Key
	open := r.server.settings.State.OpenClaims()
	for _, stored := range open {
		key := claim.KeyOf(stored.Organisation, stored.Key)
		next[key] = r.current(key, stored, now)
		if next[key].IsDue(now) {
			due = append(due, key)
		}
	}
	findings := make([]claim.Finding, len(due))
	stored := make(map[claim.Key]*wire.StoredClaim, len(open))
	for _, s := range open {
		stored[claim.KeyOf(s.Organisation, s.Key)] = s
	}
	for n, key := range due {
		group.Go(func() error {
			findings[n] = r.askOne(ctx, stored[key])
			return nil
		})
	}
	group.Wait()
	for n, key := range due {
		after, settlement := next[key].WithFinding(findings[n], time.Now())
		next[key] = after
		if settlement != nil {
			r.server.Settle(ctx, settlement)
		}
	}
	r.reconciliations = next
}

// current returns the reconciliation of a claim, and starts a new one if the claim has changed.
func (r *Reconciler) current(key claim.Key, stored *wire.StoredClaim, now time.Time) claim.Reconciliation {
	entry, _ := r.server.settings.State.Member(stored.Entry)
	held, ok := r.reconciliations[key]
	if !ok || !held.IsOf(stored) {
		return claim.NewReconciliation(stored, entry == nil, now)
	}
	if entry == nil {
		return held.WithEntryGone(now)
	}
	return held
}

func (r *Reconciler) askOne(ctx context.Context, stored *wire.StoredClaim) claim.Finding {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	member, _ := r.server.settings.State.Member(stored.Upstream)
	return r.ask(ctx, member, stored)
}
