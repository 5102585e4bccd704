package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/platform"
)

// evacuate.go defines the verb that orders the evacuation of a failure domain on a platform.

const (
	evacuateStart  = "start"
	evacuateFinish = "finish"
)

func newEvacuate() *cobra.Command {
	var controls []string
	var timeout time.Duration
	c := &cobra.Command{
		Use:   "evacuate start|finish DOMAIN",
		Short: "Start or finish the evacuation of a failure domain",
		Long: `Start or finish the evacuation of a failure domain.

After the start, no new requests are sent to the upstreams of the domain; streams that run there complete. The
finish withdraws the order. The order is sent again until a replica of control acknowledges it; repeating it
changes nothing. The exit code is 0 when it was acknowledged, 1 when it was refused or nobody acknowledged it
within --wait, and 2 when an argument is invalid.`,
		Example: "  guavahitch evacuate start north --control 10.9.0.3:8101 --control 10.9.1.3:8101\n" +
			"  guavahitch evacuate finish north --control 10.9.0.3:8101",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, arguments []string) error {
			action, domain := arguments[0], arguments[1]
			if action != evacuateStart && action != evacuateFinish {
				return newArgumentError("evacuate: %s: must be %s or %s", action, evacuateStart, evacuateFinish)
			}
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			return runEvacuate(ctx, c, controls, domain, action)
		},
	}
	c.Flags().StringSliceVar(&controls, "control", nil, "control address of a replica; several are used in turn")
	_ = c.MarkFlagRequired("control")
	c.Flags().DurationVar(&timeout, "wait", 30*time.Second, "time to wait for the acknowledgement")
	return c
}

func runEvacuate(ctx context.Context, c *cobra.Command, controls []string, domain, action string) error {
	control, err := platform.Evacuate(ctx, controls, domain, action == evacuateFinish)
	var refused *platform.OrderRefused
	if errors.As(err, &refused) {
		return eris.Errorf("evacuate %s %s: %s", action, domain, refused.Error())
	}
	if err != nil {
		return eris.Wrapf(err, "evacuate %s %s: the outcome is unknown, send the order again", action, domain)
	}
	fmt.Fprintf(c.OutOrStdout(), "evacuate %s %s: acknowledged by %s\n", action, domain, control)
	return nil
}
