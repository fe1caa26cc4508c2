package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// greyEngine is an engine of a plain service. It runs each request that reaches it, and
// fails a share of them although its health check is good.
type greyEngine struct {
	id     string
	status int // of a failed request
	grey   bool
	world  *world

	mu    sync.Mutex
	count int
	runs  map[string]int
}

// zones are the availability zones of the scripted cases.
var zones = []string{"zilina-a", "martin-b"}

// startGrey starts the engine and registers it.
func startGrey(w *world, e *greyEngine, service, zone string) (*http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.world, e.runs = w, make(map[string]int)
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with Close
	w.WriteEntry(e.id, fmt.Sprintf(protocol.Entry, service, listener.Addr().String(), zone, time.Now().UnixMilli()))
	return server, nil
}

// ServeHTTP implements http.Handler.
func (e *greyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.Request)
	w.Header().Set(protocol.Instance, e.id)
	if r.URL.Path == protocol.Health {
		return
	}
	w.Header().Set(protocol.Request, id)
	if expected := r.Header.Get(protocol.Expected); expected != "" && expected != e.id {
		w.Header().Set(protocol.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(30 * time.Millisecond)
	e.mu.Lock()
	e.count++
	e.runs[id]++
	fails := e.grey && e.count%greyOf < greyFails
	e.mu.Unlock()
	w.Header().Set(protocol.Seal, "seal."+e.id+"."+id)
	status := http.StatusOK
	if fails {
		status = e.status
	}
	e.world.logf("%s runs %s (%s) and answers %d", e.id, id, body, status)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s:%s", id, body)
}

func (e *greyEngine) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

const (
	bookings    = 160
	greyEngines = 7
	// A grey engine fails greyFails of greyOf requests.
	greyFails, greyOf = 2, 5
)

// playGrey sends bookings, which may run once at most, through two gateways to seven engines.
// With trouble, one engine fails two in five requests with a status after it has run them.
func playGrey(record string, trouble bool, status int) (broken bool, err error) {
	w, err := newWorld(stand.Config{
		Services: []stand.Service{{Name: "orders", Kind: stand.Plain, MaxConns: 96}},
		Routes:   []stand.Route{{Name: "book", Host: "shop.example", Prefix: "/book/", Kind: "unsafe", Service: "orders", TimeoutMs: 1200, SloMs: 150, Attempts: 1, Public: true}},
	}, record)
	if err != nil {
		return false, err
	}
	defer w.close()
	engines := make([]*greyEngine, greyEngines)
	for i := range engines {
		engines[i] = &greyEngine{id: fmt.Sprintf("i-orders-%d", i+1), status: status, grey: trouble && i == 0}
		server, err := startGrey(w, engines[i], "orders", zones[i%len(zones)])
		if err != nil {
			return false, err
		}
		defer func() { _ = server.Close() }()
	}
	for _, zone := range zones {
		if _, err := w.addGateway("front-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	for number := range bookings {
		broken = w.book(number, engines) || broken
	}
	return broken, nil
}

// book makes one booking as a client does, and reports whether the rule REFUSED was broken.
func (w *world) book(number int, engines []*greyEngine) (broken bool) {
	total := 0
	for try := range 2 {
		g := w.gateways[(number+try)%len(w.gateways)]
		id := stand.NewID()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		got := sendNew(ctx, g.callers, requestText(http.MethodPost, "shop.example", "/book/reel", id, 2500*time.Millisecond, fmt.Sprintf("booking-%d", number)))
		cancel()
		ran := 0
		for _, e := range engines {
			ran += e.ran(id)
		}
		total += ran
		w.logf("booking %d, attempt %s at %s: status %d, seal %q, runs %d", number, id, g.name, got.status, got.header.Get(protocol.Seal), ran)
		promised := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests || got.status == http.StatusRequestTimeout
		if promised && ran > 0 {
			w.logf("BROKEN: attempt %s was answered %d, which promises that it has not run, and has run", id, got.status)
			broken = true
		}
		if !promised {
			break
		}
	}
	if total > 1 {
		w.logf("booking %d was made %d times", number, total)
	}
	return broken
}
