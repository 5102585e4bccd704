package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/operator"
	"guavahitch.example/guavahitch/timeline"
)

func newTimeline() *cobra.Command {
	var path, format string
	var filter timeline.Filter
	c := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all processes in causal order",
		Long: `Show the events of all processes in causal order.

Events are sorted by a hybrid logical clock: an event comes after its cause, even when that happened on another
instance. A process that does not respond is listed as missing. With --format html the output is one
self-contained page with a lane for each process.`,
		Example: "  guavahitch timeline --settings operator.json\n  guavahitch timeline --settings operator.json --request ID --format html",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkFormat("timeline", format, formatHTML); err != nil {
				return err
			}
			client, err := operator.ReadClient(path)
			if err != nil {
				return err
			}
			events, err := client.Events(c.Context())
			if err != nil {
				return err
			}
			events = filter.Apply(events)
			switch format {
			case formatJSON:
				return printJSON(c, events)
			case formatHTML:
				return timeline.WriteHTML(c.OutOrStdout(), events)
			default:
				fmt.Fprint(c.OutOrStdout(), timeline.Text(events))
				return nil
			}
		},
	}
	requireSettings(c, &path, "operator's settings file")
	c.Flags().StringVar(&format, "format", formatText, "output format: text, json or html")
	c.Flags().StringVar(&filter.Request, "request", "", "only events of this request")
	c.Flags().StringVar(&filter.Group, "group", "", "only events of this group")
	c.Flags().StringVar(&filter.Change, "change", "", "only events of this change")
	return c
}
