package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/plat/call"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/pool"
	"github.com/jujubescale/jujubescale/internal/serve/peers"
	"github.com/jujubescale/jujubescale/internal/share/node"
)

// retireAfter is how long a session to an endpoint that is no longer this
// entry's stays for the calls that are there: longer than any deadline.
const retireAfter = 15 * clock.Second

// sharing is what the entry shares with the platform and other entries.
type sharing struct {
	caller  *call.Caller
	options []node.Option
	session []sess.Option
	node    *node.Entry

	mu    sync.Mutex
	held  map[string]string // address to pool
	group sync.WaitGroup
}

// WithSharing makes the entry learn its configuration and endpoints from the
// platform and from other entries. Without it, the owner fills the holder and
// calls Connect.
func WithSharing(caller *call.Caller, opts ...node.Option) Option {
	return func(e *Entry) {
		e.sharing.caller = caller
		e.sharing.options = opts
	}
}

// WithSession adds options to the sessions to other entries, such as TLS.
func WithSession(opts ...sess.Option) Option {
	return func(e *Entry) { e.sharing.session = append(e.sharing.session, opts...) }
}

// share builds the sharing if it is wanted, and returns the options that the
// sessions to agents need for it. Begin starts it.
func (e *Entry) share() []peers.Option {
	if e.sharing.caller == nil {
		return nil
	}
	self := store.Host{
		Name: e.settings.Host, Address: e.settings.Address, AvailabilityZone: e.settings.AvailabilityZone,
		Role: node.RoleEntry, State: store.HostLive,
	}
	session := append([]sess.Option{sess.WithHello(e.hello)}, e.sharing.session...)
	opts := append([]node.Option{
		node.WithClock(e.clock), node.WithLog(e.log), node.WithCaller(e.sharing.caller),
		node.WithSession(session...), node.WithEndpoints(e.hold), node.WithRegisterer(e.registerer),
	}, e.sharing.options...)
	n := node.NewEntry(self, e.holder, opts...)
	e.sharing.node = n
	e.sharing.held = make(map[string]string)
	e.gate = e.refuseIsolated
	return []peers.Option{
		peers.WithOpened(n.SessionOpened), peers.WithClosed(n.SessionClosed), peers.WithNewer(n.NewerRelease),
		peers.WithOther(n.HandleFrame), peers.WithSession(sess.WithOutside(n.Outside)),
	}
}

// refuseIsolated refuses new work while this process is cut off. That its zone
// was taken out is no reason here: the balancer lags, and the entry goes on to
// run what still comes at endpoints in other zones.
func (e *Entry) refuseIsolated() *fault.RefusalError {
	if reason, refuses := e.sharing.node.RefusalReason(); refuses && reason != fault.ZoneEvacuated {
		return fault.Refuse(reason, "this process takes no new work")
	}
	return nil
}

// zoneLeft reports that operators took this process's availability zone out.
func (e *Entry) zoneLeft() bool {
	release := e.holder.Current()
	return release != nil && release.ZoneEvacuated(e.settings.AvailabilityZone)
}

// hold takes in which endpoints of a pool this entry holds sessions to.
func (e *Entry) hold(name string, hosts []store.Host) {
	wanted := make([]string, 0, len(hosts))
	for _, host := range hosts {
		wanted = append(wanted, host.Address)
	}
	e.sharing.mu.Lock()
	defer e.sharing.mu.Unlock()
	for address, of := range e.sharing.held {
		if of == name && !slices.Contains(wanted, address) {
			delete(e.sharing.held, address)
			e.retire(name, address)
		}
	}
	for _, address := range wanted {
		e.sharing.held[address] = name
	}
	e.peers.Connect(wanted)
}

// retire gives an endpoint no new work and ends the session to it when the
// calls that are there can't run any more.
func (e *Entry) retire(name, address string) {
	e.peers.Bar(name, address, pool.ExcludeLeaving, true)
	e.sharing.group.Go(func() {
		_ = e.clock.Sleep(e.base, retireAfter)
		e.sharing.mu.Lock()
		defer e.sharing.mu.Unlock()
		if _, again := e.sharing.held[address]; again {
			e.peers.Bar(name, address, pool.ExcludeLeaving, false)
			return
		}
		e.peers.Disconnect([]string{address})
	})
}

// begin starts the sharing.
func (e *Entry) begin(ctx context.Context) {
	if e.sharing.node != nil {
		e.sharing.node.Run(ctx)
	}
}

// wait waits for the end of the sharing after its context has ended.
func (s *sharing) wait() {
	if s.node != nil {
		<-s.node.Done()
		s.group.Wait()
	}
}

// SessionHandler serves the sessions of other entries.
func (e *Entry) SessionHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(sess.Path, func(w http.ResponseWriter, r *http.Request) {
		if e.sharing.node == nil {
			http.NotFound(w, r)
			return
		}
		e.sharing.node.Accept(e.base, w, r)
	})
	return router
}
