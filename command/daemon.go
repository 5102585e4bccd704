package command

import (
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/daemon"
	"guavahitch.example/guavahitch/settings"
)

// daemon.go holds the verbs that run one process until it is stopped.

func newEntry() *cobra.Command {
	return newDaemon("entry", "Run an entry: serve callers and route their requests",
		`Run an entry: serve callers and route their requests.

The settings hold the section Entry. With a section Control the process is a control replica as well.`,
		func(s *settings.Settings) bool { return s.Entry != nil })
}

func newControl() *cobra.Command {
	return newDaemon("control", "Run a control replica: keep the durable state",
		`Run a control replica: keep the durable state.

The settings hold the section Control, and the process stands among the Replicas.`,
		func(s *settings.Settings) bool { return s.Control != nil })
}

func newSidecar() *cobra.Command {
	return newDaemon("sidecar", "Run the small process beside an upstream",
		`Run the small process beside an upstream: announce it and gate what reaches it.

The settings hold the section Sidecar.`,
		func(s *settings.Settings) bool { return s.Sidecar != nil })
}

func newDaemon(verb, short, long string, hasRole func(*settings.Settings) bool) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   verb,
		Short: short,
		Long: long + `

SIGINT and SIGTERM stop the process as planned: it takes no new work, lets everything in flight end and
leaves. It gives up after DrainTimeout.`,
		Example: fmt.Sprintf("  guavahitch %s --settings %s.json", verb, verb),
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Read(path)
			if err != nil {
				return err
			}
			if !hasRole(s) {
				return usageError("%s: %s has no section for this role", verb, path)
			}
			p, err := daemon.NewProcess(s, newLog(s.Log.Level, c.ErrOrStderr()))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return p.Run(ctx)
		},
	}
	requireSettings(c, &path, "settings file of the process")
	return c
}

// requireSettings adds the flag that names a settings file.
func requireSettings(c *cobra.Command, path *string, usage string) {
	c.Flags().StringVar(path, "settings", "", usage)
	_ = c.MarkFlagRequired("settings")
}
