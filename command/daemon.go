package command

import (
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/daemon"
	"guavahitch.example/guavahitch/settings"
)

// daemon.go defines the verbs that run one process until it is stopped.

func newEntry() *cobra.Command {
	return newDaemon("entry", "Run an entry: serve callers and route their requests",
		`Run an entry: serve callers and route their requests.

The settings must contain the section Entry. With a section Control the process is also a control replica.`,
		func(s *settings.Settings) bool { return s.Entry != nil })
}

func newControl() *cobra.Command {
	return newDaemon("control", "Run a control replica: store the durable state",
		`Run a control replica: store the durable state.

The settings must contain the section Control, and Replicas must list the process.`,
		func(s *settings.Settings) bool { return s.Control != nil })
}

func newSidecar() *cobra.Command {
	return newDaemon("sidecar", "Run the sidecar of an upstream",
		`Run the sidecar of an upstream: announce the upstream to control and admit the requests that reach it.

The settings must contain the section Sidecar.`,
		func(s *settings.Settings) bool { return s.Sidecar != nil })
}

// newDaemon returns a verb that runs a process with the settings file of --settings. hasRole reports whether the
// settings contain the section of the verb's role.
func newDaemon(verb, short, long string, hasRole func(*settings.Settings) bool) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   verb,
		Short: short,
		Long: long + `

SIGINT and SIGTERM stop the process gracefully: it accepts no new work, waits until all requests in flight have
ended, and exits. It waits at most DrainTimeout.`,
		Example: fmt.Sprintf("  guavahitch %s --settings %s.json", verb, verb),
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Read(path)
			if err != nil {
				return err
			}
			if !hasRole(s) {
				return newArgumentError("%s: %s does not contain the section of this role", verb, path)
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

// requireSettings adds the required flag --settings.
func requireSettings(c *cobra.Command, path *string, usage string) {
	c.Flags().StringVar(path, "settings", "", usage)
	_ = c.MarkFlagRequired("settings")
}
