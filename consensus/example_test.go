package consensus_test

import (
	"context"
	"fmt"
	"os"
	"time"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/wire"
)

// A program embeds a replica by providing a folder, a state machine and a function that sends messages to its peers.
// Here three replicas in one process count deposits.
func ExampleOpen() {
	folder, _ := os.MkdirTemp("", "consensus")
	defer os.RemoveAll(folder)
	members := []consensus.Member{{ID: "levis"}, {ID: "rimouski"}, {ID: "saguenay"}}
	hub := newHub()
	for _, m := range members {
		deposits := 0
		n, err := consensus.Open(consensus.Settings{
			ID: m.ID, Members: members, Folder: folder + "/" + m.ID,
			Apply: func(e consensus.Entry) []byte {
				deposits++
				return fmt.Appendf(nil, "%s is deposit %d", e.Command, deposits)
			},
			Snapshot: func() []byte { return fmt.Append(nil, deposits) },
			Restore: func(state []byte) error {
				_, err := fmt.Sscan(string(state), &deposits)
				return err
			},
			Send: hub.send,
		})
		if err != nil {
			fmt.Println(err)
			return
		}
		hub.add(m.ID, n)
		defer n.Close()
	}
	leader := hub.waitForLeader()
	for _, command := range []string{"roof", "lease"} {
		result, err := leader.Propose(context.Background(), []byte(command))
		fmt.Println(string(result), err)
	}
	fmt.Println(leader.ReadBarrier(context.Background()))
	// Output:
	// roof is deposit 1 <nil>
	// lease is deposit 2 <nil>
	// <nil>
}

// hub delivers messages between the replicas of one process.
type hub struct{ *cluster }

func newHub() hub {
	return hub{&cluster{nodes: map[string]*consensus.Node{}, cut: map[string]bool{}}}
}

func (h hub) add(id string, n *consensus.Node) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.nodes[id] = n
}

func (h hub) send(to string, m *wire.ReplicaMessage) { h.deliver(m.From, to, m) }

func (h hub) waitForLeader() *consensus.Node {
	for {
		h.mutex.RLock()
		for _, n := range h.nodes {
			if n.Status().Role == "leader" {
				h.mutex.RUnlock()
				return n
			}
		}
		h.mutex.RUnlock()
		time.Sleep(time.Millisecond)
	}
}
