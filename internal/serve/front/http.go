package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
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
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

const (
	defaultDeadline = 3 * clock.Second
	// bodyTime bounds how long a caller may take to send its body.
	bodyTime = 10 * time.Second
	// writeGrace is added to the deadline before a caller that does not read
	// its answer is given up.
	writeGrace = 5 * time.Second

	pathReady = "/readyz"
)

// Handler returns the callers' interface.
func (f *Front) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(pathReady, f.config.Ready)
	router.Post("/v1/services/{service}", f.serve(f.runPipeline))
	router.HandleFunc("/v1/services/{service}/call/*", f.serve(f.callPlain))
	router.NotFound(f.unknown(fault.UnknownService, "no such path"))
	router.MethodNotAllowed(f.unknown(fault.BadRequest, "the path does not take this method"))
	return router
}

func (f *Front) unknown(reason fault.Reason, detail string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := token.NewRequestID()
		w.Header().Set(headerRequestID, id)
		f.refuse(w, &exchange{id: id}, fault.Refuse(reason, detail+": "+r.Method+" "+r.URL.Path))
	}
}

// exchange is one caller's request on its way.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	release *spread.Release
	service *manif.Service
	who     *manif.Organisation
	body    []byte
	key     string
	// mayRepeat tells that an earlier request under the same key may have run.
	mayRepeat bool
	request   runs.Request
	record    *trace.Record
}

// serve does what all callers' requests have in common.
func (f *Front) serve(run func(context.Context, *exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, id: token.NewRequestID()}
		w.Header().Set(headerRequestID, x.id)
		if f.config.Leaving() {
			// The balancer must open its next connection elsewhere.
			w.Header().Set("Connection", "close")
		}
		if err := f.admit(x); err != nil {
			f.refuse(w, x, err)
			return
		}
		defer f.open.end(x.id)
		f.config.Meter.Open.Inc()
		defer f.config.Meter.Open.Dec()
		if err := f.carry(x, run); err != nil {
			f.refuse(w, x, err)
		}
	}
}

// admit decides who calls what, before anything is read or kept.
func (f *Front) admit(x *exchange) error {
	var refused *fault.RefusalError
	if x.key, refused = keyOf(x.r.Header); refused != nil {
		return refused
	}
	x.mayRepeat = x.key != ""
	if x.release = f.config.Holder.Current(); x.release == nil {
		return fault.Refuse(fault.NotReady, "no configuration in force yet")
	}
	if refused := f.config.Gate(); refused != nil {
		return refused
	}
	if x.who = organisation(x.release, x.r); x.who == nil {
		return fault.Refuse(fault.Unauthorized, "no organisation has this bearer token")
	}
	name := chi.URLParam(x.r, "service")
	if x.service = x.release.Service(name); x.service == nil {
		return fault.Refuse(fault.UnknownService, "no service "+strconv.Quote(name))
	}
	if len(x.who.Services) > 0 && !slices.Contains(x.who.Services, name) {
		return fault.Refuse(fault.Forbidden, "organisation "+x.who.Name+" may not call "+strconv.Quote(name))
	}
	if refused := f.open.begin(x.id, x.who, &f.config); refused != nil {
		return refused
	}
	return nil
}

func organisation(release *spread.Release, r *http.Request) *manif.Organisation {
	bearer, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return nil
	}
	sum := sha256.Sum256([]byte(bearer))
	return release.ByTokenHash(hex.EncodeToString(sum[:]))
}

// carry runs an admitted request under its deadline.
func (f *Front) carry(x *exchange, run func(context.Context, *exchange) error) error {
	began := f.config.Clock.Now()
	span, refused := deadlineOf(x.r.Header, f.bound(x))
	if refused != nil {
		return refused
	}
	if err := f.readBody(x); err != nil {
		return err
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(span.Duration() + writeGrace))
	x.record = f.config.Trace.Begin(trace.Request{
		ID: x.id, Organisation: x.who.Name, Service: x.service.Name, Release: x.release.Number, BeganAt: began,
	})
	x.request = runs.Request{
		Deadline: began + span, Record: x.record,
		Call: wire.Call{
			ID: token.Attempt{Request: x.id}, Organisation: x.who.Name, Priority: x.who.Priority, Key: x.key, Cost: 1,
		},
	}
	ctx, cancel := context.WithCancel(x.r.Context())
	defer cancel()
	defer context.AfterFunc(f.config.Base, cancel)()
	err := run(ctx, x)
	if err == nil {
		x.record.End(f.config.Clock.Now(), trace.Answered, "", "")
		f.config.Meter.Answered.WithLabelValues(x.service.Name).Inc()
	}
	return err
}

func (f *Front) bound(x *exchange) clock.Millis {
	if p := x.release.Pipeline(x.service.Pipeline); p != nil && p.DeadlineMs > 0 {
		return p.DeadlineMs
	}
	if x.service.DeadlineMs > 0 {
		return x.service.DeadlineMs
	}
	return defaultDeadline
}

func (f *Front) readBody(x *exchange) error {
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, f.config.MaxBodyBytes))
	// Lifted again: the server reads on to notice that the caller goes away.
	_ = control.SetReadDeadline(time.Time{})
	x.body = body
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.Refuse(fault.BodyTooLarge, "at most "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	case err != nil:
		return fault.Refuse(fault.BadRequest, "the body could not be read: "+err.Error())
	default:
		return nil
	}
}

// refuse answers with a refusal and counts it.
func (f *Front) refuse(w http.ResponseWriter, x *exchange, err error) {
	body := f.refusal(x, err)
	writeRefusal(w, body)
}

// refusal makes the one JSON shape, and counts, notes and logs it.
func (f *Front) refusal(x *exchange, err error) refusal {
	body := refusalOf(x.id, err)
	if x.mayRepeat && body.Ran == fault.NotRun && !saysNothingOfKey(body.Reason) {
		// This request has not run, but nobody asked whether an earlier one
		// under the same key has; a caller that read "not run" might take a
		// new key and book twice.
		body.Ran = fault.MayHaveRun
	}
	f.config.Meter.Refused.WithLabelValues(string(body.Reason), string(body.Ran)).Inc()
	x.record.End(f.config.Clock.Now(), trace.Refused, body.Reason, body.Ran)
	f.config.Log.Info("refused", "request", x.id, "reason", body.Reason, "ran", body.Ran, "detail", body.Detail)
	return body
}

// saysNothingOfKey tells reasons that speak of the request's form or sender
// alone: every request under the key would have got them.
func saysNothingOfKey(reason fault.Reason) bool {
	switch reason {
	case fault.Unauthorized, fault.Forbidden, fault.UnknownService, fault.BodyTooLarge:
		return true
	default:
		return false
	}
}
