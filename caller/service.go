package caller

import (
	"net/http"
	"path"
	"strings"

	"github.com/labstack/echo/v5"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/outcome"
)

// service.go serves the declared paths of plain services, and writes the answers of models and services.

func (s *Server) serveService(c *echo.Context) error {
	r := c.Request()
	if !isCanonicalPath(r.URL.EscapedPath()) {
		return writeRefusal(c, badRequest("bad-path", "the path has dot segments, empty segments or escaped slashes"))
	}
	service, route, found := s.settings.Dispatcher.Inventory().Route(r.Method, r.URL.Path)
	if !found {
		return writeRefusal(c, newRefusal("unknown-path", "no service declares "+r.Method+" for this path", http.StatusNotFound, 0))
	}
	request, release, refusal := s.newRequest(c)
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	defer release()
	request.Service, request.Weight = service.Name, service.Weight
	request.Repeatable = route.Repeatable
	request.PromptTokens, request.OutputTokens = 1, 1
	if !route.Repeatable && request.Key == "" {
		return writeRefusal(c, badRequest("key-missing", "this call may not be repeated: send "+HeaderIdempotencyKey))
	}
	return s.serveRequest(c, request)
}

// isCanonicalPath reports whether an upstream can only read the path in one way: it has no dot segments, no empty
// segments and no escaped dots, slashes or backslashes.
func isCanonicalPath(escaped string) bool {
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%2e") || strings.Contains(lower, "%5c") {
		return false
	}
	cleaned := path.Clean(escaped)
	return cleaned == escaped || cleaned+"/" == escaped
}

// serveRequest dispatches the request and writes its answer.
func (s *Server) serveRequest(c *echo.Context, request *dispatch.Request) error {
	w := c.Response()
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(request.Deadline.Add(writeTimeout))
	started := false
	sink := dispatch.Sink{
		Head: func(head admission.Head, length int64) {
			started = true
			for _, h := range head.Headers {
				w.Header().Add(h.Name, h.Value)
			}
			if length >= 0 {
				w.Header().Set("Content-Length", itoa(int(length)))
			}
			w.WriteHeader(head.Status)
		},
		Data: func(data []byte) error {
			_ = control.SetWriteDeadline(writeDeadline())
			if _, err := w.Write(data); err != nil {
				return err
			}
			return control.Flush()
		},
	}
	failure := s.settings.Dispatcher.Do(c.Request().Context(), request, sink)
	if failure == nil {
		return nil
	}
	if !started {
		return writeRefusal(c, failure)
	}
	abort(w, failure)
	return nil
}

// abort ends a partly written answer so that the caller can't mistake it for a complete one: it writes an error event
// to an event stream and closes the connection.
func abort(w http.ResponseWriter, failure *outcome.Error) {
	if strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		writeErrorEvent(w, failure)
	}
	panic(http.ErrAbortHandler)
}
