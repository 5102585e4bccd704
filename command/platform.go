package command

import (
	"context"

	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/platform"
)

// platform.go defines the verb that runs a role in the environment of package platform.

// platformRoles lists the roles and the functions that run them.
var platformRoles = []struct {
	name, summary string
	run           func(context.Context, platform.Options) error
}{
	{"entry", "Serve callers and route their requests", platform.RunEntry},
	{"sidecar", "Read the state of the model worker on the same instance and pass orders to it", platform.RunSidecar},
	{"control", "Serve operators and upstreams, and store the configuration", platform.RunControl},
}

func newPlatform() *cobra.Command {
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a role on a platform that provides the settings file",
		Long: `Run a role on a platform that provides the settings file.

An environment variable names the settings file; docs/PLATFORM.md describes its fields. SIGTERM stops the process
gracefully.`,
		Example: "  guavahitch platform entry",
	}
	for _, role := range platformRoles {
		c.AddCommand(newPlatformRole(role.name, role.summary, role.run))
	}
	return c
}

func newPlatformRole(name, short string, run func(context.Context, platform.Options) error) *cobra.Command {
	var port int
	c := &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs,
		Example: "  guavahitch platform " + name + " --metrics 9464",
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), platform.Options{Out: c.OutOrStdout(), MetricsPort: port})
		},
	}
	c.Flags().IntVar(&port, "metrics", 0, "port on the IP address of the process that serves /metrics; 0 for none")
	return c
}
