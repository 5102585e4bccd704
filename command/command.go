// Package command implements the guavahitch command line. Each verb has a constructor that returns a cobra command,
// and the table verbs lists them. Run parses the arguments, runs the verb and returns the exit code of the program.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

const (
	// ExitOK is the exit code of a verb that succeeded.
	ExitOK = 0
	// ExitFailed is the exit code of a verb that failed.
	ExitFailed = 1
	// ExitUsage is the exit code for an invalid argument or flag.
	ExitUsage = 2
)

// verbs holds the constructors of the verbs in the order of the help text.
var verbs = []func() *cobra.Command{
	newEntry,
	newControl,
	newSidecar,
	newPlatform,
	newDev,
	newCheck,
	newApply,
	newEvacuate,
	newTimeline,
	newExplain,
	newReport,
	newVersion,
	newMeasure,
}

// Verbs returns a new command for each verb, in the order of the help text.
func Verbs() []*cobra.Command {
	list := make([]*cobra.Command, 0, len(verbs))
	for _, newVerb := range verbs {
		list = append(list, newVerb())
	}
	return list
}

// Run parses the arguments, runs the verb and returns the exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "guavahitch",
		Short:         "Load balancer for expert-parallel model groups",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(Verbs()...)
	return exitCode(root.ExecuteContext(context.Background()), stderr)
}

// exitCode prints an error and returns the exit code that belongs to it.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var silent *silentError
	if errors.As(err, &silent) {
		return silent.code
	}
	fmt.Fprintf(stderr, "guavahitch: %v\n", err)
	var wrong *argumentError
	if errors.As(err, &wrong) || isArgumentError(err) {
		return ExitUsage
	}
	return ExitFailed
}

// isArgumentError recognises cobra's errors about arguments and flags by their text, since they have no type.
func isArgumentError(err error) bool {
	for _, start := range []string{"unknown ", "required flag", "accepts ", "requires ", "invalid argument", "flag needs"} {
		if strings.HasPrefix(err.Error(), start) {
			return true
		}
	}
	return false
}
