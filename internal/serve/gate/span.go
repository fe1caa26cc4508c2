package gate

import (
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// span is the time of one run of a stage.
type span struct {
	stage int
	// start is the time from the request's arrival to the start of the stage.
	start    clock.Millis
	duration clock.Millis
	failed   bool
}

// formatSpans formats spans for the log: "0@0+266 1@268+412!" is a stage 0 that took 266
// ms, and a stage 1 that started after 268 ms and failed 412 ms later.
func formatSpans(spans []span) string {
	var text []byte
	for i, s := range spans {
		if i > 0 {
			text = append(text, ' ')
		}
		text = strconv.AppendInt(text, int64(s.stage), 10)
		text = append(text, '@')
		text = strconv.AppendInt(text, int64(s.start), 10)
		text = append(text, '+')
		text = strconv.AppendInt(text, int64(s.duration), 10)
		if s.failed {
			text = append(text, '!')
		}
	}
	return string(text)
}
