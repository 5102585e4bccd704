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
	// expectCurrent stands for the revision that control holds now.
	expectCurrent = "current"
	// applyPoll is the time between two looks at a change's status.
	applyPoll = 50 * time.Millisecond
	// stateInForce, stateAccepted and stateRefused are states of a change.
	stateInForce  = "in-force"
	stateAccepted = "accepted"
	stateRefused  = "refused"
)

type applyOptions struct {
	settings, change, expected, operator, reason, format string
	wait                                                 time.Duration
}

func newApply() *cobra.Command {
	var o applyOptions
	c := &cobra.Command{
		Use:   "apply INVENTORY",
		Short: "Submit an inventory and wait until it is in force everywhere",
		Long: `Submit an inventory and wait until it is in force everywhere.

The inventory is checked first. A submission that got no answer may be sent again with the same --change: it
is accepted once. Of two submissions that expect the same revision one wins; the other is refused and told
which one won. The exit code is 0 when the change is in force, 1 when it was refused or is not in force
within --wait, and 2 when an argument is wrong.`,
		Example: "  guavahitch apply --settings operator.json --reason 'two more upstreams' inventory.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			if err := checkFormat("apply", o.format); err != nil {
				return err
			}
			return runApply(c, o, arguments[0])
		},
	}
	requireSettings(c, &o.settings, "operator's settings file")
	c.Flags().StringVar(&o.change, "change", "", "id of the change; a new one when empty")
	c.Flags().StringVar(&o.expected, "expect", expectCurrent, "revision that the inventory replaces, or current")
	c.Flags().StringVar(&o.operator, "operator", os.Getenv("USER"), "who submits the change")
	c.Flags().StringVar(&o.reason, "reason", "", "why")
	c.Flags().DurationVar(&o.wait, "wait", 30*time.Second, "how long to wait until the change is in force")
	addFormat(c, &o.format)
	return c
}

func runApply(c *cobra.Command, o applyOptions, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrapf(err, "apply %s", file)
	}
	if _, err := inventory.Parse(file, text); err != nil {
		return err
	}
	client, err := operator.ReadClient(o.settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), o.wait)
	defer cancel()
	expected, err := expectedRevision(ctx, client, o.expected)
	if err != nil {
		return err
	}
	if o.change == "" {
		o.change = uuid.NewString()
	}
	change, err := submit(ctx, client, operator.Submission{
		ChangeID: o.change, Expected: expected, Operator: o.operator, Reason: o.reason, Text: text,
	})
	if err != nil {
		return err
	}
	change = awaitInForce(ctx, client, change)
	return printChange(c, o.format, change)
}

func expectedRevision(ctx context.Context, client *operator.Client, text string) (uint64, error) {
	if text != expectCurrent {
		expected, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, usageError("apply: --expect %s: takes a revision or %s", text, expectCurrent)
		}
		return expected, nil
	}
	revision, _, err := client.Inventory(ctx)
	return revision, err
}

// submit sends the submission again until it has an answer; its id makes that safe.
func submit(ctx context.Context, client *operator.Client, s operator.Submission) (operator.Change, error) {
	for {
		change, err := client.Submit(ctx, s)
		var failure *outcome.Error
		if err == nil || (errors.As(err, &failure) && failure.Status < 500) {
			return change, err
		}
		select {
		case <-ctx.Done():
			return change, eris.Wrapf(err, "change %s has no answer; send it again with --change %s", s.ChangeID, s.ChangeID)
		case <-time.After(applyPoll):
		}
	}
}

func awaitInForce(ctx context.Context, client *operator.Client, change operator.Change) operator.Change {
	for change.State == stateAccepted {
		select {
		case <-ctx.Done():
			return change
		case <-time.After(applyPoll):
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
			text += "; change " + change.Winner + " took the revision"
		}
		return text
	default:
		return fmt.Sprintf("change %s: %s as revision %d; waiting for %v", change.ChangeID, change.State, change.Revision, change.Waiting)
	}
}
