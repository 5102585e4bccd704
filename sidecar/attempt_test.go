package sidecar_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/sidecar"
	"guavahitch.example/guavahitch/wire"
)

const body = "mend a roof"

// newLink returns a link to a fake sidecar that answers each stream with the next list of pieces, and with the last
// list when none is left.
func newLink(t *testing.T, streams ...[]*wire.Piece) *sidecar.Link {
	var streamCount atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != sidecar.StreamPath {
			http.NotFound(w, r)
			return
		}
		n := min(int(streamCount.Add(1)), len(streams)) - 1
		for _, p := range streams[n] {
			_, _ = protodelim.MarshalTo(w, p)
		}
	}))
	t.Cleanup(server.Close)
	return sidecar.NewLink(server.Listener.Addr().String(), sidecar.Transport{New: sidecar.PlainTransport})
}

func piece(request string, offset int64, data string) *wire.Piece {
	return &wire.Piece{Id: &wire.AttemptID{Request: request, Attempt: 1}, Status: 200, Offset: offset, Data: []byte(data)}
}

func last(p *wire.Piece, length int64, checksum uint64) *wire.Piece {
	p.End, p.Length, p.Checksum = true, length, checksum
	return p
}

// fetch reads one attempt to its end and returns the text received.
func fetch(link *sidecar.Link) (string, *outcome.Error) {
	attempt := sidecar.NewAttempt(link, "levis-1", &wire.StartRequest{Id: &wire.AttemptID{Request: "r-1", Attempt: 1}})
	defer attempt.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	text := ""
	for {
		p, failure := attempt.Next(ctx)
		if failure != nil {
			return text, failure
		}
		text += string(p.Data)
		if p.End {
			return text, nil
		}
	}
}

func TestAnswerContinuesOverASecondStream(t *testing.T) {
	link := newLink(t,
		[]*wire.Piece{piece("r-1", 0, body[:4])},
		[]*wire.Piece{last(piece("r-1", 4, body[4:]), int64(len(body)), xxhash.Sum64String(body))})
	text, failure := fetch(link)
	require.Nil(t, failure)
	require.Equal(t, body, text)
	require.EqualValues(t, 1, link.Replaced())
}

func TestInvalidPiecesAreRefused(t *testing.T) {
	sum := xxhash.Sum64String(body)
	cases := map[string][]*wire.Piece{
		"crossed":  {last(piece("r-2", 0, body), int64(len(body)), sum)},
		"offset":   {piece("r-1", 0, body[:4]), last(piece("r-1", 0, body), int64(len(body)), sum)},
		"checksum": {last(piece("r-1", 0, body), int64(len(body)), sum+1)},
	}
	for reason, pieces := range cases {
		_, failure := fetch(newLink(t, pieces))
		require.NotNil(t, failure, reason)
		require.Equal(t, reason, failure.Reason)
		require.Equal(t, outcome.Unknown, failure.Outcome)
		require.Equal(t, "levis-1", failure.Peer)
	}
	_, failure := fetch(newLink(t, []*wire.Piece{last(piece("r-1", 0, body), int64(len(body))+1, sum)}))
	require.Equal(t, "checksum", failure.Reason, "an answer shorter than its declared length is incomplete")
}

// Guards against attempts that close their connection at the end of the answer, so that each one dials again.
func TestConnectionIsReused(t *testing.T) {
	pieces := []*wire.Piece{last(piece("r-1", 0, body), int64(len(body)), xxhash.Sum64String(body))}
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = protodelim.MarshalTo(w, pieces[0])
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	link := sidecar.NewLink(server.Listener.Addr().String(), sidecar.Transport{New: sidecar.PlainTransport})
	for range 50 {
		_, failure := fetch(link)
		require.Nil(t, failure)
	}
	require.Less(t, opened.Load(), int64(25), "an attempt that ends must leave its connection open")
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, failure := fetch(sidecar.NewLink(address, sidecar.Transport{New: sidecar.PlainTransport}))
	require.Equal(t, outcome.NotRun, failure.Outcome)
}

func TestRefusalOfTheOnlyCopyIsNotRun(t *testing.T) {
	refusal := &outcome.Error{Step: "admit", Peer: "levis-1", Outcome: outcome.Unknown, Reason: "epoch"}
	refused := &wire.Piece{Id: &wire.AttemptID{Request: "r-1", Attempt: 1}, Failure: refusal.Failure()}
	_, failure := fetch(newLink(t, []*wire.Piece{refused}))
	require.Equal(t, outcome.NotRun, failure.Outcome)
	_, failure = fetch(newLink(t, nil, []*wire.Piece{refused}))
	require.Equal(t, outcome.Unknown, failure.Outcome, "an earlier copy may have run under that epoch")
}

func TestFetchWholeReturnsOnlyWholeAnswers(t *testing.T) {
	id := &wire.AttemptID{Request: "r-1", Attempt: 1, Entry: "entry-1", Sequence: 3}
	sum := xxhash.Sum64String(body)
	fetch := func(pieces ...*wire.Piece) *wire.Answer {
		return sidecar.FetchWhole(context.Background(), func(context.Context, *wire.FetchRequest) (*wire.Piece, error) {
			next := pieces[0]
			pieces = pieces[1:]
			return next, nil
		}, id, 7)
	}
	late := last(piece("r-1", 4, body[4:]), int64(len(body)), sum)
	late.Status = 0
	whole := fetch(piece("r-1", 0, body[:4]), late)
	require.Equal(t, body, string(whole.Body))
	require.EqualValues(t, 200, whole.Status, "a piece without a status must not change it")
	require.Nil(t, fetch(last(piece("r-2", 0, body), int64(len(body)), sum)), "piece of another request")
	require.Nil(t, fetch(last(piece("r-1", 0, body), int64(len(body))+1, sum)), "shorter than its length")
	require.Nil(t, fetch(last(piece("r-1", 0, body), int64(len(body)), sum+1)), "wrong checksum")
	require.Nil(t, fetch(last(piece("r-1", 3, body), int64(len(body)), sum)), "wrong offset")
}
