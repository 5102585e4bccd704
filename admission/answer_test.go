package admission_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/outcome"
)

func read(t *testing.T, a *admission.Answer, offset int64) admission.Piece {
	piece, refusal := a.Read(context.Background(), offset, time.Second)
	require.Nil(t, refusal)
	return piece
}

func TestAnswerIsReadByOffsetToItsEnd(t *testing.T) {
	a := admission.NewAnswer(false)
	a.SetHead(admission.Head{Status: 200})
	require.NoError(t, a.Append(context.Background(), []byte("mend a roof")))
	a.Finish(nil)
	require.Equal(t, "mend a roof", string(read(t, a, 0).Data))
	again := read(t, a, 5)
	require.Equal(t, "a roof", string(again.Data), "what is not acknowledged can be read again")
	require.True(t, again.End)
	require.EqualValues(t, 11, again.Length)
	require.Equal(t, xxhash.Sum64String("mend a roof"), again.Checksum)
	a.Acknowledge(5)
	_, refusal := a.Read(context.Background(), 0, 0)
	require.Equal(t, "offset", refusal.Reason)
	require.Equal(t, outcome.Unknown, refusal.Outcome)
}

func TestEngineWaitsForASlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admission.NewAnswer(false)
		require.NoError(t, a.Append(context.Background(), make([]byte, admission.MaxUnreadBytes)))
		appended := false
		go func() {
			_ = a.Append(context.Background(), []byte("more"))
			appended = true
		}()
		synctest.Wait()
		require.False(t, appended)
		a.Acknowledge(10)
		synctest.Wait()
		require.True(t, appended)
	})
}

func TestReadReturnsWhenItsWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		piece := read(t, admission.NewAnswer(false), 0)
		require.Empty(t, piece.Data)
		require.Equal(t, time.Second, time.Since(begun))
	})
}

func TestWholeAnswerIsKeptAndBounded(t *testing.T) {
	a := admission.NewAnswer(true)
	require.NoError(t, a.Append(context.Background(), bytes.Repeat([]byte("x"), admission.MaxWholeAnswerBytes)))
	a.Acknowledge(100)
	require.Len(t, read(t, a, 0).Data, admission.MaxPieceBytes, "acknowledged bytes of a whole answer stay")
	require.ErrorContains(t, a.Append(context.Background(), []byte("x")), "answer-too-large")
}
