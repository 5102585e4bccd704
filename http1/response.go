// Package http1 holds the rules of HTTP/1.1 by which each reader of responses tells one that is malformed or was cut. The standard
// library is more lenient.
package http1

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus are the smallest and the largest status of HTTP.
	minStatus = 100
	maxStatus = 599
)

// ErrMalformed is the error of a response that is none of HTTP/1.1. It says nothing about whether its request was run.
var ErrMalformed = eris.New("malformed response")

// checkedBody is the body of a response that may have a trailer.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Check returns ErrMalformed if the head of a final or interim response is malformed. The body of the response returns it in place
// of io.EOF if the trailer is malformed.
func Check(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return eris.Wrapf(ErrMalformed, "status %q", response.Status)
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	}
	return CheckNames(response.Header)
}

// CheckNames returns ErrMalformed if the name of a field is no token. The parser accepts names with a blank, before the colon
// too, and does not take them for the field that they resemble.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrMalformed, "field name %q", name)
		}
	}
	return nil
}

// Read reads from the body. The trailer is known at the end.
func (b *checkedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF && CheckNames(b.response.Trailer) != nil {
		return n, eris.Wrap(ErrMalformed, "trailer")
	}
	return n, err
}
