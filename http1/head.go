// Package http1 holds the rules of HTTP/1.1 by which each reader of responses tells a malformed one. The parser of the standard
// library is more lenient.
package http1

import (
	"net/http"

	"github.com/rotisserie/eris"
)

const (
	// minStatus and maxStatus are the smallest and the largest status of HTTP.
	minStatus = 100
	maxStatus = 599
)

// ErrMalformed is the error of a response that is none of HTTP/1.1. It says nothing about whether its request was run.
var ErrMalformed = eris.New("malformed response")

// CheckHead returns ErrMalformed if a final or interim response has a status outside the classes of HTTP.
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return eris.Wrapf(ErrMalformed, "status %q", response.Status)
	}
	return nil
}
