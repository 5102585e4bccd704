package command

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"
)

// format.go holds what the verbs share: output formats and exit codes.

const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

type (
	// usage is an error in the arguments.
	usage struct{ text string }

	// silentError ends the program with a code after the verb has printed what is wrong.
	silentError struct{ code int }
)

func (u *usage) Error() string { return u.text }

func (s *silentError) Error() string { return fmt.Sprintf("exit code %d", s.code) }

func usageError(format string, arguments ...any) error {
	return &usage{text: fmt.Sprintf(format, arguments...)}
}

func addFormat(c *cobra.Command, format *string) {
	c.Flags().StringVar(format, "format", formatText, "output format: text or json")
}

func checkFormat(verb, format string, more ...string) error {
	for _, known := range append([]string{formatText, formatJSON}, more...) {
		if format == known {
			return nil
		}
	}
	return usageError("%s: --format %s: unknown format", verb, format)
}

func printJSON(c *cobra.Command, value any) error {
	encoder := json.NewEncoder(c.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
