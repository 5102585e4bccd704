package route

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"guavahitch.example/guavahitch/document"
)

// This file decodes configurations in the format of this project. Their fields are named like those of the types below,
// and the text may hold comments.

const (
	kindSafe   = "Safe"
	kindUnsafe = "Unsafe"
	kindStream = "Stream"
)

type (
	configurationDocument struct {
		Version       uint64 `document:"required,min=1"`
		Routes        []routeDocument
		Services      []serviceDocument
		Organisations []organisationDocument
		Limits        limitsDocument
	}

	routeDocument struct {
		Name         string `document:"required"`
		Host         string `document:"required"`
		Prefix       string `document:"required"`
		Kind         string `document:"required,oneof=Safe|Unsafe|Stream"`
		Timeout      time.Duration
		Objective    time.Duration
		GapObjective time.Duration
		Priority     int `document:"min=0"`
		Attempts     int `document:"min=1"`
		Open         bool
		Resumable    bool
		Split        []Share
		Regions      []string
	}

	serviceDocument struct {
		Name           string        `document:"required"`
		MaxConnections int           `document:"min=0"`
		ColdStart      time.Duration `document:"min=0s"`
		ColdPerSecond  float64       `document:"min=0"`
		Engine         *Engine
	}

	organisationDocument struct {
		Name string `document:"required"`
		Keys []string
		// Priority replaces the priority of routes if it is given.
		Priority *int `document:"min=0"`
		Regions  []string
	}

	limitsDocument struct {
		HeaderBytes int `document:"min=0"`
		BodyBytes   int `document:"min=0"`
	}
)

// Parse decodes and checks a configuration in the format of this project. If the text is at fault, the error is a
// document.Problems.
func Parse(file string, text []byte) (*Configuration, error) {
	var read configurationDocument
	d := document.Decode(file, text, &read)
	if err := d.Err(); err != nil {
		return nil, err
	}
	c := read.configuration()
	var invalid *Invalid
	if err := c.Check(); errors.As(err, &invalid) {
		d.Add("", invalid.Error(), "")
		return nil, d.Err()
	}
	return c, nil
}

// CheckText returns all problems of a configuration in the format of this project, and the configuration if it could be
// decoded. It reports an error for each text that Parse refuses.
func CheckText(file string, text []byte) (*Configuration, document.Problems) {
	var read configurationDocument
	d := document.Decode(file, text, &read)
	if len(d.Problems) > 0 {
		return nil, d.Problems.Sorted()
	}
	c := read.configuration()
	for _, finding := range c.Findings() {
		d.Report(documentPath(finding.Place), finding.Detail, finding.IsWarning)
	}
	isFaulty := slices.ContainsFunc(d.Problems, func(p document.Problem) bool { return !p.IsWarning })
	if err := c.Check(); err != nil && !isFaulty {
		d.Report("", err.Error(), false)
	}
	return c, d.Problems.Sorted()
}

// documentPath returns the path of a place in the text.
func documentPath(place Place) string {
	path := "Limits"
	if place.Item != ItemLimits {
		list := map[Item]string{ItemRoute: "Routes", ItemService: "Services", ItemOrganisation: "Organisations"}[place.Item]
		path = fmt.Sprintf("%s[%d]", list, place.Index)
	}
	if place.Field != "" {
		path += "." + strings.TrimPrefix(place.Field, "Is")
	}
	if place.Element >= 0 {
		path += fmt.Sprintf("[%d]", place.Element)
	}
	return path
}

// configuration converts the decoded text.
func (d *configurationDocument) configuration() *Configuration {
	c := &Configuration{
		Version: d.Version,
		Limits:  Limits{HeaderBytes: d.Limits.HeaderBytes, BodyBytes: int64(d.Limits.BodyBytes)},
	}
	for i := range d.Routes {
		c.Routes = append(c.Routes, d.Routes[i].route())
	}
	for _, s := range d.Services {
		c.Services = append(c.Services, Service{
			Name: s.Name, MaxConnections: s.MaxConnections, Engine: s.Engine, ColdStart: s.ColdStart, ColdPerSecond: s.ColdPerSecond,
		})
	}
	for _, o := range d.Organisations {
		decoded := Organisation{Name: o.Name, Keys: o.Keys, Regions: o.Regions}
		if o.Priority != nil {
			decoded.Priority, decoded.HasPriority = *o.Priority, true
		}
		c.Organisations = append(c.Organisations, decoded)
	}
	return c
}

func (d *routeDocument) route() Route {
	kinds := map[string]Kind{kindSafe: Safe, kindUnsafe: Unsafe, kindStream: Stream}
	return Route{
		Name: d.Name, Host: d.Host, Prefix: d.Prefix, Kind: kinds[d.Kind], Timeout: d.Timeout, Objective: d.Objective,
		GapObjective: d.GapObjective, Priority: d.Priority, Attempts: max(d.Attempts, 1), IsOpen: d.Open, IsResumable: d.Resumable,
		Split: d.Split, Regions: d.Regions,
	}
}
