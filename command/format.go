package command

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"
)

// format.go holds the output formats and the error types that the verbs share.

const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

type (
	// argumentError is an error in the arguments or flags; the program ends with ExitUsage.
	argumentError struct{ text string }

	// silentError ends the program with an exit code and prints nothing, because the verb has already printed the cause.
	silentError struct{ code int }
)

func (u *argumentError) Error() string { return u.text }

func (s *silentError) Error() string { return fmt.Sprintf("exit code %d", s.code) }

func newArgumentError(format string, arguments ...any) error {
	return &argumentError{text: fmt.Sprintf(format, arguments...)}
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
	return newArgumentError("%s: --format %s: unknown format", verb, format)
}

func printJSON(c *cobra.Command, value any) error {
	encoder := json.NewEncoder(c.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
