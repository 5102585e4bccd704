package daemon_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// promptBody returns a chat request of several messages, the last of which belongs to the request itself.
func promptBody(t *testing.T, contents ...string) string {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	var messages []message
	for _, content := range contents {
		messages = append(messages, message{Role: "user", Content: content})
	}
	body, err := json.Marshal(map[string]any{"model": "m", "messages": messages, "max_tokens": 4})
	require.NoError(t, err)
	return string(body)
}

// Guards against ever new chat requests that share a message which crashes engines: after two of them the message is
// refused at every entry, while requests that share their first message are answered.
func TestNewChatsWithADeadlyMessageAreRefused(t *testing.T) {
	const allowedLost = 4
	s := newDeadlySystem(t)
	innocent := func(n int) answer {
		return send(s.client, s.entries[n%2].CallerAddress(), chatPath, "", promptBody(t, "You match skills.", fmt.Sprint("innocent ", n)))
	}
	for n := range 4 {
		require.Equal(t, 200, innocent(n).status)
	}
	for n := range 8 {
		send(s.client, s.entries[n%2].CallerAddress(), chatPath, "", promptBody(t, "You match skills.", "crash-the-engine", fmt.Sprint("new ", n)))
		require.Eventually(t, func() bool { return innocent(n).status == 200 }, waitTimeout, 20*time.Millisecond)
	}
	lost := 0
	for _, e := range s.engines {
		if e.IsDead() {
			lost++
		}
	}
	t.Logf("%d of %d engines lost", lost, len(s.engines))
	require.LessOrEqual(t, lost, allowedLost)
	refusal, err := refusalOf(send(s.client, s.entries[0].CallerAddress(), chatPath, "", promptBody(t, "crash-the-engine", "last")).body)
	require.NoError(t, err)
	require.Equal(t, "deadly", refusal.Reason)
	require.Equal(t, "NotRun", refusal.Outcome)
}
