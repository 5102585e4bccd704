package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/command"
)

// TestSettingsOfTheOperatorsPageAreAccepted runs check on each complete example of docs/OPERATIONS.md.
func TestSettingsOfTheOperatorsPageAreAccepted(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	examples := regexp.MustCompile("(?s)```jsonc\n(.*?)```").FindAllSubmatch(page, -1)
	require.Len(t, examples, 3)
	for n, example := range examples {
		file := filepath.Join(t.TempDir(), "settings.json")
		require.NoError(t, os.WriteFile(file, example[1], 0o600))
		var stdout, stderr bytes.Buffer
		code := command.Run([]string{"check", "--kind", "settings", file}, &stdout, &stderr)
		require.Equal(t, command.ExitOK, code, "example %d: %s%s", n+1, &stdout, &stderr)
	}
}
