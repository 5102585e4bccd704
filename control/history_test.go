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
	// lost is the output of an operation whose answer never came: it may have taken effect, or may yet.
	lost = "?"
)

// seeds is the number of histories, by default small enough for every run.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("GUAVAHITCH_SEEDS")); err == nil && n > 0 {
		return n
	}
	return defaultSeeds
}

type (
	// cluster is three states fed by one log over a network that loses, repeats and reorders proposals.
	cluster struct {
		random   *rand.Rand
		states   []*control.State
		applied  []int
		log      []control.Entry
		snapshot []byte
		// taker stands for the disk of the replica that took the snapshot.
		taker   *control.State
		covered int
		leader  int
		term    uint64
		onState func(*control.State)
	}

	// operation is one call of a client. Its key is empty for calls on the inventory.
	operation struct {
		kind, key, id, text string
		expected            uint64
		command             *wire.Command
	}

	// pending is a proposal on its way. A repeat is the network's own operation: the repeated claim of an
	// attempt that was told to wait may be granted, and is reconciled as that of a dead entry.
	pending struct {
		client int
		op     operation
		called int64
	}

	client struct {
		waits   bool
		granted map[string]string
		// claimed holds the attempt of the last claim by key, which the client may send again.
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
		fresh    int
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
	fetch := func(name string, offset int64) ([]byte, error) { return c.taker.Part(name, offset) }
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

// catchUp applies what a replica lacks and returns the last result.
func (c *cluster) catchUp(replica int) []byte {
	var last []byte
	for ; c.applied[replica] < len(c.log); c.applied[replica]++ {
		last = c.states[replica].Apply(c.log[c.applied[replica]])
	}
	return last
}

// disturb takes a snapshot, changes the leader, lets a follower catch up, or restarts one from a snapshot.
func (c *cluster) disturb(t *testing.T) {
	replica := c.random.IntN(len(c.states))
	switch c.random.IntN(4) {
	case 0:
		c.taker, c.covered = c.states[replica], c.applied[replica]
		c.snapshot = c.taker.Snapshot()
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
		c.states[replica], c.applied[replica] = fresh, c.covered
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
		h.cluster.disturb(t)
	}
}

// invoke lets an idle client send its next operation.
func (h *history) invoke(n int) {
	if h.clients[n].waits {
		return
	}
	op := h.choose(n)
	if op.kind == "read" {
		revision, text := h.cluster.states[h.cluster.leader].Revision()
		h.revision = revision
		h.note(n, op, h.now, h.now, fmt.Sprintf("%d %s", revision, text))
		return
	}
	h.clients[n].waits = true
	h.network = append(h.network, pending{client: n, op: op, called: h.now})
}

func (h *history) choose(n int) operation {
	random := h.cluster.random
	switch random.IntN(5) {
	case 0:
		return operation{kind: "read"}
	case 1, 2:
		return h.chooseSubmit()
	}
	key := fmt.Sprint("k", random.IntN(historyKeys))
	if id := h.clients[n].granted[key]; id != "" && random.IntN(3) > 0 {
		return h.chooseSettle(n, key, id)
	}
	h.fresh++
	id := fmt.Sprint("r", h.fresh)
	if earlier := h.clients[n].claimed[key]; earlier != "" && random.IntN(2) == 0 {
		id = earlier
	}
	h.clients[n].claimed[key] = id
	text := "body"
	if random.IntN(10) == 0 {
		text = "other body"
	}
	return operation{kind: "claim", key: key, id: id, text: text, command: &wire.Command{Body: &wire.Command_Claim{
		Claim: &wire.ClaimRequest{Organisation: "o", Key: key, Fingerprint: []byte(text), Id: &wire.AttemptID{Request: id, Attempt: 1}},
	}}}
}

func (h *history) chooseSettle(n int, key, id string) operation {
	outcome := wire.Outcome(1 + h.cluster.random.IntN(3))
	if outcome == wire.Outcome_OUTCOME_RAN {
		h.runs[key]++
	}
	if outcome != wire.Outcome_OUTCOME_UNKNOWN {
		delete(h.clients[n].granted, key)
	}
	return operation{kind: "settle", key: key, id: id, text: outcome.String(), command: &wire.Command{Body: &wire.Command_Settle{
		Settle: &wire.SettleRequest{
			Organisation: "o", Key: key, Id: &wire.AttemptID{Request: id, Attempt: 1}, Outcome: outcome,
			Answer: &wire.Answer{Status: 200, Body: []byte("answer of " + id)},
		},
	}}}
}

func (h *history) chooseSubmit() operation {
	random := h.cluster.random
	h.fresh++
	op := operation{kind: "submit", id: fmt.Sprint("c", h.fresh), text: fmt.Sprint("text ", h.fresh), expected: h.revision}
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

// deliver takes any proposal from the network: it is lost, or committed; the answer may be lost, and a
// repeat may follow at any time.
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
	output := lost
	if random.IntN(30) > 0 {
		output = outputOf(p.op, h.cluster.commit(p.op.command))
	}
	if p.client < 0 {
		if output != lost {
			h.note(historyClients, p.op, h.now, h.now, output)
		}
		return
	}
	h.clients[p.client].waits = false
	if random.IntN(30) == 0 {
		output = lost
	}
	if output == claim.StateGranted {
		h.clients[p.client].granted[p.op.key] = p.op.id
	}
	returned := h.now
	if output == lost {
		returned = math.MaxInt64
	}
	h.note(p.client, p.op, p.called, returned, output)
}

func (h *history) note(client int, op operation, called, returned int64, output string) {
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
			h.note(p.client, p.op, p.called, math.MaxInt64, lost)
		}
	}
	return h
}

func (h *history) isLegal() bool {
	model := historyModel.ToModel()
	return porcupine.CheckOperations(model, h.ops)
}

func TestTortureHistories(t *testing.T) {
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

// TestHistoriesNoticeWhatIsSwitchedOff shows that the check bites.
func TestHistoriesNoticeWhatIsSwitchedOff(t *testing.T) {
	for name, off := range map[string]func(*control.State){
		"expected revision": func(s *control.State) { s.Switches.SkipExpected = true },
		"change ids":        func(s *control.State) { s.Switches.ForgetChanges = true },
		"claims":            func(s *control.State) { s.Switches.AllowRerun = true },
		"barred attempts":   func(s *control.State) { s.Switches.AllowBarred = true },
	} {
		caught := 0
		for seed := range defaultSeeds {
			if !runHistory(t, uint64(seed), off).isLegal() {
				caught++
			}
		}
		require.Positive(t, caught, name)
		t.Logf("%s: %d of %d histories are illegal", name, caught, defaultSeeds)
	}
}
