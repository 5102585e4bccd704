package forward

import (
	"bytes"
	"mime"
	"net/http"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/upstream"
)

// This file checks the answer of an upstream that is to continue a stream of which the caller already has a part. Anything that
// is no continuation must not be written into the stream.

var (
	errNotContinued = eris.New("the answer does not continue the stream")
	errEmptyRest    = eris.New("the answer that continues the stream has no events and no length")
)

// mayContinue reports whether the head of a response is that of the rest of a stream: a success of the same media type as the
// part that the caller has.
func (j *job) mayContinue(response *http.Response) bool {
	if response.StatusCode != http.StatusOK {
		return false
	}
	begun, next := mediaType(j.writer.Header()), mediaType(response.Header)
	return begun == "" || next == "" || begun == next
}

// mediaType returns the media type of a body, or "" if the header names none that can be read.
func mediaType(header http.Header) string {
	name, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return name
}

// isComment reports whether all lines of an event are comments.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if !upstream.IsBlank(line) && line[0] != ':' {
			return false
		}
	}
	return true
}

// checkEnd returns an error if the end of a continued stream proves nothing: without a length and without an event, an upstream
// that has crashed ends in the same way.
func (a *attempt) checkEnd(response *http.Response) error {
	if a.isContinuing && a.events == 0 && !isFramed(response) {
		return errEmptyRest
	}
	return nil
}
