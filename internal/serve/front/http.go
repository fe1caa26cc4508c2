package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/runs"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
	"github.com/jujubescale/jujubescale/internal/serve/upload"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

const (
	defaultTimeout = 3 * clock.Second
	// bodyTimeout limits the time that a caller may take to send its body.
	bodyTimeout = 10 * clock.Second
	// writeGrace is the time after the deadline until the connection of a caller
	// that does not read its answer is closed.
	writeGrace = 5 * time.Second

	pathReady = "/readyz"
)

// Handler returns the HTTP handler for callers.
func (f *Front) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(pathReady, f.config.Ready)
	router.Post("/v1/services/{service}", f.serve(f.runPipeline))
	router.HandleFunc("/v1/services/{service}/call/*", f.serve(f.callPlain))
	router.NotFound(f.refuseUnknown(fault.UnknownService, "no such path"))
	router.MethodNotAllowed(f.refuseUnknown(fault.BadRequest, "the path does not support this method"))
	return router
}

func (f *Front) refuseUnknown(reason fault.Reason, detail string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := token.NewRequestID()
		w.Header().Set(headerRequestID, id)
		f.refuse(w, &exchange{id: id}, fault.Refuse(reason, detail+": "+r.Method+" "+r.URL.Path))
	}
}

// exchange is one caller's request while it is served.
type exchange struct {
	w            http.ResponseWriter
	r            *http.Request
	id           string
	release      *spread.Release
	service      *manif.Service
	organisation *manif.Organisation
	body         []byte
	key          string
	// earlierMayHaveRun is true while an earlier request with the same
	// idempotency key may have run.
	earlierMayHaveRun bool
	request           runs.Request
	record            *trace.Record
}

// serve wraps run with the steps common to all requests: request ID, admission,
// deadline and refusal.
func (f *Front) serve(run func(context.Context, *exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, id: token.NewRequestID()}
		w.Header().Set(headerRequestID, x.id)
		if f.config.Leaving() {
			// Makes the load balancer open its next connection to another entry.
			w.Header().Set("Connection", "close")
		}
		if err := f.admit(x); err != nil {
			f.refuse(w, x, err)
			return
		}
		defer f.open.end(x.id)
		f.config.Meter.Open.Inc()
		defer f.config.Meter.Open.Dec()
		if err := f.runAdmitted(x, run); err != nil {
			f.refuse(w, x, err)
		}
	}
}

// admit authenticates the caller and checks that it may call the service and
// open another request. The body is read only afterwards.
func (f *Front) admit(x *exchange) error {
	var refused *fault.RefusalError
	if x.key, refused = idempotencyKey(x.r.Header); refused != nil {
		return refused
	}
	x.earlierMayHaveRun = x.key != ""
	if x.release = f.config.Holder.Current(); x.release == nil {
		return fault.Refuse(fault.NotReady, "no configuration in force yet")
	}
	if refused := f.config.Gate(); refused != nil {
		return refused
	}
	if x.organisation = authenticate(x.release, x.r); x.organisation == nil {
		return fault.Refuse(fault.Unauthorized, "no organisation has this bearer token")
	}
	name := chi.URLParam(x.r, "service")
	if x.service = x.release.Service(name); x.service == nil {
		return fault.Refuse(fault.UnknownService, "no service "+strconv.Quote(name))
	}
	if len(x.organisation.Services) > 0 && !slices.Contains(x.organisation.Services, name) {
		return fault.Refuse(fault.Forbidden, "organisation "+x.organisation.Name+" may not call "+strconv.Quote(name))
	}
	if refused := f.open.begin(x.id, x.organisation, &f.config); refused != nil {
		return refused
	}
	return nil
}

func authenticate(release *spread.Release, r *http.Request) *manif.Organisation {
	bearer, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return nil
	}
	sum := sha256.Sum256([]byte(bearer))
	return release.ByTokenHash(hex.EncodeToString(sum[:]))
}

