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

// retireDelay is how long a session stays open after its endpoint was removed
// from this entry's subset, so that calls in flight can end. It is longer than
// any deadline.
const retireDelay = 15 * clock.Second

// sharing exchanges the configuration and the list of endpoints with the platform
// and with other entries.
type sharing struct {
	caller  *call.Caller
	options []node.Option
	session []sess.Option
	node    *node.Entry

	mu            sync.Mutex
	poolByAddress map[string]string // address of an endpoint to the name of its pool
	group         sync.WaitGroup
}

// WithSharing makes the entry read its configuration and endpoints from the
// platform and from other entries. Without it, the code that creates the entry
// must fill the holder and call Connect.
func WithSharing(caller *call.Caller, opts ...node.Option) Option {
	return func(e *Entry) {
		e.sharing.caller = caller
		e.sharing.options = opts
	}
}

// WithSession adds options for the sessions to other entries, such as TLS.
func WithSession(opts ...sess.Option) Option {
	return func(e *Entry) { e.sharing.session = append(e.sharing.session, opts...) }
}

// initSharing creates the node that shares state, if WithSharing was given, and
// returns the options that the sessions to agents need for it. startSharing starts
// the node.
func (e *Entry) initSharing() []peers.Option {
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
		node.WithSession(session...), node.WithEndpoints(e.setPoolEndpoints), node.WithRegisterer(e.registerer),
	}, e.sharing.options...)
	n := node.NewEntry(self, e.holder, opts...)
	e.sharing.node = n
	e.sharing.poolByAddress = make(map[string]string)
	e.gate = e.refuseIsolated
	return []peers.Option{
		peers.WithSessionOpened(n.SessionOpened), peers.WithSessionClosed(n.SessionClosed), peers.WithNewerRelease(n.NewerRelease),
		peers.WithOtherFrames(n.HandleFrame), peers.WithSession(sess.WithOutside(n.Outside)),
	}
}

// refuseIsolated returns a refusal while this process is isolated. It does not
// refuse requests if only the zone of the process is evacuated: the load balancer
// reacts with a delay, and the entry still runs these requests at endpoints in
// other zones.
func (e *Entry) refuseIsolated() *fault.RefusalError {
	if reason, refuses := e.sharing.node.RefusalReason(); refuses && reason != fault.ZoneEvacuated {
		return fault.Refuse(reason, "this process accepts no new requests")
	}
	return nil
}

// zoneEvacuated reports whether operators evacuated this process's availability
// zone.
func (e *Entry) zoneEvacuated() bool {
	release := e.holder.Current()
	return release != nil && release.ZoneEvacuated(e.settings.AvailabilityZone)
}

// setPoolEndpoints sets the endpoints of a pool to which this entry keeps
// sessions.
func (e *Entry) setPoolEndpoints(name string, hosts []store.Host) {
	addresses := make([]string, 0, len(hosts))
	for _, host := range hosts {
		addresses = append(addresses, host.Address)
	}
	e.sharing.mu.Lock()
	defer e.sharing.mu.Unlock()
	for address, poolName := range e.sharing.poolByAddress {
		if poolName == name && !slices.Contains(addresses, address) {
			delete(e.sharing.poolByAddress, address)
			e.retire(name, address)
		}
	}
	for _, address := range addresses {
		e.sharing.poolByAddress[address] = name
	}
	e.peers.Connect(addresses)
}

// retire excludes an endpoint from new work, and ends the session to it after
// retireDelay unless the endpoint was added again.
func (e *Entry) retire(name, address string) {
	e.peers.SetExclusion(name, address, pool.ExcludeLeaving, true)
	e.sharing.group.Go(func() {
		_ = e.clock.Sleep(e.base, retireDelay)
		e.sharing.mu.Lock()
		defer e.sharing.mu.Unlock()
		if _, reassigned := e.sharing.poolByAddress[address]; reassigned {
			e.peers.SetExclusion(name, address, pool.ExcludeLeaving, false)
			return
		}
		e.peers.Disconnect([]string{address})
	})
}

// startSharing starts the node, which runs until the context ends.
func (e *Entry) startSharing(ctx context.Context) {
	if e.sharing.node != nil {
		e.sharing.node.Run(ctx)
	}
}

// wait waits until the node has ended, after its context has ended.
func (s *sharing) wait() {
	if s.node != nil {
		<-s.node.Done()
		s.group.Wait()
	}
}

// SessionHandler returns the HTTP handler for sessions that other entries open.
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
