package command

import (
	"io"

	"github.com/sirupsen/logrus"
)

// newLog returns the logger of a process, which writes lines in key=value form. The processes log changes of state and
// failures, not single requests. An unknown level leaves the logger at info.
func newLog(level string, out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}
