package proc

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// pace spaces the requests on one connection, so that a caller who sends one after the other and reads no answers doesn't take the
// processor from all others.
type pace struct {
	clock    *clock.Clock
	interval clock.Millis

	mu sync.Mutex
	// nextAt is the earliest instant of the next request.
	nextAt clock.Millis
}

// paceKey is the key of the pace in the context of a connection.
type paceKey struct{}

// wait waits until the next request may be served, or the context ends.
func (p *pace) wait(ctx context.Context) error {
	p.mu.Lock()
	now := p.clock.Now()
	at := max(p.nextAt, now)
	p.nextAt = at + p.interval
	p.mu.Unlock()
	if at == now {
		return nil
	}
	return p.clock.Sleep(ctx, at-now)
}

// withPace returns a context for the requests of a new connection.
func withPace(ctx context.Context, interval clock.Millis) context.Context {
	return context.WithValue(ctx, paceKey{}, &pace{clock: clock.New(), interval: interval})
}

// paced returns a handler that spaces the requests of each connection. While the port is full, a connection ends with its answer:
// others wait for its place.
func paced(handler http.Handler, isFull func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isFull() {
			w.Header().Set("Connection", "close")
		} else if p, found := r.Context().Value(paceKey{}).(*pace); found && p.wait(r.Context()) != nil {
			return // the caller has left
		}
		handler.ServeHTTP(w, r)
	})
}

// connContext returns the function that makes the contexts of connections.
func (o *PortOptions) connContext() func(ctx context.Context, c net.Conn) context.Context {
	if o.RequestInterval == 0 {
		return o.ConnContext
	}
	return func(ctx context.Context, c net.Conn) context.Context {
		if o.ConnContext != nil {
			ctx = o.ConnContext(ctx, c)
		}
		return withPace(ctx, o.RequestInterval)
	}
}
