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
	// SizeLimit is the largest document that is read, in bytes.
	SizeLimit = 16 << 20
	// valueShown is the most bytes of an offending value that a problem shows.
	valueShown = 60
)

var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// Document is a decoded document that remembers where each field stands, so that checks across fields can
// report positions.
type Document struct {
	file     string
	data     []byte
	places   map[string]place
	Problems Problems
}

type place struct{ start, end int }

// Decode reads JSON with comments into the value that into points to. All problems found are in the
// Problems of the returned document; fields without a problem are set.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{file: file, data: data, places: map[string]place{}}
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

// Err returns the problems in the order of the file as an error, or nil when there are none.
func (d *Document) Err() error {
	return d.Problems.Sorted().Err()
}

// Add reports a problem of the field at a path such as "Upstreams[3].Group". A path that is not in the
// document is reported at its nearest enclosing field.
func (d *Document) Add(path, text, allowed string) {
	found := d.enclosing(path)
	problem := Problem{Position: d.position(found.start), Field: path, Text: text, Allowed: allowed}
	if exact, ok := d.places[path]; ok {
		problem.Value = d.shown(exact)
	}
	d.Problems = append(d.Problems, problem)
}

// Has reports whether the field at the path stands in the document.
func (d *Document) Has(path string) bool {
	_, ok := d.places[path]
	return ok
}

func (d *Document) enclosing(path string) place {
	for {
		if found, ok := d.places[path]; ok {
			return found
		}
		if path == "" {
			return place{}
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

func (d *Document) shown(p place) string {
	text := strings.Join(strings.Fields(string(d.data[p.start:p.end])), " ")
	if len(text) > valueShown {
		return text[:valueShown] + "..."
	}
	return text
}

func (d *Document) addSyntaxError(err error) {
	problem := Problem{Position: Position{File: d.file, Line: 1, Column: 1}, Text: err.Error()}
	if m := syntaxError.FindStringSubmatch(err.Error()); m != nil {
		problem.Position.Line, _ = strconv.Atoi(m[1])
		problem.Position.Column, _ = strconv.Atoi(m[2])
		problem.Text = m[3]
	}
	d.Problems = append(d.Problems, problem)
}
