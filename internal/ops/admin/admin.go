// Package admin serves the operators' port of a daemon: metrics, health, status,
// and the state of single requests. The port is read-only; operators change the
// system through the platform's object API.
package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/link/sess"
)

// Status is the status of a daemon.
type Status struct {
	Process          string `json:"process"`
	Role             string `json:"role"`
	Host             string `json:"host"`
	AvailabilityZone string `json:"availabilityZone"`
	// Incarnation is in hexadecimal.
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	// Release is the number of the configuration in force, or 0 if none is.
	Release uint64 `json:"release"`
	// Ready is true if the daemon accepts new work; otherwise NotReady is the cause.
	Ready    bool   `json:"ready"`
	NotReady string `json:"notReady,omitempty"`
	// Leaving is true once a planned stop has begun.
	Leaving bool `json:"leaving,omitempty"`
	// Open counts the unfinished requests of an entry or attempts of an agent.
	Open int `json:"open"`
	// Sessions are the open sessions with other processes.
	Sessions []Session `json:"sessions,omitempty"`
	// Endpoint is set only by agents.
	Endpoint *Endpoint `json:"endpoint,omitempty"`
	// UptimeMs is the time since the start, in milliseconds.
	UptimeMs clock.Millis `json:"uptimeMs"`
}

// Session is an open session with another process of the system.
type Session struct {
	Process string `json:"process"`
	// Incarnation is in hexadecimal.
	Incarnation      string `json:"incarnation"`
	AvailabilityZone string `json:"availabilityZone,omitempty"`
	Pool             string `json:"pool,omitempty"`
	Endpoint         string `json:"endpoint,omitempty"`
	// SilentMs is the time since the last message was received, in milliseconds.
	SilentMs clock.Millis `json:"silentMs"`
}

// DescribeSessions returns the descriptions of open sessions.
func DescribeSessions(c *clock.Clock, open []*sess.Session) []Session {
	sessions := make([]Session, 0, len(open))
	for _, s := range open {
		peer := s.Peer()
		sessions = append(sessions, Session{
			Process: peer.Process, Incarnation: peer.Incarnation.String(), AvailabilityZone: peer.AvailabilityZone,
			Pool: peer.Pool, Endpoint: peer.Endpoint, SilentMs: c.Since(s.LastReceived()),
		})
	}
	return sessions
}

// Endpoint is the state of an agent's own endpoint.
type Endpoint struct {
	Pool     string `json:"pool"`
	Endpoint string `json:"endpoint"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	// Limit is the number of calls that the agent admits concurrently.
	Limit int  `json:"limit"`
	Cold  bool `json:"cold,omitempty"`
}

// Request is a daemon's record of one request.
type Request struct {
	RequestID    string       `json:"requestId"`
	Process      string       `json:"process"`
	Organisation string       `json:"organisation,omitempty"`
	Service      string       `json:"service,omitempty"`
	State        string       `json:"state"`
	Reason       fault.Reason `json:"reason,omitempty"`
	Ran          fault.Ran    `json:"ran,omitempty"`
	// AgeMs is the time since the request arrived, in milliseconds.
	AgeMs    clock.Millis `json:"ageMs"`
	Attempts []Attempt    `json:"attempts,omitempty"`
}

// Attempt is one attempt at one stage of a request.
type Attempt struct {
	Stage    int          `json:"stage"`
	Try      int          `json:"try"`
	Pool     string       `json:"pool,omitempty"`
	Endpoint string       `json:"endpoint,omitempty"`
	State    string       `json:"state"`
	Reason   fault.Reason `json:"reason,omitempty"`
	// TookMs is the time from sending to the end, in milliseconds.
	TookMs clock.Millis `json:"tookMs,omitempty"`
}

// Admin serves the operators' port. Its function fields supply the data.
type Admin struct {
	// StatusFunc returns the daemon's status.
	StatusFunc func() Status
	// RequestFunc returns the record of a request, or nil if there is none.
	RequestFunc func(id string) *Request

	gatherer prometheus.Gatherer
	tokens   []string
}

// Option configures an Admin in New.
type Option func(*Admin)

// WithStatus sets the source of the status.
func WithStatus(status func() Status) Option { return func(a *Admin) { a.StatusFunc = status } }

// WithRequest sets the source of the records of requests.
func WithRequest(request func(id string) *Request) Option {
	return func(a *Admin) { a.RequestFunc = request }
}

// WithGatherer sets the source of the metrics.
func WithGatherer(gatherer prometheus.Gatherer) Option {
	return func(a *Admin) { a.gatherer = gatherer }
}

// WithTokenHashes sets the SHA-256 hashes, in hexadecimal, of the bearer tokens
// that are accepted. Without hashes, no token is needed.
func WithTokenHashes(hashes []string) Option { return func(a *Admin) { a.tokens = hashes } }

// New returns the operators' port of a daemon.
func New(opts ...Option) *Admin {
	a := &Admin{
		StatusFunc:  func() Status { return Status{} },
		RequestFunc: func(string) *Request { return nil },
		gatherer:    prometheus.NewRegistry(),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Paths of the operators' port.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/v1/status"
	PathRequest = "/v1/requests/"
)

// Handler serves the operators' port.
func (a *Admin) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(a.authorise)
	router.Method(http.MethodGet, PathMetrics, promhttp.HandlerFor(a.gatherer, promhttp.HandlerOpts{}))
	router.Get(PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get(PathReady, a.ready)
	router.Get(PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, a.StatusFunc()) })
	router.Get(PathRequest+"{id}", a.request)
	return router
}

// authorise requires one of the tokens for every path, if tokens are configured.
// It compares hashes, so that the duration of the comparison reveals nothing
// about a token.
func (a *Admin) authorise(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(a.tokens) > 0 && !a.validToken(r.Header.Get("Authorization")) {
			writeJSON(w, http.StatusUnauthorized, problem{Reason: fault.Unauthorized, Detail: "an operator's bearer token is needed"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *Admin) validToken(header string) bool {
	bearer, found := strings.CutPrefix(header, "Bearer ")
	if !found {
		return false
	}
	sum := sha256.Sum256([]byte(bearer))
	return slices.Contains(a.tokens, hex.EncodeToString(sum[:]))
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	status := a.StatusFunc()
	if !status.Ready {
		writeJSON(w, http.StatusServiceUnavailable, problem{Reason: fault.NotReady, Detail: status.NotReady})
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *Admin) request(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	found := a.RequestFunc(id)
	if found == nil {
		writeJSON(w, http.StatusNotFound, problem{Detail: "this process has no record of a request with that id"})
		return
	}
	writeJSON(w, http.StatusOK, found)
}

// problem is the body of an error response.
type problem struct {
	Reason fault.Reason `json:"reason,omitempty"`
	Detail string       `json:"detail"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
