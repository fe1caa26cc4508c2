// Package pace bounds how many requests an endpoint gets in any second.
//
// An endpoint that is cold falls over beyond a few requests a second, and it
// may turn cold without anybody noticing for a moment. The bound therefore
// counts starts in a sliding second, and what has just been sent to a warm
// endpoint counts against its cold bound as soon as it turns cold.
package pace

import "github.com/jujubescale/jujubescale/internal/base/clock"

// Window is the span over which starts are counted. It is a little longer than
// the second in which an endpoint counts arrivals: requests that left a second
// apart may arrive closer together, by the spread of the network's delay.
const Window = 1100 * clock.Millis(1)

// maxKept bounds the memory of one pace; no cold bound comes near it.
const maxKept = 64

// Limiter counts the starts at one endpoint. It is not safe for use by several
// goroutines at once.
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

// Record counts a request that is sent now.
func (p *Limiter) Record(now clock.Millis) {
	if p.Recent(now) == maxKept {
		p.starts = append(p.starts[:0], p.starts[1:]...)
	}
	p.starts = append(p.starts, now)
}

// Delay returns how long it takes until fewer than bound starts are in the
// window; 0 when that is so now.
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
