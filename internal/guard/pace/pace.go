// Package pace limits the number of requests per second to an endpoint.
//
// A cold endpoint crashes under more than a few requests per second, and a warm
// endpoint may turn cold before this process detects it. The limiter therefore
// counts starts in a sliding window, so that requests just sent to a warm
// endpoint count against its cold bound once it turns cold.
package pace

import "github.com/jujubescale/jujubescale/internal/base/clock"

// Window is the time over which starts are counted. It is slightly longer than the
// second in which an endpoint counts arrivals, because requests sent one second
// apart can arrive closer together when the network delay varies.
const Window = 1100 * clock.Millis(1)

// maxStarts bounds the memory of a limiter. It is far above any cold bound.
const maxStarts = 64

// Limiter counts the requests started at one endpoint. It is not safe for
// concurrent use.
type Limiter struct {
	starts []clock.Millis
}

// Recent returns the number of starts in the window that ends now.
func (p *Limiter) Recent(now clock.Millis) int {
	first := 0
	for first < len(p.starts) && p.starts[first] <= now-Window {
		first++
	}
	if first > 0 {
		p.starts = append(p.starts[:0], p.starts[first:]...)
	}
	return len(p.starts)
}

// Record counts a request sent now.
func (p *Limiter) Record(now clock.Millis) {
	if p.Recent(now) == maxStarts {
		p.starts = append(p.starts[:0], p.starts[1:]...)
	}
	p.starts = append(p.starts, now)
}

// Delay returns the time until fewer than bound starts are in the window, 0 if
// that is already the case. It returns Window if bound is not positive.
func (p *Limiter) Delay(bound int, now clock.Millis) clock.Millis {
	recent := p.Recent(now)
	if bound <= 0 {
		return Window
	}
	if recent < bound {
		return 0
	}
	return p.starts[recent-bound] + Window - now
}
