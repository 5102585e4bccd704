package command_test

import (
	"context"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/command"
	"guavahitch.example/guavahitch/dev"
)

// startSystem runs all roles in this process and returns the path of the operators' settings file.
func startSystem(t *testing.T) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := dev.New(dev.Settings{Listen: "127.0.0.1:0", Operators: "127.0.0.1:0", Folder: t.TempDir()}, log)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, writer) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	line := make([]byte, len("ready"))
	_, err = io.ReadFull(reader, line)
	require.NoError(t, err)
	require.Equal(t, "ready", string(line))
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	return d.OperatorSettingsFile()
}

// TestVerbsOnARunningSystem runs the operators' verbs against a running system, as docs/GUIDE.md shows them.
func TestVerbsOnARunningSystem(t *testing.T) {
	settings := startSystem(t)
	inventory, err := filepath.Abs("../dev/sample_inventory.json")
	require.NoError(t, err)
	for _, step := range []struct {
		line, want string
		code       int
	}{
		{"apply --change weights-1 --operator operations --reason 'skew counts for more' " + inventory, "change weights-1: revision 2 in force everywhere", command.ExitOK},
		{"apply --change weights-1 --expect 1 --reason 'skew counts for more' " + inventory, "change weights-1: revision 2 in force everywhere", command.ExitOK},
		{"apply --change weights-2 --expect 1 " + inventory, "change weights-2: refused: lost; change weights-1 was accepted for this revision", command.ExitFailed},
		{"explain weights-1", "cause: skew counts for more", command.ExitOK},
		{"explain --format json weights-1", `"Cause": "skew counts for more"`, command.ExitOK},
		{"explain weights-9", "no change or record has the id weights-9", command.ExitFailed},
		{"timeline", "inventory-in-force", command.ExitOK},
		{"timeline --format json", `"Kind": "inventory-in-force"`, command.ExitOK},
		{"timeline --format html", "<title>guavahitch timeline</title>", command.ExitOK},
		{"report", "configuration changes: 3", command.ExitOK},
		{"report --since 1h --format json", `"ChangeID": "weights-1"`, command.ExitOK},
		{"report --format html", "<title>guavahitch report</title>", command.ExitOK},
	} {
		words := splitLine(t, step.line)
		output, code := run(t, append([]string{words[0], "--settings", settings}, words[1:]...))
		require.Equal(t, step.code, code, "%s: %s", step.line, output)
		require.True(t, strings.Contains(output, step.want), "%s: %.2000s", step.line, output)
	}
}
