// The state machine of idempotency keys. A key is running (one attempt may run), unknown (its attempt may or
// may not have run, which must still be found out), settled (the answer is stored) or free (the attempt is
// proved not to have run). Only a free or unseen key is granted, so a call runs at most once.

package claim

import (
	"bytes"
	"slices"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

// States of a key, of a reply to a claim and of a reply to a settlement. Four occur only in replies: granted,
// mismatch (the key belongs to a call with another fingerprint), refused (the attempt is barred, or control could
// not decide) and stale (the settled attempt does not hold the key).
const (
	StateGranted  = "granted"
	StateRunning  = "running"
	StateSettled  = "settled"
	StateUnknown  = "unknown"
	StateFree     = "free"
	StateMismatch = "mismatch"
	StateRefused  = "refused"
	StateStale    = "stale"
)

// maxBarred limits the barred attempts that a key remembers. A barred attempt was proved not to have run and
// may never run.
const maxBarred = 16

// Keys applies claims and settlements to the stored keys. It is not safe for concurrent use.
type Keys struct {
	// AllowRerun disables the protection and grants every claim. Tests set it to show that the check of
	// histories detects a second run.
	AllowRerun bool
	// AllowBarred lets a barred attempt claim again. Tests set it.
	AllowBarred bool

	store *Store
	// open holds the keys that are running or unknown.
	open map[Key]*wire.StoredClaim
}

// NewKeys returns the state machine over a store.
func NewKeys(store *Store) *Keys {
	return &Keys{store: store, open: make(map[Key]*wire.StoredClaim)}
}

// Claim grants the key to the attempt, or returns the state of the key. nowMs is the log time in milliseconds.
func (k *Keys) Claim(request *wire.ClaimRequest, nowMs int64) (*wire.ClaimReply, error) {
	key := KeyOf(request.Organisation, request.Key)
	stored, err := k.load(key, nowMs)
	if err != nil {
		return nil, err
	}
	if k.AllowRerun {
		return &wire.ClaimReply{State: StateGranted}, k.grant(key, stored, request, nowMs)
	}
	if stored == nil {
		return &wire.ClaimReply{State: StateGranted}, k.grant(key, nil, request, nowMs)
	}
	if !bytes.Equal(stored.Fingerprint, request.Fingerprint) {
		return &wire.ClaimReply{State: StateMismatch}, nil
	}
	if stored.State == StateFree {
		if isBarred(stored, request.Id) && !k.AllowBarred {
			return &wire.ClaimReply{State: StateRefused}, nil
		}
		return &wire.ClaimReply{State: StateGranted}, k.grant(key, stored, request, nowMs)
	}
	if stored.State == StateRunning && isSameClaim(stored, request) {
		return &wire.ClaimReply{State: StateGranted}, nil
	}
	return replyOf(stored), nil
}

// Settle stores the outcome of the attempt that holds the key. A settlement of any other attempt is stale.
func (k *Keys) Settle(request *wire.SettleRequest, nowMs int64) (*wire.SettleReply, error) {
	key := KeyOf(request.Organisation, request.Key)
	stored, err := k.load(key, nowMs)
	if err != nil {
		return nil, err
	}
	if stored == nil || !proto.Equal(stored.Id, request.Id) {
		return &wire.SettleReply{State: StateStale}, nil
	}
	if stored.State != StateRunning && stored.State != StateUnknown {
		return &wire.SettleReply{State: stored.State}, nil
	}
	next := proto.CloneOf(stored)
	switch request.Outcome {
	case wire.Outcome_OUTCOME_RAN:
		next.State, next.Answer = StateSettled, request.Answer
	case wire.Outcome_OUTCOME_NOT_RUN:
		next.State = StateFree
		next.Barred = appendBarred(next.Barred, request.Id)
	default:
		next.State = StateUnknown
	}
	next.SettledMs = nowMs
	if err := k.save(key, next, nowMs); err != nil {
		return nil, err
	}
	return &wire.SettleReply{State: next.State}, nil
}

// Peek returns the state of a key without claiming it, or nil if the key is unclaimed.
func (k *Keys) Peek(organisation, key string, nowMs int64) (*wire.ClaimReply, error) {
	stored, err := k.load(KeyOf(organisation, key), nowMs)
	if stored == nil || err != nil {
		return nil, err
	}
	return replyOf(stored), nil
}

// Open returns the keys that are running or unknown, in the order of their claims.
func (k *Keys) Open() []*wire.StoredClaim {
	open := make([]*wire.StoredClaim, 0, len(k.open))
	for _, stored := range k.open {
		open = append(open, stored)
	}
	slices.SortFunc(open, compareClaims)
	return open
}

func compareClaims(a, b *wire.StoredClaim) int {
	if a.ClaimedMs != b.ClaimedMs {
		return int(a.ClaimedMs - b.ClaimedMs)
	}
	keyA, keyB := KeyOf(a.Organisation, a.Key), KeyOf(b.Organisation, b.Key)
	return bytes.Compare(keyA[:], keyB[:])
}

// grant stores a running claim of the attempt and keeps the barred attempts of the earlier claim.
func (k *Keys) grant(key Key, stored *wire.StoredClaim, request *wire.ClaimRequest, nowMs int64) error {
	next := &wire.StoredClaim{
		Fingerprint: request.Fingerprint, Id: request.Id, Upstream: request.Upstream, Epoch: request.Epoch,
		Entry: request.Entry, State: StateRunning, ClaimedMs: nowMs,
		Organisation: request.Organisation, Key: request.Key,
	}
	if stored != nil {
		next.Barred = stored.Barred
	}
	return k.save(key, next, nowMs)
}

func (k *Keys) load(key Key, nowMs int64) (*wire.StoredClaim, error) {
	if stored, ok := k.open[key]; ok {
		return stored, nil
	}
	value, err := k.store.Get(key, nowMs)
	if value == nil || err != nil {
		return nil, err
	}
	stored := &wire.StoredClaim{}
	return stored, proto.Unmarshal(value, stored)
}

func (k *Keys) save(key Key, stored *wire.StoredClaim, nowMs int64) error {
	if stored.State == StateRunning || stored.State == StateUnknown {
		k.open[key] = stored
	} else {
		delete(k.open, key)
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(stored)
	if err != nil {
		return err
	}
	k.store.Put(key, value, nowMs)
	return nil
}

func replyOf(stored *wire.StoredClaim) *wire.ClaimReply {
	return &wire.ClaimReply{
		State: stored.State, Id: stored.Id, Upstream: stored.Upstream, Epoch: stored.Epoch, Answer: stored.Answer,
	}
}

func isSameClaim(stored *wire.StoredClaim, request *wire.ClaimRequest) bool {
	return proto.Equal(stored.Id, request.Id) && stored.Upstream == request.Upstream && stored.Epoch == request.Epoch
}

func isBarred(stored *wire.StoredClaim, id *wire.AttemptID) bool {
	return slices.ContainsFunc(stored.Barred, func(barred *wire.AttemptID) bool { return proto.Equal(barred, id) })
}

func appendBarred(barred []*wire.AttemptID, id *wire.AttemptID) []*wire.AttemptID {
	barred = append(barred, id)
	if len(barred) > maxBarred {
		barred = barred[len(barred)-maxBarred:]
	}
	return barred
}

// RestoreOpen replaces the keys that are running or unknown. It is called after the store has been restored.
func (k *Keys) RestoreOpen(open []*wire.StoredClaim) {
	k.open = make(map[Key]*wire.StoredClaim, len(open))
	for _, stored := range open {
		k.open[KeyOf(stored.Organisation, stored.Key)] = stored
	}
}
