package command

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// Version is the version of guavahitch that the verb version prints.
const Version = "0.1.0"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  guavahitch version",
		Args:    cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintf(c.OutOrStdout(), "guavahitch %s %s %s/%s\n", Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
		},
	}
}
