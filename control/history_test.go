package control_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/wire"
)

const (
	historySteps   = 500
	historyClients = 5
	historyKeys    = 6
	defaultSeeds   = 20
	// noAnswer is the output of an operation whose answer was lost. The operation may have taken effect, or may
	// still do so.
	noAnswer = "?"
)

// seeds returns the number of histories to run. GUAVAHITCH_SEEDS overrides the default, which is small enough
// for every run.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("GUAVAHITCH_SEEDS")); err == nil && n > 0 {
		return n
	}
	return defaultSeeds
}

type (
	// cluster is three states that apply one log. Proposals reach the log over a network that loses, repeats
	// and reorders them.
	cluster struct {
		random   *rand.Rand
		states   []*control.State
		applied  []int
		log      []control.Entry
		snapshot []byte
		// snapshotReplica is the replica that took the snapshot. Its store serves the segments that the
		// snapshot names. snapshotApplied is the number of entries that the snapshot covers.
		snapshotReplica *control.State
		snapshotApplied int
		leader          int
		term            uint64
		onState         func(*control.State)
	}

	// operation is one call of a client. The key is empty for calls on the inventory.
	operation struct {
		kind, key, id, text string
		expected            uint64
		command             *wire.Command
	}

	// pending is a proposal in the network. A repeated proposal has no client: it counts as an operation of the
	// network itself. A repeated claim of an attempt that was told to wait may be granted, and is then
	// reconciled like the claim of a dead entry.
	pending struct {
		client int
		op     operation
		called int64
	}

	client struct {
		isWaiting bool
		granted   map[string]string
		// claimed holds the attempt of the last claim by key. The client may send it again.
		claimed map[string]string
	}

	history struct {
		cluster  *cluster
		clients  []client
		network  []pending
		now      int64
		ops      []porcupine.Operation
		runs     map[string]int
		sent     []operation
		revision uint64
		lastID   int
	}
)

func newCluster(t *testing.T, seed uint64, onState func(*control.State)) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 1)), onState: onState, applied: make([]int, 3), term: 1}
	for range 3 {
		c.states = append(c.states, c.newState(t))
	}
	return c
}

func (c *cluster) newState(t *testing.T) *control.State {
	fetch := func(name string, offset int64) ([]byte, error) { return c.snapshotReplica.Part(name, offset) }
	s, err := control.OpenState(control.StateSettings{SealKeys: 4, Fetch: fetch})
	require.NoError(t, err)
	c.onState(s)
	return s
}

func (c *cluster) commit(command *wire.Command) *wire.Result {
	encoded, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	entry := control.Entry{Index: uint64(len(c.log) + 1), Term: c.term, TimeMs: int64(len(c.log)), Command: encoded}
	c.log = append(c.log, entry)
	result := &wire.Result{}
	if err := proto.Unmarshal(c.catchUp(c.leader), result); err != nil {
		panic(err)
	}
	return result
}

// catchUp applies the missing entries on a replica and returns the last result.
func (c *cluster) catchUp(replica int) []byte {
	var last []byte
	for ; c.applied[replica] < len(c.log); c.applied[replica]++ {
		last = c.states[replica].Apply(c.log[c.applied[replica]])
	}
	return last
}

// injectFault takes a snapshot, changes the leader, lets a replica catch up, or restarts one from the snapshot.
func (c *cluster) injectFault(t *testing.T) {
	replica := c.random.IntN(len(c.states))
	switch c.random.IntN(4) {
	case 0:
		c.snapshotReplica, c.snapshotApplied = c.states[replica], c.applied[replica]
		c.snapshot = c.snapshotReplica.Snapshot()
	case 1:
		c.catchUp(replica)
		c.leader, c.term = replica, c.term+1
	case 2:
		c.catchUp(replica)
	case 3:
		if c.snapshot == nil {
			return
		}
		fresh := c.newState(t)
		require.NoError(t, fresh.Restore(c.snapshot))
		c.states[replica], c.applied[replica] = fresh, c.snapshotApplied
		if replica == c.leader {
			c.catchUp(replica)
		}
	}
}

func (h *history) step(t *testing.T) {
	h.now++
	switch n := h.cluster.random.IntN(100); {
	case n < 45:
		h.invoke(h.cluster.random.IntN(len(h.clients)))
	case n < 90:
		h.deliver()
	default:
		h.cluster.injectFault(t)
	}
}

// invoke sends the next operation of an idle client.
func (h *history) invoke(n int) {
	if h.clients[n].isWaiting {
		return
	}
	op := h.nextOperation(n)
	if op.kind == "read" {
		revision, text := h.cluster.states[h.cluster.leader].Revision()
		h.revision = revision
		h.record(n, op, h.now, h.now, fmt.Sprintf("%d %s", revision, text))
		return
	}
	h.clients[n].isWaiting = true
	h.network = append(h.network, pending{client: n, op: op, called: h.now})
}

func (h *history) nextOperation(n int) operation {
	random := h.cluster.random
	switch random.IntN(5) {
	case 0:
		return operation{kind: "read"}
	case 1, 2:
		return h.nextSubmit()
	}
	key := fmt.Sprint("k", random.IntN(historyKeys))
	if id := h.clients[n].granted[key]; id != "" && random.IntN(3) > 0 {
		return h.nextSettle(n, key, id)
	}
	h.lastID++
	id := fmt.Sprint("r", h.lastID)
	if earlier := h.clients[n].claimed[key]; earlier != "" && random.IntN(2) == 0 {
		id = earlier
	}
	h.clients[n].claimed[key] = id
	text := "body"
	if random.IntN(10) == 0 {
		text = "other body"
	}
	return operation{kind: "claim", key: key, id: id, text: text, command: &wire.Command{Body: &wire.Command_Claim{
		Claim: &wire.ClaimRequest{
			Organisation: "o", Key: key, Fingerprint: []byte(text), Id: &wire.AttemptID{Request: id, Attempt: 1},
		},
	}}}
}

