package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/outcome"
)

// writeRefusal writes the JSON error of a refusal, with a Retry-After header in seconds when a retry is useful.
func writeRefusal(c *echo.Context, failure *outcome.Error) error {
	w := c.Response()
	_ = http.NewResponseController(w).SetWriteDeadline(writeDeadline())
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	return c.JSON(dispatch.StatusOf(failure), dispatch.NewRefusal(failure))
}

// writeErrorEvent ends a stream of server-sent events with an error event that holds the JSON error.
func writeErrorEvent(w http.ResponseWriter, failure *outcome.Error) {
	text, err := json.Marshal(dispatch.NewRefusal(failure))
	if err != nil {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(writeDeadline())
	fmt.Fprintf(w, "event: error\ndata: %s\n\n", text)
	_ = control.Flush()
}

func writeDeadline() time.Time { return time.Now().Add(writeTimeout) }
