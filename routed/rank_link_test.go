package routed_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"guavahitch.example/guavahitch/lockstep"
	"guavahitch.example/guavahitch/routed"
	"guavahitch.example/guavahitch/wire"
)

// silentSidecar is a sidecar that cannot be reached.
type silentSidecar struct{ wire.Lockstep }

func (silentSidecar) Observe(context.Context, *wire.LockstepObserveRequest) (*wire.LockstepObservation, error) {
	return nil, twirp.InternalError(http.ErrServerClosed.Error())
}

// Guards against a state that is taken for the present one although the engine reports an earlier one to other
// instances.
func TestDirectReadSaysHowOldItMayBe(t *testing.T) {
	engine := lockstep.Sidecar{State: func(context.Context, bool, bool) (lockstep.State, error) {
		return lockstep.State{Step: 7}, nil
	}}
	const lag = 200 * time.Millisecond

	state, err := routed.ReadRank(t.Context(), lockstep.Remote{Client: silentSidecar{}}, engine, lag)
	require.NoError(t, err)
	require.Equal(t, uint64(7), state.Step)
	require.Equal(t, lag, state.MaxAge)

	state, err = routed.ReadRank(t.Context(), lockstep.Remote{Client: engine}, engine, lag)
	require.NoError(t, err)
	require.Equal(t, uint64(7), state.Step)
	require.Zero(t, state.MaxAge)
}
