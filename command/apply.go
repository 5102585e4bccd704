package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/operator"
	"guavahitch.example/guavahitch/outcome"
)

const (
	// expectCurrent is the value of --expect that stands for the newest accepted revision.
	expectCurrent = "current"
	// statusPollInterval is the time between two queries of a change's status, and between two attempts to submit it.
	statusPollInterval = 50 * time.Millisecond
	// stateInForce, stateAccepted and stateRefused are states of a submitted change.
	stateInForce  = "in-force"
	stateAccepted = "accepted"
	stateRefused  = "refused"
)

type applyOptions struct {
	settings, change, expected, operator, reason, format string
	wait                                                 time.Duration
}

func newApply() *cobra.Command {
	var options applyOptions
	c := &cobra.Command{
		Use:   "apply INVENTORY",
		Short: "Submit an inventory and wait until it is in force everywhere",
		Long: `Submit an inventory and wait until it is in force everywhere.

The inventory is checked first. A submission that got no response can be sent again with the same --change; it
is accepted only once. When two submissions expect the same revision, one is accepted and the other is refused
with the id of the accepted one. The exit code is 0 when the change is in force, 1 when it was refused or is not
in force within --wait, and 2 when an argument is invalid.`,
		Example: "  guavahitch apply --settings operator.json --reason 'two more upstreams' inventory.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			if err := checkFormat("apply", options.format); err != nil {
				return err
			}
			return runApply(c, options, arguments[0])
		},
	}
	requireSettings(c, &options.settings, "operator's settings file")
	c.Flags().StringVar(&options.change, "change", "", "id of the change; generated when empty")
	c.Flags().StringVar(&options.expected, "expect", expectCurrent, "revision that the inventory replaces, or current for the present one")
	c.Flags().StringVar(&options.operator, "operator", os.Getenv("USER"), "name of the operator who submits the change")
	c.Flags().StringVar(&options.reason, "reason", "", "why")
	c.Flags().DurationVar(&options.wait, "wait", 30*time.Second, "time to wait until the change is in force")
	addFormat(c, &options.format)
	return c
}

func runApply(c *cobra.Command, options applyOptions, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrapf(err, "apply %s", file)
	}
	if _, err := inventory.Parse(file, text); err != nil {
		return err
	}
	client, err := operator.ReadClient(options.settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), options.wait)
	defer cancel()
	expected, err := expectedRevision(ctx, client, options.expected)
	if err != nil {
		return err
	}
	if options.change == "" {
		options.change = uuid.NewString()
	}
	change, err := submit(ctx, client, operator.Submission{
		ChangeID: options.change, Expected: expected, Operator: options.operator, Reason: options.reason, Text: text,
	})
	if err != nil {
		return err
	}
	change = awaitInForce(ctx, client, change)
	return printChange(c, options.format, change)
}

func expectedRevision(ctx context.Context, client *operator.Client, text string) (uint64, error) {
	if text != expectCurrent {
		expected, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, newArgumentError("apply: --expect %s: must be a revision or %s", text, expectCurrent)
		}
		return expected, nil
	}
	revision, _, err := client.Inventory(ctx)
	return revision, err
}

// submit sends the submission until a server responds with the status of the change, or with a failure whose HTTP status
// is below 500. The change id makes a retry safe: control accepts it only once.
func submit(ctx context.Context, client *operator.Client, submission operator.Submission) (operator.Change, error) {
	for {
		change, err := client.Submit(ctx, submission)
		var failure *outcome.Error
		if err == nil || (errors.As(err, &failure) && failure.Status < 500) {
			return change, err
		}
		select {
		case <-ctx.Done():
			return change, eris.Wrapf(err, "no response to change %s; send it again with --change %s", submission.ChangeID, submission.ChangeID)
		case <-time.After(statusPollInterval):
		}
	}
}

// awaitInForce polls the status of a change until it is no longer only accepted, or until the context ends.
func awaitInForce(ctx context.Context, client *operator.Client, change operator.Change) operator.Change {
	for change.State == stateAccepted {
		select {
		case <-ctx.Done():
			return change
		case <-time.After(statusPollInterval):
		}
		if next, err := client.Change(ctx, change.ChangeID); err == nil {
			change = next
		}
	}
	return change
}

func printChange(c *cobra.Command, format string, change operator.Change) error {
	if format == formatJSON {
		if err := printJSON(c, change); err != nil {
			return err
		}
	} else {
		fmt.Fprintln(c.OutOrStdout(), describeChange(change))
	}
	if change.State != stateInForce {
		return &silentError{code: ExitFailed}
	}
	return nil
}

func describeChange(change operator.Change) string {
	switch change.State {
	case stateInForce:
		return fmt.Sprintf("change %s: revision %d in force everywhere %d ms after it was accepted", change.ChangeID,
			change.Revision, change.InForceMs-change.AcceptedMs)
	case stateRefused:
		text := fmt.Sprintf("change %s: refused: %s", change.ChangeID, change.Reason)
		if change.Winner != "" {
			text += "; change " + change.Winner + " was accepted for this revision"
		}
		return text
	default:
		return fmt.Sprintf("change %s: %s as revision %d; waiting for %v", change.ChangeID, change.State, change.Revision, change.Waiting)
	}
}
