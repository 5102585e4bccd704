// Package document decodes JSON with comments into typed values and reports every error at once, each with
// its file, line, column, field, value and what is allowed. Settings and inventories are read by it.
package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

type (
	// Position is a place in a file; line and column count from 1, the column in bytes.
	Position struct {
		File   string
		Line   int
		Column int
	}

	// Problem is one error in a document.
	Problem struct {
		Position Position
		// Field is the path of the field, such as "Upstreams[3].Group".
		Field string
		// Value is the offending value as it stands in the file, cut to a readable length.
		Value string
		// Allowed tells what the field takes.
		Allowed string
		// Text tells what is wrong.
		Text string
	}

	// Problems is the error of a document with at least one problem.
	Problems []Problem
)

// String returns the position as "file:line:column".
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// String returns the problem in one line.
func (p Problem) String() string {
	text := p.Position.String() + ": "
	if p.Field != "" {
		text += p.Field + ": "
	}
	text += p.Text
	if p.Value != "" {
		text += ": " + p.Value
	}
	if p.Allowed != "" {
		text += " (allowed: " + p.Allowed + ")"
	}
	return text
}

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the problems in the order of their places; those of one place stay as they are.
func (p Problems) Sorted() Problems {
	return slices.SortedStableFunc(slices.Values(p), func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Position.Line, b.Position.Line), cmp.Compare(a.Position.Column, b.Position.Column))
	})
}

// Err returns the problems as an error, or nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
