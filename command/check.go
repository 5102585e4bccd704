package command

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"guavahitch.example/guavahitch/document"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/platform"
	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/settings"
)

const (
	kindInventory = "inventory"
	kindSettings  = "settings"
	kindRoutes    = "routes"
	kindPlatform  = "platform"
	// againstTimeout bounds the reading of the version in force.
	againstTimeout = 5 * time.Second
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
}

// checkers maps the kinds of files that hold routed configurations to the functions that check them.
var checkers = map[string]func(file string, text []byte) (*route.Configuration, document.Problems){
	kindRoutes:   route.CheckText,
	kindPlatform: platform.CheckConfiguration,
}

type (
	// checked is the result for one file in the JSON output.
	checked struct {
		File        string
		Problems    []checkedProblem
		Differences []route.Difference `json:",omitempty"`
	}

	// checkedProblem is one problem in the JSON output.
	checkedProblem struct {
		Line    int
		Column  int
		Field   string `json:",omitempty"`
		Value   string `json:",omitempty"`
		Allowed string `json:",omitempty"`
		Text    string
		Warning bool `json:",omitempty"`
	}
)

func newCheck() *cobra.Command {
	var kind, format, against string
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check inventories, settings, routes or platform configurations without a running system",
		Long: `Check inventories, settings, routes or platform configurations without a running system.

All problems are printed, each as FILE:LINE:COLUMN, field, description, value and allowed values. A warning marks what
is accepted but can never match, has no effect or contradicts something else. With --against, the differences from
another version are printed too: the one in the file, or the one in force at a control address. The exit code is 0 when
there are no problems, 1 when there are some or the other version cannot be read, and 2 when an argument is invalid.`,
		Example: "  guavahitch check inventory.json\n  guavahitch check --kind settings --format json entry.json\n" +
			"  guavahitch check --kind platform --against 10.0.1.21:8080 next.json",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			if parsers[kind] == nil && checkers[kind] == nil {
				return newArgumentError("check: --kind %s: must be %s, %s, %s or %s", kind, kindInventory, kindSettings, kindRoutes, kindPlatform)
			}
			if against != "" && checkers[kind] == nil {
				return newArgumentError("check: --against: is only for --kind %s and %s", kindRoutes, kindPlatform)
			}
			if err := checkFormat("check", format); err != nil {
				return err
			}
			return runCheck(c, kind, format, against, files)
		},
	}
	c.Flags().StringVar(&kind, "kind", kindInventory, "kind of the files: inventory, settings, routes or platform")
	c.Flags().StringVar(&against, "against", "", "file, or control address for --kind platform, of a version to compare with")
	addFormat(c, &format)
	return c
}

func runCheck(c *cobra.Command, kind, format, against string, files []string) error {
	other, otherErr := readAgainst(c.Context(), kind, against)
	var results []checked
	isFailed := otherErr != nil
	for _, file := range files {
		configuration, problems, err := problemsOf(kind, file)
		if err != nil {
			return err
		}
		var differences []route.Difference
		if other != nil && configuration != nil {
			differences = route.Differences(other, configuration)
			problems = append(problems, versionProblems(file, other, configuration, differences)...)
		}
		isFailed = isFailed || len(problems) > 0
		results = append(results, checkedOf(file, problems, differences))
		if format == formatText {
			printProblems(c, file, problems)
			printDifferences(c, differences)
		}
	}
	if format == formatJSON {
		if err := printJSON(c, results); err != nil {
			return err
		}
	}
	if otherErr != nil {
		return otherErr
	}
	if isFailed {
		return &silentError{code: ExitFailed}
	}
	return nil
}

// readAgainst reads the version to compare with, nil for none.
func readAgainst(ctx context.Context, kind, against string) (*route.Configuration, error) {
	if against == "" {
		return nil, nil
	}
	text, err := os.ReadFile(against)
	switch {
	case err == nil && kind == kindPlatform:
		return platform.ParseConfiguration(text)
	case err == nil:
		return route.Parse(against, text)
	case kind == kindPlatform && errors.Is(err, fs.ErrNotExist):
		ctx, cancel := context.WithTimeout(ctx, againstTimeout)
		defer cancel()
		return platform.ReadConfiguration(ctx, against)
	default:
		return nil, eris.Wrapf(err, "check --against %s", against)
	}
}

// versionProblems warns of a changed configuration whose version is not newer: the running system would ignore it.
func versionProblems(file string, other, configuration *route.Configuration, differences []route.Difference) document.Problems {
	if configuration.Version > other.Version || len(differences) == 0 {
		return nil
	}
	return document.Problems{{
		Position: document.Position{File: file, Line: 1, Column: 1}, IsWarning: true,
		Text: fmt.Sprintf("version %d is not newer than %d, so it would be ignored", configuration.Version, other.Version),
	}}
}

// problemsOf returns the problems of a file, and the configuration of one that holds one and could be decoded.
func problemsOf(kind, file string) (*route.Configuration, document.Problems, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "check %s", file)
	}
	if check := checkers[kind]; check != nil {
		configuration, problems := check(file, text)
		return configuration, problems, nil
	}
	err = parsers[kind](file, text)
	var problems document.Problems
	if err != nil && !errors.As(err, &problems) {
		return nil, nil, err
	}
	return nil, problems, nil
}

func printDifferences(c *cobra.Command, differences []route.Difference) {
	for _, d := range differences {
		line := d.Change + " " + d.Item
		if d.Name != "" {
			line += " " + d.Name
		}
		fmt.Fprintln(c.OutOrStdout(), line)
		for _, f := range d.Fields {
			fmt.Fprintf(c.OutOrStdout(), "  %s: %s, before %s\n", f.Field, f.After, f.Before)
		}
	}
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

func checkedOf(file string, problems document.Problems, differences []route.Difference) checked {
	result := checked{File: file, Problems: []checkedProblem{}, Differences: differences}
	for _, p := range problems {
		result.Problems = append(result.Problems, checkedProblem{
			Line: p.Position.Line, Column: p.Position.Column, Field: p.Field, Value: p.Value, Allowed: p.Allowed, Text: p.Text, Warning: p.IsWarning,
		})
	}
	return result
}
