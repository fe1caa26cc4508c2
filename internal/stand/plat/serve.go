package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// Handler returns the platform's HTTP interface, as specified in
// docs/INTERFACES.md.
func (p *Plat) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/objects", p.guard(p.reads, func(c *Calls) *int { return &c.Lists }, p.serveList))
	router.Get("/v1/objects/*", p.serveGet)
	router.Put("/v1/objects/*", p.guard(p.writes, func(c *Calls) *int { return &c.Writes }, p.servePut))
	router.Delete("/v1/objects/*", p.guard(p.writes, func(c *Calls) *int { return &c.Writes }, p.serveDelete))
	router.Get("/v1/hosts", p.guard(p.reads, func(c *Calls) *int { return &c.Hosts }, p.serveHosts))
	return router
}

func (p *Plat) count(which func(*Calls) *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*which(&p.calls)++
}

func (p *Plat) serveGet(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		p.guard(p.reads, func(c *Calls) *int { return &c.Watches }, p.serveWatch)(w, r)
		return
	}
	p.guard(p.reads, func(c *Calls) *int { return &c.Reads }, p.serveRead)(w, r)
}

func (p *Plat) serveRead(w http.ResponseWriter, r *http.Request) {
	writeObject(w, p.visibleObject(chi.URLParam(r, "*")))
}

func (p *Plat) serveWatch(w http.ResponseWriter, r *http.Request) {
	knownVersion, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, errWait := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || errWait != nil {
		http.Error(w, "watch and waitMs must be numbers", http.StatusBadRequest)
		return
	}
	faults, _ := p.currentFaults()
	if p.chance(faults.WatchDoubled) {
		writeObject(w, p.visibleObject(chi.URLParam(r, "*")))
		return
	}
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	p.awaitChange(w, r, store.At(knownVersion), timer.C)
}

// awaitChange answers a watch when the version differs from knownVersion or
// the wait ends, and aborts the connection when the platform becomes unavailable.
func (p *Plat) awaitChange(w http.ResponseWriter, r *http.Request, knownVersion store.Revision, end <-chan time.Time) {
	name := chi.URLParam(r, "*")
	for {
		p.mu.Lock()
		e := p.record(name)
		object, changed := e.object(name), e.changed
		p.mu.Unlock()
		faults, newFaults := p.currentFaults()
		if faults.Down || faults.Hang {
			panic(http.ErrAbortHandler)
		}
		if object.Version != knownVersion && !p.chance(faults.WatchLost) {
			time.Sleep(faults.WatchLate)
			writeObject(w, p.visibleObject(name))
			return
		}
		select {
		case <-changed:
		case <-newFaults:
		case <-end:
			writeObject(w, p.visibleObject(name))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Plat) servePut(w http.ResponseWriter, r *http.Request) {
	want, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValue))
	if err != nil {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	object, done := p.Put(chi.URLParam(r, "*"), store.At(want), value)
	p.answerWrite(w, object, done)
}

func (p *Plat) serveDelete(w http.ResponseWriter, r *http.Request) {
	want, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version", http.StatusBadRequest)
		return
	}
	object, done := p.Delete(chi.URLParam(r, "*"), store.At(want))
	p.answerWrite(w, object, done)
}

// answerWrite answers a write: 200 if it was done, otherwise 412 with the
// current value. It may abort the connection instead (Faults.LoseAnswer).
func (p *Plat) answerWrite(w http.ResponseWriter, object store.Object, done bool) {
	faults, _ := p.currentFaults()
	if p.chance(faults.LoseAnswer) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Version", strconv.FormatUint(object.Version.Number, 10))
	if done {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusPreconditionFailed)
	writeBytes(w, object.Value)
}

func writeObject(w http.ResponseWriter, object store.Object) {
	w.Header().Set("X-Version", strconv.FormatUint(object.Version.Number, 10))
	if object.Version.IsZero() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	writeBytes(w, object.Value)
}

func writeBytes(w http.ResponseWriter, body []byte) {
	if _, err := w.Write(body); err != nil {
		return // the client disconnected
	}
}

type listedObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

func (p *Plat) serveList(w http.ResponseWriter, r *http.Request) {
	objects := []listedObject{}
	for _, object := range p.List(r.URL.Query().Get("prefix")) {
		objects = append(objects, listedObject{Name: object.Name, Version: object.Version.Number})
	}
	writeJSON(w, objects)
}

func (p *Plat) serveHosts(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		limit = 0
	}
	page := p.Hosts(store.HostQuery{
		Role: query.Get("role"), Pool: query.Get("pool"), After: query.Get("after"), Limit: limit,
	})
	if page.Hosts == nil {
		page.Hosts = []store.Host{}
	}
	writeJSON(w, page)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the client disconnected
	}
}
