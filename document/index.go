package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// index.go finds the positions of all values of a text that is decoded elsewhere.

// Index reads plain JSON and stores the positions of its values, by the names as they are written. It reports syntax errors
// and duplicate or misspelt fields, but decodes nothing. The names function returns the names of the fields of an object
// that are known, by its path without indexes. An object without known fields is not entered, nor is a list in a list:
// the paths of deeply nested values take memory that grows with the square of the depth.
func Index(file string, data []byte, names func(path string) []string) *Document {
	d := &Document{file: file, data: data, ranges: map[string]byteRange{}}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		d.AddOffset(err)
		return d
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.index(root, "", "", names)
	return d
}

// AddOffset adds an error of package json at the position that it tells.
func (d *Document) AddOffset(err error) {
	offset, field := int64(0), ""
	var syntax *json.SyntaxError
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		// The offset is that of the byte after the one at fault.
		offset = max(syntax.Offset-1, 0)
	case errors.As(err, &wrong):
		offset, field = max(wrong.Offset-1, 0), wrong.Field
	}
	d.Problems = append(d.Problems, Problem{Position: d.position(int(offset)), Field: field, Text: err.Error()})
}

// Report adds a problem of a field without its value, at the field or the innermost one around it. Warnings beyond
// maxReported problems are dropped.
func (d *Document) Report(path, text string, isWarning bool) {
	if isWarning && len(d.Problems) >= maxReported {
		return
	}
	position := d.position(d.enclosing(path).start)
	d.Problems = append(d.Problems, Problem{Position: position, Field: path, Text: text, IsWarning: isWarning})
}

func (d *Document) index(v hujson.Value, path, kind string, names func(path string) []string) {
	d.ranges[path] = byteRange{v.StartOffset, v.EndOffset}
	switch value := v.Value.(type) {
	case *hujson.Object:
		d.indexObject(value, path, kind, names)
	case *hujson.Array:
		for i, element := range value.Elements {
			if _, isList := element.Value.(*hujson.Array); isList {
				continue
			}
			d.index(element, fmt.Sprintf("%s[%d]", path, i), kind, names)
		}
	}
}

func (d *Document) indexObject(object *hujson.Object, path, kind string, names func(path string) []string) {
	known := names(kind)
	if len(known) == 0 {
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		inner := joinPath(path, name)
		if seen[name] {
			d.reportAt(member.Name.StartOffset, inner, "duplicate field; the last value is used")
		}
		seen[name] = true
		if near := misspelling(name, known); near != "" {
			d.reportAt(member.Name.StartOffset, inner, fmt.Sprintf("unknown field; did you mean %s?", near))
		}
		d.index(member.Value, inner, joinPath(kind, name), names)
	}
}

func (d *Document) reportAt(offset int, path, text string) {
	if len(d.Problems) >= maxReported {
		return
	}
	d.Problems = append(d.Problems, Problem{Position: d.position(offset), Field: path, Text: text, IsWarning: true})
}

const (
	// misspellingDistance is the number of letters by which an unknown name may differ from the one that was meant, and
	// misspellingLength the length from which it is compared. Other names are those of fields for other programs.
	misspellingDistance = 2
	misspellingLength   = 6
	// maxName bounds the names that are compared, in bytes.
	maxName = 64
	// maxReported bounds the problems, since finding the line of one reads the text up to it.
	maxReported = 1000
)

// misspelling returns the known name that an unknown one is probably meant to be, or nothing.
func misspelling(name string, known []string) string {
	for _, k := range known {
		// Package json ignores case.
		if strings.EqualFold(k, name) {
			return ""
		}
	}
	if len(name) < misspellingLength || len(name) > maxName {
		return ""
	}
	if near := Nearest(name, known); near != "" && editDistance(strings.ToLower(name), strings.ToLower(near)) <= misspellingDistance {
		return near
	}
	return ""
}