// runAdmitted reads the body of an admitted request and runs the request until
// its deadline.
func (f *Front) runAdmitted(x *exchange, run func(context.Context, *exchange) error) error {
	startedAt := f.config.Clock.Now()
	timeout, refused := timeoutOf(x.r.Header, f.maxTimeout(x))
	if refused != nil {
		return refused
	}
	read, err := f.readBody(x, startedAt+min(timeout, bodyTimeout))
	defer read.Release()
	if err != nil {
		return err
	}
	x.body = read.Bytes
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(timeout.Duration() + writeGrace))
	x.record = f.config.Trace.Begin(trace.Request{
		ID: x.id, Organisation: x.organisation.Name, Service: x.service.Name, Release: x.release.Number, BeganAt: startedAt,
	})
	x.request = runs.Request{
		Deadline: startedAt + timeout, Record: x.record,
		Call: wire.Call{
			ID: token.Attempt{Request: x.id}, Organisation: x.organisation.Name, Priority: x.organisation.Priority, Key: x.key, Cost: 1,
		},
	}
	ctx, cancel := context.WithCancel(x.r.Context())
	defer cancel()
	defer context.AfterFunc(f.config.Base, cancel)()
	err = run(ctx, x)
	if err == nil {
		x.record.End(f.config.Clock.Now(), trace.Answered, "", "")
		f.config.Meter.Answered.WithLabelValues(x.service.Name).Inc()
	}
	return err
}

func (f *Front) maxTimeout(x *exchange) clock.Millis {
	if p := x.release.Pipeline(x.service.Pipeline); p != nil && p.DeadlineMs > 0 {
		return p.DeadlineMs
	}
	if x.service.DeadlineMs > 0 {
		return x.service.DeadlineMs
	}
	return defaultTimeout
}

// readBody reads the body until an instant. What it returns must be released, also with an error.
func (f *Front) readBody(x *exchange, until clock.Millis) (upload.Body, error) {
	read, refused := f.bodies.Read(x.w, x.r, f.config.MaxBodyBytes, until)
	switch {
	case refused == nil:
		return read, nil
	case refused.Reason == fault.BodyTooLarge:
		return read, fault.Refuse(fault.BodyTooLarge, "at most "+strconv.FormatInt(f.config.MaxBodyBytes, 10)+" bytes")
	case refused.Reason == fault.Cancelled:
		return read, fault.Refuse(fault.BadRequest, refused.Detail)
	}
	return read, refused
}

// refuse records a refusal and sends it to the caller.
func (f *Front) refuse(w http.ResponseWriter, x *exchange, err error) {
	body := f.recordRefusal(x, err)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	writeRefusal(w, body)
}

// recordRefusal returns the refusal for an error and adds it to the metrics, the
// request's trace and the log.
func (f *Front) recordRefusal(x *exchange, err error) refusal {
	body := newRefusal(x.id, err)
	if x.earlierMayHaveRun && body.Ran == fault.NotRun && !independentOfKey(body.Reason) {
		// This request has not run, but an earlier one with the same key may
		// have: the claim of the key was not checked. After "not run" a caller
		// might use a new key and execute the call twice.
		body.Ran = fault.MayHaveRun
	}
	f.config.Meter.Refused.WithLabelValues(string(body.Reason), string(body.Ran)).Inc()
	x.record.End(f.config.Clock.Now(), trace.Refused, body.Reason, body.Ran)
	f.config.Log.Info("refused", "request", x.id, "reason", body.Reason, "ran", body.Ran, "detail", body.Detail)
	return body
}

// independentOfKey reports whether a refusal depends only on the request's form
// or sender, so that every request with the same key would have been refused.
func independentOfKey(reason fault.Reason) bool {
	switch reason {
	case fault.Unauthorized, fault.Forbidden, fault.UnknownService, fault.BodyTooLarge:
		return true
	default:
		return false
	}
}
