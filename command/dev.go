package command

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/dev"
)

func newDev() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "dev",
		Short: "Run all roles and fake upstreams in one process on loopback",
		Long: `Run all roles and fake upstreams in one process on loopback.

Prints "ready http://ADDRESS" when the system can serve requests, followed by example requests: one to a model, and
some that are routed by host and path.
SIGINT and SIGTERM stop it after all requests in flight have ended.`,
		Example: "  guavahitch dev\n  guavahitch dev --settings dev.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := dev.ReadSettings(path)
			if err != nil {
				return err
			}
			d, err := dev.New(s, newLog(s.Log.Level, c.ErrOrStderr()))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return d.Run(ctx, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file with the optional fields Listen, Operators, Routed, Inventory, Folder and Log")
	return c
}
