package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/command"
)

// TestSettingsOfTheOperatorsPageAreAccepted runs the verb check on each complete example of docs/OPERATIONS.md.
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

// consoleBlock matches a fenced block: lines that begin with "$ guavahitch" are commands, the others their output.
var consoleBlock = regexp.MustCompile("(?s)```console\n(.*?)```")

// TestDocs runs the commands of the console blocks in the docs, in the folder of the test files, and compares their
// output with the blocks. Blocks with commands that need a running system are marked sh and are not run.
func TestDocs(t *testing.T) {
	var pages []string
	for _, pattern := range []string{"../*.md", "../docs/*.md", "../docs/*/*.md", "../*/README.md"} {
		found, err := filepath.Glob(pattern)
		require.NoError(t, err)
		pages = append(pages, found...)
	}
	blocks := 0
	for _, page := range pages {
		page, err := filepath.Abs(page)
		require.NoError(t, err)
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		blocks += len(consoleBlock.FindAll(text, -1))
		t.Run(filepath.Base(filepath.Dir(page))+"/"+filepath.Base(page), func(t *testing.T) {
			t.Chdir(filesFolder)
			compare(t, page, consoleBlock.ReplaceAllStringFunc(string(text), func(block string) string {
				return renderBlock(t, block)
			}))
		})
	}
	require.NotZero(t, blocks)
}

// renderBlock runs the commands of a console block and returns the block with their current output.
func renderBlock(t *testing.T, block string) string {
	t.Helper()
	next := "```console\n"
	for _, line := range strings.Split(block, "\n") {
		words, isCommand := strings.CutPrefix(line, "$ ")
		if !isCommand {
			continue
		}
		arguments := splitLine(t, words)
		require.Equal(t, "guavahitch", arguments[0], line)
		output, _ := run(t, arguments[1:])
		next += line + "\n" + output
	}
	return next + "```"
}
