package command

import (
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/losses"
	"guavahitch.example/guavahitch/operator"
	"guavahitch.example/guavahitch/report"
)

// defaultReportPeriod is the time that a report covers without --since.
const defaultReportPeriod = 7 * 24 * time.Hour

func newReport() *cobra.Command {
	var path, format string
	var logs []string
	var since time.Duration
	c := &cobra.Command{
		Use:   "report",
		Short: "Generate the weekly report from durable records",
		Long: `Generate the weekly report from durable records.

It lists configuration changes, changes of expert maps with their skew and moved bytes, upstream failures,
quarantine, membership, and refused and unknown outcomes by organisation and service. With --format html the output
is one self-contained page with plots. Counts of outcomes are recorded every five minutes, so the latest ones are
missing.

With --logs it reads the log files of entries instead, and counts the requests that callers got late or not at all, by
route, second and reason.`,
		Example: "  guavahitch report --settings operator.json --since 168h\n  guavahitch report --settings operator.json --format html\n  guavahitch report --logs entry-1.log,entry-2.log",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(logs) > 0 {
				return printLosses(c, format, logs)
			}
			if path == "" {
				return newArgumentError("report: --settings or --logs is needed")
			}
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
	c.Flags().StringVar(&path, "settings", "", "operator's settings file")
	c.Flags().StringSliceVar(&logs, "logs", nil, "log files of entries to count losses in")
	c.Flags().StringVar(&format, "format", formatText, "output format: text, json or html")
	c.Flags().DurationVar(&since, "since", defaultReportPeriod, "period before now that the report covers")
	return c
}

// printLosses prints the losses that the log files of entries show.
func printLosses(c *cobra.Command, format string, paths []string) error {
	if err := checkFormat("report", format); err != nil {
		return err
	}
	var files []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return eris.Wrap(err, "report: --logs")
		}
		defer file.Close()
		files = append(files, file)
	}
	found, err := losses.Read(files...)
	switch {
	case err != nil:
		return err
	case format == formatJSON:
		return printJSON(c, found)
	default:
		return found.WriteText(c.OutOrStdout())
	}
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
