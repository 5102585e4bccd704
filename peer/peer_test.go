package peer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/peer"
	"guavahitch.example/guavahitch/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox collects the indices of messages.
type inbox struct {
	mutex sync.Mutex
	seen  []uint64
}

func (i *inbox) step(m *wire.ReplicaMessage) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.seen = append(i.seen, m.Index)
}

func (i *inbox) list() []uint64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]uint64(nil), i.seen...)
}

func batch(stream, sequence, index uint64) *wire.ReplicaBatch {
	return &wire.ReplicaBatch{
		Stream: stream, Sequence: sequence, Messages: []*wire.ReplicaMessage{{From: "r1", Index: index}},
	}
}

func deliver(t *testing.T, r *peer.Receiver, b *wire.ReplicaBatch) {
	t.Helper()
	_, err := r.Deliver(context.Background(), b)
	require.NoError(t, err)
}

func TestBatchesAreHandedOnInOrder(t *testing.T) {
	box := &inbox{}
	r := peer.NewReceiver(box.step)
	for _, n := range []uint64{1, 3, 4, 2, 5} {
		deliver(t, r, batch(7, n, n))
	}
	require.Equal(t, []uint64{1, 2, 3, 4, 5}, box.list())
	// A late copy is handed on, and a sender that was started anew begins again.
	deliver(t, r, batch(7, 2, 2))
	deliver(t, r, batch(8, 1, 9))
	require.Equal(t, []uint64{1, 2, 3, 4, 5, 2, 9}, box.list())
}

func TestLostBatchHoldsUpTheOthersForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		box := &inbox{}
		r := peer.NewReceiver(box.step)
		for _, n := range []uint64{1, 3, 4} {
			deliver(t, r, batch(7, n, n))
		}
		require.Equal(t, []uint64{1}, box.list())
		time.Sleep(21 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, []uint64{1, 3, 4}, box.list())
	})
}

func TestEmptyBatchIsRefused(t *testing.T) {
	r := peer.NewReceiver(func(*wire.ReplicaMessage) {})
	_, err := r.Deliver(context.Background(), &wire.ReplicaBatch{})
	require.Error(t, err)
}

func FuzzDeliver(f *testing.F) {
	seed, err := proto.Marshal(batch(1, 2, 3))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		b := &wire.ReplicaBatch{}
		if proto.Unmarshal(data, b) != nil {
			return
		}
		r := peer.NewReceiver(func(*wire.ReplicaMessage) {})
		_, _ = r.Deliver(context.Background(), b)
		_, _ = r.Deliver(context.Background(), b)
	})
}

func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

func TestSilentConnectionDoesNotHoldUpNewOnes(t *testing.T) {
	box := &inbox{}
	r := peer.NewReceiver(box.step)
	release := make(chan struct{})
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if calls.Add(1) == 1 {
			<-release
			return
		}
		r.Handler().ServeHTTP(w, request)
	}))
	defer server.Close()
	defer close(release)
	client := newClient()
	defer client.CloseIdleConnections()
	var failures atomic.Int32
	s := peer.NewSender(peer.Settings{
		URL: func(string) string { return server.URL }, Client: client, Timeout: 50 * time.Millisecond,
		OnFailure: func(string, error) { failures.Add(1) },
	})
	defer s.Close()
	s.Send("r2", &wire.ReplicaMessage{From: "r1", Index: 1})
	require.Eventually(t, func() bool { return calls.Load() == 1 }, 10*time.Second, time.Millisecond)
	for index := uint64(2); index <= 10; index++ {
		s.Send("r2", &wire.ReplicaMessage{From: "r1", Index: index})
	}
	require.Eventually(t, func() bool { return len(box.list()) == 9 }, 10*time.Second, time.Millisecond)
	require.Equal(t, []uint64{2, 3, 4, 5, 6, 7, 8, 9, 10}, box.list())
	require.Eventually(t, func() bool { return failures.Load() == 1 }, 10*time.Second, time.Millisecond)
}

// TestThreeReplicasOverTwirp runs a group over real connections.
func TestThreeReplicasOverTwirp(t *testing.T) {
	members := []consensus.Member{{ID: "r1"}, {ID: "r2"}, {ID: "r3"}}
	nodes := map[string]*atomic.Pointer[consensus.Node]{}
	urls := map[string]string{}
	for _, m := range members {
		holder := &atomic.Pointer[consensus.Node]{}
		nodes[m.ID] = holder
		server := httptest.NewServer(peer.NewReceiver(func(m *wire.ReplicaMessage) {
			if n := holder.Load(); n != nil {
				n.Step(m)
			}
		}).Handler())
		defer server.Close()
		urls[m.ID] = server.URL
	}
	var counts [3]atomic.Int64
	for i, m := range members {
		client := newClient()
		defer client.CloseIdleConnections()
		s := peer.NewSender(peer.Settings{URL: func(id string) string { return urls[id] }, Client: client})
		defer s.Close()
		n, err := consensus.Open(consensus.Settings{
			ID: m.ID, Members: members, Folder: t.TempDir(), Send: s.Send,
			Apply:    func(consensus.Entry) []byte { return fmt.Append(nil, counts[i].Add(1)) },
			Snapshot: func() []byte { return nil }, Restore: func([]byte) error { return nil },
		})
		require.NoError(t, err)
		defer n.Close()
		nodes[m.ID].Store(n)
	}
	propose := func() bool {
		for _, m := range members {
			if _, err := nodes[m.ID].Load().Propose(context.Background(), []byte("x")); err == nil {
				return true
			}
		}
		return false
	}
	for range 100 {
		require.Eventually(t, propose, 20*time.Second, time.Millisecond)
	}
	for i := range counts {
		require.Eventually(t, func() bool { return counts[i].Load() == 100 }, 20*time.Second, time.Millisecond)
	}
}
