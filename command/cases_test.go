package command_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/command"
)

const (
	casesFolder = "testdata/cases"
	filesFolder = "testdata/files"
)

var update = flag.Bool("update", false, "write the expected output of the cases and of the examples in the docs")

// run runs one command line and returns its output and exit code. The Go version and the platform are replaced by
// placeholders.
func run(t *testing.T, arguments []string) (string, int) {
	t.Helper()
	t.Setenv("USER", "operator")
	var output bytes.Buffer
	code := command.Run(arguments, &output, &output)
	text := strings.ReplaceAll(output.String(), runtime.Version(), "GOVERSION")
	return strings.ReplaceAll(text, runtime.GOOS+"/"+runtime.GOARCH, "OS/ARCH"), code
}

// TestCases runs the command line in the file cmd of each case, in the folder of the test files. It compares the output
// and the exit code with the files expected and code.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob(casesFolder + "/*")
	require.NoError(t, err)
	require.NotEmpty(t, folders)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			folder, err := filepath.Abs(folder)
			require.NoError(t, err)
			line, err := os.ReadFile(filepath.Join(folder, "cmd"))
			require.NoError(t, err)
			t.Chdir(filesFolder)
			output, code := run(t, splitLine(t, string(line))[1:])
			compare(t, filepath.Join(folder, "expected"), output)
			compare(t, filepath.Join(folder, "code"), strconv.Itoa(code)+"\n")
		})
	}
}

func compare(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o600))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got, file)
}

// splitLine splits a command line at the spaces outside single quotes.
func splitLine(t *testing.T, line string) []string {
	t.Helper()
	parts := strings.Split(strings.TrimSpace(line), "'")
	require.Equal(t, 1, len(parts)%2, "quotes of %s", line)
	var words []string
	for n, part := range parts {
		if n%2 == 1 {
			words = append(words, part)
			continue
		}
		words = append(words, strings.Fields(part)...)
	}
	return words
}

// TestEveryVerbHasExamplesThatParse parses the flags and arguments in the examples of each verb. Of a pipe it parses
// the part that begins with guavahitch.
func TestEveryVerbHasExamplesThatParse(t *testing.T) {
	for _, verb := range command.Verbs() {
		require.NotEmpty(t, verb.Short, verb.Name())
		require.NotEmpty(t, verb.Example, verb.Name())
		for _, line := range strings.Split(verb.Example, "\n") {
			at := strings.Index(line, "guavahitch")
			require.GreaterOrEqual(t, at, 0, line)
			words := splitLine(t, line[at:])
			require.Equal(t, []string{"guavahitch", verb.Name()}, words[:2], line)
			require.NoError(t, verb.ParseFlags(words[2:]), line)
			require.NoError(t, verb.ValidateArgs(verb.Flags().Args()), line)
			require.NoError(t, verb.ValidateRequiredFlags(), line)
		}
	}
}
