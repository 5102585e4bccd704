package command

import (
	"io"

	"github.com/sirupsen/logrus"
)

// newLog returns the log of a daemon: lines for changes of state, in key=value form.
func newLog(level string, out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}
