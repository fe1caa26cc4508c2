// Package span formats the times of a request's stages for the log.
package span

import (
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Span is the time of one run of a stage.
type Span struct {
	Stage int
	// Start is the time from the request's arrival to the start of the stage.
	Start    clock.Millis
	Duration clock.Millis
	Failed   bool
}

// Format formats spans for the log: "0@0+266 1@268+412!" is a stage 0 that took 266
// ms, and a stage 1 that started after 268 ms and failed 412 ms later.
func Format(spans []Span) string {
	var text []byte
	for i, s := range spans {
		if i > 0 {
			text = append(text, ' ')
		}
		text = strconv.AppendInt(text, int64(s.Stage), 10)
		text = append(text, '@')
		text = strconv.AppendInt(text, int64(s.Start), 10)
		text = append(text, '+')
		text = strconv.AppendInt(text, int64(s.Duration), 10)
		if s.Failed {
			text = append(text, '!')
		}
	}
	return string(text)
}
