package daemon_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/fake"
)

const limitedInventory = `{
  "Models": [{"Name": "m"}],
  "Organisations": [
    {"Name": "north", "Limits": {"RequestsPerSecond": 0.01}}, {"Name": "south", "Limits": {"TokensPerSecond": 0.01}},
  ],
  "Rules": {"AdmitUnlisted": true},
}`

func TestOrganisationRatesAreEnforced(t *testing.T) {
	c := newClusterWith(t, 1, limitedInventory)
	c.addModel("up-1", fake.EngineSettings{Slots: 8, Step: time.Millisecond})
	entry := c.addEntry("entry-1")
	c.awaitRoom(entry, "m", 1)
	ask := func(organisation string, tokens int) answer {
		return sendAs(http.DefaultClient, entry.CallerAddress(), chatPath, organisation, "", chatBody("x", tokens, false))
	}
	requireLimit := func(got answer) {
		require.Equal(t, http.StatusTooManyRequests, got.status, got.body)
		refusal, err := refusalOf(got.body)
		require.NoError(t, err)
		require.Equal(t, "limit", refusal.Reason)
		require.Equal(t, "NotRun", refusal.Outcome)
		require.Positive(t, refusal.RetryAfterMs)
	}
	require.Equal(t, http.StatusOK, ask("north", 1).status)
	requireLimit(ask("north", 1))
	require.Equal(t, http.StatusOK, ask("south", 90).status)
	requireLimit(ask("south", 90))
}