func (h *history) nextSettle(n int, key, id string) operation {
	outcome := wire.Outcome(1 + h.cluster.random.IntN(3))
	if outcome == wire.Outcome_OUTCOME_RAN {
		h.runs[key]++
	}
	if outcome != wire.Outcome_OUTCOME_UNKNOWN {
		delete(h.clients[n].granted, key)
	}
	return operation{
		kind: "settle", key: key, id: id, text: outcome.String(),
		command: &wire.Command{Body: &wire.Command_Settle{Settle: &wire.SettleRequest{
			Organisation: "o", Key: key, Id: &wire.AttemptID{Request: id, Attempt: 1}, Outcome: outcome,
			Answer: &wire.Answer{Status: 200, Body: []byte("answer of " + id)},
		}}},
	}
}

func (h *history) nextSubmit() operation {
	random := h.cluster.random
	h.lastID++
	op := operation{
		kind: "submit", id: fmt.Sprint("c", h.lastID), text: fmt.Sprint("text ", h.lastID), expected: h.revision,
	}
	if len(h.sent) > 0 && random.IntN(3) == 0 {
		op = h.sent[random.IntN(len(h.sent))]
		if random.IntN(3) == 0 {
			op.text += "!"
		}
	}
	h.sent = append(h.sent, op)
	op.command = &wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{
		ChangeId: op.id, ExpectedRevision: op.expected, Inventory: []byte(op.text),
	}}}
	return op
}

// deliver takes a random proposal from the network. The proposal is lost or committed, its answer may be lost,
// and a repeat of it may arrive at any later time.
func (h *history) deliver() {
	if len(h.network) == 0 {
		return
	}
	random := h.cluster.random
	n := random.IntN(len(h.network))
	p := h.network[n]
	h.network = append(h.network[:n:n], h.network[n+1:]...)
	if random.IntN(4) == 0 {
		h.network = append(h.network, pending{client: -1, op: p.op})
	}
	output := noAnswer
	if random.IntN(30) > 0 {
		output = outputOf(p.op, h.cluster.commit(p.op.command))
	}
	if p.client < 0 {
		if output != noAnswer {
			h.record(historyClients, p.op, h.now, h.now, output)
		}
		return
	}
	h.clients[p.client].isWaiting = false
	if random.IntN(30) == 0 {
		output = noAnswer
	}
	if output == claim.StateGranted {
		h.clients[p.client].granted[p.op.key] = p.op.id
	}
	returned := h.now
	if output == noAnswer {
		returned = math.MaxInt64
	}
	h.record(p.client, p.op, p.called, returned, output)
}

func (h *history) record(client int, op operation, called, returned int64, output string) {
	op.command = nil
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: called, Return: returned, Output: output})
}

func outputOf(op operation, result *wire.Result) string {
	switch op.kind {
	case "claim":
		return strings.TrimSpace(result.Claim.State + " " + string(result.Claim.Answer.GetBody()))
	case "settle":
		return result.Settle.State
	default:
		if result.Failure != nil {
			return result.Failure.Reason
		}
		c := result.Change
		return strings.TrimSpace(fmt.Sprintf("%s %d %s %s", c.State, c.Revision, c.Reason, c.Winner))
	}
}

func runHistory(t *testing.T, seed uint64, onState func(*control.State)) *history {
	h := &history{cluster: newCluster(t, seed, onState), runs: make(map[string]int)}
	for range historyClients {
		h.clients = append(h.clients, client{granted: make(map[string]string), claimed: make(map[string]string)})
	}
	for range historySteps {
		h.step(t)
	}
	for _, p := range h.network {
		if p.client >= 0 {
			h.record(p.client, p.op, p.called, math.MaxInt64, noAnswer)
		}
	}
	return h
}

func (h *history) isLegal() bool {
	model := historyModel.ToModel()
	return porcupine.CheckOperations(model, h.ops)
}

// TestHistoryIsLinearizable guards against lost or repeated changes and claims. Clients submit, claim and
// settle while the network loses, repeats and reorders proposals and replicas fail over and restart. Each
// history must be linearizable, no call may run twice, and all replicas must end with the same snapshot.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range seeds() {
		h := runHistory(t, uint64(seed), func(*control.State) {})
		require.True(t, h.isLegal(), "seed %d", seed)
		for key, runs := range h.runs {
			require.LessOrEqual(t, runs, 1, "seed %d: %s ran", seed, key)
		}
		c := h.cluster
		var first string
		for n := range c.states {
			c.catchUp(n)
			if n == 0 {
				first = string(c.states[n].Snapshot())
			}
			require.True(t, first == string(c.states[n].Snapshot()), "seed %d: replica %d differs", seed, n)
		}
	}
}

// TestHistoriesDetectDisabledSafeguards shows that the check of histories detects each disabled safeguard.
func TestHistoriesDetectDisabledSafeguards(t *testing.T) {
	for name, disable := range map[string]func(*control.State){
		"expected revision": func(s *control.State) { s.TestOverrides.SkipRevisionCheck = true },
		"change ids":        func(s *control.State) { s.TestOverrides.SkipDeduplication = true },
		"claims":            func(s *control.State) { s.TestOverrides.AllowRerun = true },
		"barred attempts":   func(s *control.State) { s.TestOverrides.AllowBarred = true },
	} {
		detected := 0
		for seed := range defaultSeeds {
			if !runHistory(t, uint64(seed), disable).isLegal() {
				detected++
			}
		}
		require.Positive(t, detected, name)
		t.Logf("%s: %d of %d histories are not linearizable", name, detected, defaultSeeds)
	}
}
