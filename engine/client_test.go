package engine_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/engine"
	"guavahitch.example/guavahitch/outcome"
)

func runWith(t *testing.T, handler http.HandlerFunc, call engine.Call) (admission.Piece, *outcome.Error) {
	server := httptest.NewServer(handler)
	defer server.Close()
	return runAt(t, server.Listener.Addr().String(), call)
}

func runAt(t *testing.T, address string, call engine.Call) (admission.Piece, *outcome.Error) {
	answer := admission.NewAnswer(true)
	call.Method, call.Path = http.MethodPost, "/v1/chat/completions"
	failure := engine.NewClient(address).Run(context.Background(), call, answer)
	answer.Finish(failure)
	piece, refusal := answer.Read(context.Background(), 0, time.Second)
	require.Nil(t, refusal)
	return piece, failure
}

func TestRankAndResumeTextAreSent(t *testing.T) {
	var rank, body string
	handler := func(w http.ResponseWriter, r *http.Request) {
		rank = r.Header.Get(engine.HeaderRank)
		buffer := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(buffer)
		body = string(buffer)
		w.WriteHeader(http.StatusOK)
	}
	_, failure := runWith(t, handler, engine.Call{
		Rank: 3, Repeatable: true, Body: []byte(`{"messages":[{"role":"user","content":"x"}]}`), ResumeText: "so far",
	})
	require.Nil(t, failure)
	require.Equal(t, "3", rank)
	require.JSONEq(t, `{"messages":[{"role":"user","content":"x"},{"role":"assistant","content":"so far"}],"continue_final_message":true}`, body)
	_, failure = runWith(t, handler, engine.Call{Rank: -1, Repeatable: true})
	require.Nil(t, failure)
	require.Empty(t, rank)
}

// Guards against a call that must not be repeated and that the HTTP transport sends again when a connection breaks.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	var runs atomic.Int64
	handler := func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
	for range 5 {
		_, failure := runWith(t, handler, engine.Call{
			Rank: -1, Headers: []admission.Header{{Name: "Idempotency-Key", Value: "k"}},
		})
		require.Equal(t, outcome.Unknown, failure.Outcome)
		require.Equal(t, engine.ReasonFailed, failure.Reason)
	}
	require.EqualValues(t, 5, runs.Load())
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, failure := runAt(t, address, engine.Call{Rank: -1})
	require.Equal(t, outcome.NotRun, failure.Outcome)
}
