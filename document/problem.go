// Package document decodes JSON with comments into typed values. It reports all problems of a document together, each
// with its file, line, column, field, value and the allowed values. Settings, inventories and routes use it.
package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

type (
	// Position is a position in a file. Line and Column count from 1; Column counts bytes.
	Position struct {
		File   string
		Line   int
		Column int
	}

	// Problem is one invalid or missing part of a document.
	Problem struct {
		Position Position
		// Field is the path of the field, such as "Upstreams[3].Group".
		Field string
		// Value is the invalid value as written in the file, shortened when it is long.
		Value string
		// Allowed describes the values that the field accepts.
		Allowed string
		// Text describes the problem.
		Text string
		// IsWarning is set if the document is accepted nevertheless.
		IsWarning bool
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
	if p.IsWarning {
		text += "warning: "
	}
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

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the problems sorted by position. Problems at the same position keep their order.
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
