// The leader's reconciliation of open claims, so that an answer is kept and a key is freed even when no
// caller asks again.

package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/wire"
)

const (
	// ReconcileInterval is the time between two looks at the open claims.
	ReconcileInterval = time.Second
	// reconcileLimit is the most claims that are asked after at once.
	reconcileLimit = 16
	// askTimeout bounds one question.
	askTimeout = 5 * time.Second
)

// Reconciler asks after open claims while its replica leads.
type Reconciler struct {
	server *Server
	// ask asks the sidecar of a claim's upstream, which may be nil when it is no member now.
	ask  func(ctx context.Context, sidecar *wire.Member, stored *wire.StoredClaim) claim.Finding
	held map[claim.Key]claim.Reconciliation
}

// NewReconciler returns a reconciler; ask bars the attempt if it has not started, and returns what is known.
func NewReconciler(server *Server, ask func(context.Context, *wire.Member, *wire.StoredClaim) claim.Finding) *Reconciler {
	return &Reconciler{server: server, ask: ask, held: make(map[claim.Key]claim.Reconciliation)}
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
			r.round(ctx)
		} else {
			clear(r.held)
		}
	}
}

// round asks after every claim that is due.
func (r *Reconciler) round(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(reconcileLimit)
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
		after, settlement := next[key].With(findings[n], time.Now())
		next[key] = after
		if settlement != nil {
			r.server.Settle(ctx, settlement)
		}
	}
	r.held = next
}

// current returns the reconciliation of a claim as it stands.
func (r *Reconciler) current(key claim.Key, stored *wire.StoredClaim, now time.Time) claim.Reconciliation {
	entry, _ := r.server.settings.State.Member(stored.Entry)
	held, ok := r.held[key]
	if !ok || !held.IsOf(stored) {
		return claim.NewReconciliation(stored, entry == nil, now)
	}
	if entry == nil {
		return held.WithEntryGone(now)
	}
	return held
}

func (r *Reconciler) askOne(ctx context.Context, stored *wire.StoredClaim) claim.Finding {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	member, _ := r.server.settings.State.Member(stored.Upstream)
	return r.ask(ctx, member, stored)
}
