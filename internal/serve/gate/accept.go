package gate

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/flow/graph"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

// request is one request of a caller on its way.
type request struct {
	spell.Demand
	// parts names the parts of the prompt among processes.
	parts []target.Key

	routes       *table.Table
	route        *table.Route
	pool         *table.Pool
	organisation string
	priority     int

	method string
	target string
	host   string
	header http.Header
	body   []byte
	// key is set by crashKey. trial says that the request is let through although it is
	// quarantined.
	key   crash.Key
	trial bool

	// tried at the candidate version, if the pool's rollout runs.
	canary bool

	began clock.Millis
	// arrived is when the caller's first attempt did, as far as is known, and
	// returned says that this one comes back as it was told.
	arrived  clock.Millis
	returned bool
	// behind says that it was begun although it will be late.
	behind    bool
	objective clock.Millis
	deadline  clock.Millis

	run *graph.Run
	// wish is the availability zone where the request will probably run, and
	// generation how long it will take there to its first event.
	wish       string
	generation clock.Millis
	// planned is the engine that will probably generate, plannedTokens what it
	// has to read then.
	planned       *target.Target
	plannedTokens int64
	made          map[string]madeAt // where references lie

	// sent counts the endpoints that the request was sent to, tried holds them.
	sent  int
	tried []*view.Endpoint
	// missed counts endpoints that could not be reached, restarts how often the
	// stages were run again because a result was lost.
	missed   int
	restarts int
	// mayHaveRun says that some endpoint may have run the request.
	mayHaveRun bool
	// estimate is how long the stages and the first event were expected to take,
	// stages how long the stages took, first when the first event came.
	estimate clock.Millis
	stages   clock.Millis
	first    clock.Millis
	// binding is the pool whose queue was too long to begin.
	binding string
	// spans are the times of the stages, in the order in which they ended.
	spans []span
	// held is the time until the first send, in the stages and in waiting.
	held clock.Millis
	// begun says that the caller has got the head of an answer, whose status it is.
	begun  bool
	status int
	events int
	last   *view.Endpoint
}

// madeAt tells where a result of a stage lies.
type madeAt struct {
	pool     string
	endpoint string
	zone     string
	bytes    int64
}

// accept reads a request and checks everything that can be known without
// asking anybody. A request that is refused here reaches no endpoint.
func (g *Gate) accept(w http.ResponseWriter, r *http.Request, now clock.Millis) (*request, *fault.RefusalError) {
	req := &request{began: now, arrived: now, method: r.Method, host: r.Host, target: r.RequestURI, header: r.Header}
	demand, err := g.Spelling.DemandFunc(r.Header)
	req.Demand = demand
	req.parts = target.KeysOf(demand.Parts)
	if len(r.TransferEncoding) > 0 {
		// Where a length and chunks are both given, two readers may see two
		// different ends of the body. What follows on such a connection is not
		// read as another request.
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		return req, fault.Refuse(fault.BadRequest, err.Error())
	}
	if refused := g.admit(req, r); refused != nil {
		return req, refused
	}
	if refused := readBody(w, r, req); refused != nil {
		return req, refused
	}
	if refused := g.refuseQuarantined(req); refused != nil {
		return req, refused
	}
	return req, g.shape(req)
}

// admit finds route and organisation.
func (g *Gate) admit(req *request, r *http.Request) *fault.RefusalError {
	routes := g.Table()
	if routes == nil || !g.View().Complete() {
		return fault.Refuse(fault.NotReady, "no configuration yet")
	}
	if !strings.HasPrefix(req.target, "/") {
		req.target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(req.target, "?")
	req.routes = routes
	req.route = routes.Match(r.Host, path)
	if req.route == nil {
		return fault.Refuse(fault.UnknownRoute, "")
	}
	holder := routes.Holder(req.Key)
	if holder == nil && routes.NeedsKey(req.route) {
		return fault.Refuse(fault.Unauthorized, "")
	}
	if holder != nil {
		req.organisation = holder.Name
	}
	req.priority = table.Priority(req.route, holder)
	req.pool = routes.Pool(req.route.Pool(req.Request))
	if req.pool == nil {
		return fault.Refuse(fault.NoEndpoint, "the route names no pool")
	}
	req.canary = g.Deploy.Draw(req.pool.Name, req.route.Name)
	req.objective = req.began + req.route.Objective
	req.deadline = req.began + req.route.Timeout
	if req.Deadline > 0 {
		req.deadline = min(req.deadline, req.began+req.Deadline)
	}
	return nil
}

// readBody reads the whole body, so that a caller that leaves in the middle of
// it has started nothing.
func readBody(w http.ResponseWriter, r *http.Request, req *request) *fault.RefusalError {
	most := req.routes.Limits.MaxBodyBytes
	if most > 0 && r.ContentLength > most {
		w.Header().Set("Connection", "close")
		return fault.Refuse(fault.BodyTooLarge, "")
	}
	from := r.Body
	if most > 0 {
		from = http.MaxBytesReader(w, r.Body, most)
	}
	var err error
	if r.ContentLength > 0 {
		req.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(from, req.body)
	} else {
		req.body, err = io.ReadAll(from)
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return fault.Refuse(fault.BodyTooLarge, "")
	case err != nil:
		return fault.Refuse(fault.Cancelled, "the body did not arrive: "+err.Error())
	}
	return nil
}

// shape prepares the stages that the request's route has.
func (g *Gate) shape(req *request) *fault.RefusalError {
	if len(req.route.Stages) == 0 {
		return nil
	}
	run, err := graph.New(req.route.Stages, req.Pieces)
	if err != nil {
		return fault.Refuse(fault.BadRequest, err.Error())
	}
	req.run = run
	req.made = make(map[string]madeAt)
	g.recognise(req)
	return nil
}

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// named returns the headers that a Connection header adds to the hop headers.
func named(header http.Header) map[string]bool {
	var names map[string]bool
	for _, line := range header["Connection"] {
		for _, token := range strings.Split(line, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return names
}
