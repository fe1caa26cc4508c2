package gate

import (
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// span is the time of one stage of a request, or of one try of it.
type span struct {
	stage int
	// from is when it began, counted from the request's arrival.
	from   clock.Millis
	took   clock.Millis
	failed bool
}

// spansText writes spans for the log: "0@0+266 1@268+412!" is a stage 0 that took
// 266 ms, and a stage 1 that began after 268 ms and failed 412 ms later.
func spansText(spans []span) string {
	var text []byte
	for i, s := range spans {
		if i > 0 {
			text = append(text, ' ')
		}
		text = strconv.AppendInt(text, int64(s.stage), 10)
		text = append(text, '@')
		text = strconv.AppendInt(text, int64(s.from), 10)
		text = append(text, '+')
		text = strconv.AppendInt(text, int64(s.took), 10)
		if s.failed {
			text = append(text, '!')
		}
	}
	return string(text)
}
