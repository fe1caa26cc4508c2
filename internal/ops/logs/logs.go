// Package logs creates the logger of a process, which writes one line of
// key=value pairs for each event. The message names the event; all variable data
// is in separate pairs, so that lines can be searched by field.
package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Log keys that all packages share.
const (
	KeyProcess          = "process"
	KeyAvailabilityZone = "availabilityZone"
	KeyIncarnation      = "incarnation"
	KeyRequest          = "request"
	KeyError            = "error"
)

// LevelError reports an unknown log level.
type LevelError struct {
	Level string
}

// Error implements error.
func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q is not allowed; allowed: debug, info, warn, error", e.Level)
}

// New returns a logger that writes events at the level or above to out, with the
// pairs added to each line. It returns a LevelError for an unknown level.
func New(out io.Writer, level string, pairs ...any) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil || parsed == log.FatalLevel {
		return nil, &LevelError{Level: level}
	}
	logger := log.NewWithOptions(out, log.Options{
		Level:           parsed,
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		TimeFunction:    func(t time.Time) time.Time { return t.UTC() },
	})
	return logger.With(pairs...), nil
}
