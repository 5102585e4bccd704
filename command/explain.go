package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/operator"
)

// explanation is the JSON output of explain.
type explanation struct {
	// Change is the status of the configuration change; nil when the name is that of a record.
	Change *operator.Change `json:",omitempty"`
	// Records are the records of the change, or the record with the given name, such as "record-17".
	Records []operator.Record
	// Afterwards are the next decisions of the same kind and on the same subject as the first record.
	Afterwards []operator.Record
}

// maxAfterwards bounds the number of later decisions in an explanation.
const maxAfterwards = 5

func newExplain() *cobra.Command {
	var path, format string
	c := &cobra.Command{
		Use:   "explain CHANGE",
		Short: "Explain why a change was made and what followed",
		Long: `Explain why a change was made and what followed.

CHANGE is the id of a configuration change, or the name of a record such as that of a map change. The output is
based on durable records only: what was decided, when, by which replica in which term, on which figures and by
which rule, which alternatives were considered, and the next decisions on the same subject.`,
		Example: "  guavahitch explain --settings operator.json record-17\n  guavahitch explain --settings operator.json CHANGE-ID",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			if err := checkFormat("explain", format); err != nil {
				return err
			}
			client, err := operator.ReadClient(path)
			if err != nil {
				return err
			}
			found, err := explain(c.Context(), client, arguments[0])
			if err != nil {
				return err
			}
			if format == formatJSON {
				return printJSON(c, found)
			}
			fmt.Fprint(c.OutOrStdout(), describeExplanation(found))
			return nil
		},
	}
	requireSettings(c, &path, "operator's settings file")
	addFormat(c, &format)
	return c
}

func explain(ctx context.Context, client *operator.Client, name string) (explanation, error) {
	all, err := client.Records(ctx, "", "")
	if err != nil {
		return explanation{}, err
	}
	found := explanation{}
	for _, r := range all {
		if r.ChangeID == name || fmt.Sprintf("record-%d", r.Index) == name {
			found.Records = append(found.Records, r)
		}
	}
	if change, err := client.Change(ctx, name); err == nil && change.State != "unknown" && change.State != "" {
		found.Change = &change
	}
	if len(found.Records) == 0 && found.Change == nil {
		return found, fmt.Errorf("explain: no change or record has the id %s", name)
	}
	for _, r := range all {
		if len(found.Records) > 0 && r.Index > found.Records[0].Index && isOtherOnSameSubject(found.Records, r) && len(found.Afterwards) < maxAfterwards {
			found.Afterwards = append(found.Afterwards, r)
		}
	}
	return found, nil
}

func isOtherOnSameSubject(records []operator.Record, later operator.Record) bool {
	for _, r := range records {
		if r.Index == later.Index {
			return false
		}
	}
	return later.Kind == records[0].Kind && later.Subject == records[0].Subject
}

func describeExplanation(e explanation) string {
	var text strings.Builder
	if e.Change != nil {
		fmt.Fprintln(&text, describeChange(*e.Change))
	}
	for _, r := range e.Records {
		describeRecord(&text, r)
	}
	if len(e.Afterwards) > 0 {
		fmt.Fprintln(&text, "afterwards:")
	}
	for _, r := range e.Afterwards {
		fmt.Fprintf(&text, "  record-%d %s: %s\n", r.Index, timeOfMs(r.TimeMs), r.Decision)
	}
	return text.String()
}

func describeRecord(text *strings.Builder, r operator.Record) {
	fmt.Fprintf(text, "record-%d: %s %s: %s\n", r.Index, r.Kind, r.Subject, r.Decision)
	fmt.Fprintf(text, "  when: %s by replica %s in term %d, inventory revision %d\n", timeOfMs(r.TimeMs), r.Replica, r.Term, r.Revision)
	for _, line := range []struct{ name, value string }{{"cause", r.Cause}, {"rule", r.Rule}} {
		if line.value != "" {
			fmt.Fprintf(text, "  %s: %s\n", line.name, line.value)
		}
	}
	for _, f := range r.Figures {
		fmt.Fprintf(text, "  figure: %s = %g %s\n", f.Name, f.Value, f.Unit)
	}
	for _, a := range r.Alternatives {
		fmt.Fprintf(text, "  alternative: %s, cost %.4g, gain %.4g\n", a.Name, a.Cost, a.Gain)
	}
}

func timeOfMs(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05.000 UTC") }
