package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/document"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/settings"
)

const (
	kindInventory = "inventory"
	kindSettings  = "settings"
	kindRoutes    = "routes"
)

// parsers maps each kind of file to its parser. A parser returns document.Problems when the content is invalid.
var parsers = map[string]func(file string, text []byte) error{
	kindInventory: func(file string, text []byte) error {
		_, err := inventory.Parse(file, text)
		return err
	},
	kindSettings: func(file string, text []byte) error {
		_, err := settings.Parse(file, text)
		return err
	},
	kindRoutes: func(file string, text []byte) error {
		_, err := route.Parse(file, text)
		return err
	},
}

type (
	// checked is the result for one file in the JSON output.
	checked struct {
		File     string
		Problems []checkedProblem
	}

	// checkedProblem is one problem in the JSON output.
	checkedProblem struct {
		Line    int
		Column  int
		Field   string `json:",omitempty"`
		Value   string `json:",omitempty"`
		Allowed string `json:",omitempty"`
		Text    string
	}
)

func newCheck() *cobra.Command {
	var kind, format string
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check inventories, settings or routes without a running system",
		Long: `Check inventories, settings or routes without a running system.

All problems are printed, each as FILE:LINE:COLUMN, field, description, value and allowed values. The exit code
is 0 when there are no problems, 1 when there are some, and 2 when an argument is invalid.`,
		Example: "  guavahitch check inventory.json\n  guavahitch check --kind settings --format json entry.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			if parsers[kind] == nil {
				return newArgumentError("check: --kind %s: must be %s, %s or %s", kind, kindInventory, kindSettings, kindRoutes)
			}
			if err := checkFormat("check", format); err != nil {
				return err
			}
			return runCheck(c, kind, format, files)
		},
	}
	c.Flags().StringVar(&kind, "kind", kindInventory, "kind of the files: inventory, settings or routes")
	addFormat(c, &format)
	return c
}

func runCheck(c *cobra.Command, kind, format string, files []string) error {
	var results []checked
	problemCount := 0
	for _, file := range files {
		problems, err := problemsOf(kind, file)
		if err != nil {
			return err
		}
		problemCount += len(problems)
		results = append(results, checkedOf(file, problems))
		if format == formatText {
			printProblems(c, file, problems)
		}
	}
	if format == formatJSON {
		if err := printJSON(c, results); err != nil {
			return err
		}
	}
	if problemCount > 0 {
		return &silentError{code: ExitFailed}
	}
	return nil
}

func problemsOf(kind, file string) (document.Problems, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "check %s", file)
	}
	err = parsers[kind](file, text)
	var problems document.Problems
	if err != nil && !errors.As(err, &problems) {
		return nil, err
	}
	return problems, nil
}

func printProblems(c *cobra.Command, file string, problems document.Problems) {
	if len(problems) == 0 {
		fmt.Fprintf(c.OutOrStdout(), "%s: ok\n", file)
		return
	}
	for _, p := range problems {
		fmt.Fprintln(c.OutOrStdout(), p)
	}
}

func checkedOf(file string, problems document.Problems) checked {
	result := checked{File: file, Problems: []checkedProblem{}}
	for _, p := range problems {
		result.Problems = append(result.Problems, checkedProblem{
			Line: p.Position.Line, Column: p.Position.Column, Field: p.Field, Value: p.Value, Allowed: p.Allowed, Text: p.Text,
		})
	}
	return result
}
