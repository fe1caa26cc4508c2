package whole

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/check"
	"github.com/jujubescale/jujubescale/internal/flow/claim"
	"github.com/jujubescale/jujubescale/internal/plat/call"
	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/serve/entry"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/share/node"
)

// platformZone is where the platform stands on the network: in a zone of its
// own, so that a cut zone loses it too.
const platformZone = "platform"

const (
	inForceLimit  = 20 * time.Second
	inForceMillis = 20 * clock.Second
)

// sessionPort is the port for other entries. Its handler comes after the
// address, which the entry must know when it is built.
type sessionPort struct {
	server  *Server
	handler atomic.Pointer[http.Handler]
}

func (p *sessionPort) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if handler := p.handler.Load(); handler != nil {
		(*handler).ServeHTTP(w, r)
		return
	}
	http.Error(w, "starting", http.StatusServiceUnavailable)
}

func (w *Whole) openSessions(front *Front) error {
	front.sessions = &sessionPort{}
	listen := anyPort
	if front.Sessions != "" {
		listen = front.Sessions
	}
	var err error
	if front.sessions.server, err = Serve(listen, front.sessions); err != nil {
		return err
	}
	front.Sessions = front.sessions.server.Address()
	w.Net.SetZone(front.Sessions, front.Zone)
	return nil
}

func (f *Front) serveSessions() {
	handler := f.Entry.SessionHandler()
	f.sessions.handler.Store(&handler)
}

// stopEntry ends an entry at once.
func (w *Whole) stopEntry(front *Front) {
	front.Entry.Close()
	front.process.Close()
	front.sessions.server.Close()
}

// sharing connects an entry to the platform and, as seeds, to the entries
// that were there before it.
func (w *Whole) sharing(zone string) []entry.Option {
	var seeds []string
	for _, front := range w.Fronts {
		seeds = append(seeds, front.Sessions)
	}
	caller := w.caller(zone)
	return []entry.Option{
		entry.WithStore(caller.Store(call.Claim), claim.WithPlatformCalls(caller.Rate)),
		entry.WithSharing(caller, node.WithSeeds(seeds), node.WithCheck(check.Fill)),
	}
}

// caller is the way to the platform of a process in a zone.
func (w *Whole) caller(zone string) *call.Caller {
	transport := &http.Transport{DialContext: w.Net.Dial(zone)}
	platform := client.New(w.PlatformURL, client.WithHTTP(&http.Client{Transport: transport}))
	return call.New(platform.Store())
}

// Operator returns the operators' way to the platform. It stands outside of
// all zones.
func (w *Whole) Operator() *apply.Operator {
	return apply.New(client.New(w.PlatformURL).Store(), apply.WithCheck(check.Fill))
}

// publish applies the manifest that the system starts with.
func (w *Whole) publish() error {
	_, err := w.Operator().Apply(context.Background(), w.options.manifest, apply.Change{Who: "start"})
	return err
}

// InForce returns what each daemon has in force.
func (w *Whole) InForce() []apply.ProcessRelease {
	var all []apply.ProcessRelease
	for _, front := range w.Fronts {
		all = append(all, apply.ProcessRelease{Process: front.Name, Release: front.Holder.Number()})
	}
	for _, place := range w.Places {
		if place.gone {
			continue
		}
		all = append(all, apply.ProcessRelease{Process: place.Endpoint, Release: place.Holder.Number()})
	}
	return all
}

// WaitInForce waits until a release is in force in all daemons.
func (w *Whole) WaitInForce(release uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), inForceLimit)
	defer cancel()
	ask := func(context.Context) []apply.ProcessRelease { return w.InForce() }
	return w.Operator().WaitInForce(ctx, release, inForceMillis, ask)
}
