package document

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// SizeLimit is the size of the largest document that Decode accepts, in bytes.
	SizeLimit = 16 << 20
	// maxShownBytes bounds the length of an invalid value in a problem, in bytes.
	maxShownBytes = 60
)

// syntaxErrorPattern matches the text of a syntax error from hujson, which is the only source of its position.
var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// Document is a decoded document. It stores the position of each field, so that checks that involve several fields can
// report positions too.
type Document struct {
	file     string
	data     []byte
	ranges   map[string]byteRange
	Problems Problems
}

// byteRange is the range of bytes of a field's value, or of its name when the field is unknown or duplicate.
type byteRange struct{ start, end int }

// Decode reads JSON with comments into the value that into points to. The field Problems of the returned document holds
// all problems. Fields without a problem are set.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{file: file, data: data, ranges: map[string]byteRange{}}
	if len(data) > SizeLimit {
		d.Problems = append(d.Problems, Problem{
			Position: Position{File: file, Line: 1, Column: 1},
			Text:     "document too large", Value: fmt.Sprintf("%d bytes", len(data)),
			Allowed: fmt.Sprintf("at most %d bytes", SizeLimit),
		})
		return d
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.decodeRoot(root, into)
	return d
}

// Err returns the problems, sorted by position, as an error, or nil when there are none.
func (d *Document) Err() error {
	return d.Problems.Sorted().Err()
}

// Add adds a problem of the field at a path such as "Upstreams[3].Group". When the path is not in the document, the
// problem has the position of the nearest enclosing field.
func (d *Document) Add(path, text, allowed string) {
	found := d.enclosing(path)
	problem := Problem{Position: d.position(found.start), Field: path, Text: text, Allowed: allowed}
	if exact, ok := d.ranges[path]; ok {
		problem.Value = d.valueText(exact)
	}
	d.Problems = append(d.Problems, problem)
}

// Has reports whether the document contains the field at the path.
func (d *Document) Has(path string) bool {
	_, ok := d.ranges[path]
	return ok
}

// enclosing returns the range of the field at the path, or of the nearest enclosing field.
func (d *Document) enclosing(path string) byteRange {
	for {
		if found, ok := d.ranges[path]; ok {
			return found
		}
		if path == "" {
			return byteRange{}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

func (d *Document) position(offset int) Position {
	before := d.data[:min(offset, len(d.data))]
	return Position{
		File:   d.file,
		Line:   bytes.Count(before, []byte("\n")) + 1,
		Column: len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1,
	}
}

// valueText returns the value on one line, cut to maxShownBytes.
func (d *Document) valueText(p byteRange) string {
	text := strings.Join(strings.Fields(string(d.data[p.start:p.end])), " ")
	if len(text) > maxShownBytes {
		return text[:maxShownBytes] + "..."
	}
	return text
}

func (d *Document) addSyntaxError(err error) {
	problem := Problem{Position: Position{File: d.file, Line: 1, Column: 1}, Text: err.Error()}
	if m := syntaxErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		problem.Position.Line, _ = strconv.Atoi(m[1])
		problem.Position.Column, _ = strconv.Atoi(m[2])
		problem.Text = m[3]
	}
	d.Problems = append(d.Problems, problem)
}
