// Package command holds the verbs of the command line, one file each, and the table that lists them.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

const (
	// ExitOK means that the verb did its work.
	ExitOK = 0
	// ExitFailed means that the verb failed.
	ExitFailed = 1
	// ExitUsage means that an argument was wrong.
	ExitUsage = 2
)

// verbs lists the verbs in the order of the help text.
var verbs = []func() *cobra.Command{
	newDev,
	newVersion,
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
	for _, newVerb := range verbs {
		root.AddCommand(newVerb())
	}
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintf(stderr, "guavahitch: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}
