package command

import (
	"errors"
	"io/fs"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/measure"
)

// newMeasure returns the hidden verb behind `make measure`.
func newMeasure() *cobra.Command {
	var page string
	c := &cobra.Command{
		Use:     "measure",
		Short:   "Write the output of go test -bench, read from standard input, into the tables of a page",
		Example: "  go test -run xxx -bench . -benchtime 1x ./... | guavahitch measure --page docs/MEASUREMENTS.md",
		Args:    cobra.NoArgs,
		Hidden:  true,
		RunE: func(c *cobra.Command, _ []string) error {
			results, err := measure.Parse(c.InOrStdin())
			if err != nil {
				return err
			}
			text, err := os.ReadFile(page)
			if err != nil && !errors.Is(err, fs.ErrNotExist) {
				return eris.Wrapf(err, "measure --page %s", page)
			}
			updated, err := measure.Update(string(text), results)
			if err != nil {
				return eris.Wrapf(err, "measure --page %s", page)
			}
			return eris.Wrapf(os.WriteFile(page, []byte(updated), 0o644), "measure --page %s", page)
		},
	}
	c.Flags().StringVar(&page, "page", "", "page whose tables are replaced")
	_ = c.MarkFlagRequired("page")
	return c
}
