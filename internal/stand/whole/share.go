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

// platformZone is the network zone of the platform. It differs from all other
// zones, so that a zone that is cut off loses the platform too.
const platformZone = "platform"

// Limits for a release to be in force in all daemons: of the whole wait, and
// for the operators' client.
const (
	inForceTimeout   = 20 * time.Second
	inForceTimeoutMs = 20 * clock.Second
)

// sessionPort is the port to which other entries connect. Its handler is set
// after it is open, because the entry needs the address of the port when it is
// created.
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

// stopEntry stops an entry immediately.
func (w *Whole) stopEntry(front *Front) {
	front.Entry.Close()
	front.process.Close()
	front.sessions.server.Close()
}

// sharingOptions returns the options that connect an entry to the platform and, as
// seeds, to the entries started before it.
func (w *Whole) sharingOptions(zone string) []entry.Option {
	var seeds []string
	for _, front := range w.Fronts {
		seeds = append(seeds, front.Sessions)
	}
	caller := w.newCaller(zone)
	return []entry.Option{
		entry.WithStore(caller.Store(call.Claim), claim.WithPlatformCalls(caller.Rate)),
		entry.WithSharing(caller, node.WithSeeds(seeds), node.WithCheck(check.Fill)),
	}
}

// newCaller returns the platform client of a process in a zone.
func (w *Whole) newCaller(zone string) *call.Caller {
	transport := &http.Transport{DialContext: w.Net.Dial(zone)}
	platform := client.New(w.PlatformURL, client.WithHTTP(&http.Client{Transport: transport}))
	return call.New(platform.Store())
}

// Operator returns the operators' client of the platform. It is outside of all
// zones, so zone faults do not affect it.
func (w *Whole) Operator() *apply.Operator {
	return apply.New(client.New(w.PlatformURL).Store(), apply.WithCheck(check.Fill))
}

// applyManifest applies the start manifest of the system.
func (w *Whole) applyManifest() error {
	_, err := w.Operator().Apply(context.Background(), w.options.manifest, apply.Change{Who: "start"})
	return err
}

// InForce returns the release that is in force in each daemon.
func (w *Whole) InForce() []apply.ProcessRelease {
	var all []apply.ProcessRelease
	for _, front := range w.Fronts {
		all = append(all, apply.ProcessRelease{Process: front.Name, Release: front.Holder.Number()})
	}
	for _, place := range w.Places {
		if place.removed {
			continue
		}
		all = append(all, apply.ProcessRelease{Process: place.Endpoint, Release: place.Holder.Number()})
	}
	return all
}

// WaitInForce waits until a release is in force in all daemons. It returns an
// error after inForceTimeout.
func (w *Whole) WaitInForce(release uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	releases := func(context.Context) []apply.ProcessRelease { return w.InForce() }
	return w.Operator().WaitInForce(ctx, release, inForceTimeoutMs, releases)
}
