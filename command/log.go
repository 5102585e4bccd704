package command

import (
	"io"

	"github.com/sirupsen/logrus"
)

// newLog returns the logger of a process, which writes lines in key=value form. An unknown level leaves it at info.
func newLog(level string, out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}
