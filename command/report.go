package command

import (
	"time"

	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/operator"
	"guavahitch.example/guavahitch/report"
)

// defaultReportPeriod is the time that a report covers without --since.
const defaultReportPeriod = 7 * 24 * time.Hour

func newReport() *cobra.Command {
	var path, format string
	var since time.Duration
	c := &cobra.Command{
		Use:   "report",
		Short: "Generate the weekly report from durable records",
		Long: `Generate the weekly report from durable records.

It lists configuration changes, changes of expert maps with their skew and moved bytes, upstream failures,
quarantine, membership, and refused and unknown outcomes by organisation and service. With --format html the output
is one self-contained page with plots. Counts of outcomes are recorded every five minutes, so the latest ones are
missing.`,
		Example: "  guavahitch report --settings operator.json --since 168h\n  guavahitch report --settings operator.json --format html",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkFormat("report", format, formatHTML); err != nil {
				return err
			}
			if since <= 0 {
				return newArgumentError("report: --since %v: must be a positive duration such as 168h", since)
			}
			client, err := operator.ReadClient(path)
			if err != nil {
				return err
			}
			records, err := client.Records(c.Context(), "", "")
			if err != nil {
				return err
			}
			now := time.Now()
			return printReport(c, format, report.New(records, now.Add(-since), now))
		},
	}
	requireSettings(c, &path, "operator's settings file")
	c.Flags().StringVar(&format, "format", formatText, "output format: text, json or html")
	c.Flags().DurationVar(&since, "since", defaultReportPeriod, "period before now that the report covers")
	return c
}

func printReport(c *cobra.Command, format string, r report.Report) error {
	switch format {
	case formatJSON:
		return printJSON(c, r)
	case formatHTML:
		return report.WriteHTML(c.OutOrStdout(), r)
	default:
		report.WriteText(c.OutOrStdout(), r)
		return nil
	}
}
