// Package soak runs the real programs as processes of their own on one machine
// and injects faults from outside them, drawn from a seed: connections that are
// delayed, reset, cut one way or silenced by proxies, processes that are
// killed, paused, stopped and reloaded by signals, a store that fails, engines
// that fail, leave and return. While it runs, the engines and the callers check
// what must always hold.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// Spans of a run.
const (
	grace        = 4 * time.Second
	balancerLag  = 1200 * time.Millisecond
	restartPause = 200 * time.Millisecond
	firstTrouble = 500 * time.Millisecond
	// rollingCount rolling stops come before all other troubles, one each rollingSpan:
	// processes leave within it and are ready again.
	rollingCount = 2
	rollingSpan  = 3 * time.Second
	// peace is the calm at the end; requests of its last part must succeed.
	peace   = 7 * time.Second
	settled = 4 * time.Second
	// startLimit bounds the wait for processes; a busy machine is slow.
	startLimit = 30 * time.Second
	// tardy is how much later than its deadline a request may end.
	tardy = 2500 * time.Millisecond
)

// Options say what runs.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Program is the path of jujubed, Folder takes settings and logs.
	Program string
	Folder  string
	// Gateways and PerSecond are the size of the system and its load.
	Gateways  int
	PerSecond int
	Out       io.Writer
}

// Report is what a run showed.
type Report struct {
	Sent, Served, Refused, Failed int64
	// Kept are the requests on connections that callers keep for themselves, Crossed
	// those of them whose connection a planned stop closed within 200 ms.
	Kept, Crossed int64
	// Breaches are what must never have happened.
	Breaches []string
	// Settled are the requests of the calm at the end, and how many succeeded.
	SettledSent, SettledServed int64
}

// Run plays one seed.
func Run(ctx context.Context, options Options) (*Report, error) {
	r, err := newRun(options)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.await(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
	return r.report(), nil
}

type run struct {
	Options
	deployment *stand.Deployment
	client     *stand.Client
	processes  []*process
	callers    []*Proxy // before each process
	stores     []*Proxy // between each process and the store
	engines    []*engine
	began      time.Time
	faults     faultLog

	kept, crossed                 atomic.Int64
	sent, served, refused, failed atomic.Int64
	calmSent, calmServed          atomic.Int64
	mu                            sync.Mutex
	breaches                      []string
	group                         sync.WaitGroup
}

func newRun(options Options) (*run, error) {
	d, err := stand.New(config())
	if err != nil {
		return nil, err
	}
	r := &run{Options: options, deployment: d, client: stand.NewClient(d.Ledger)}
	for _, zone := range zones {
		for _, e := range engines(zone) {
			if err := r.addEngine(e); err != nil {
				r.close()
				return nil, err
			}
		}
	}
	if err := r.addStray(); err != nil {
		r.close()
		return nil, err
	}
	for i := range options.Gateways {
		if err := r.addGateway(i); err != nil {
			r.close()
			return nil, err
		}
	}
	return r, nil
}

func (r *run) addEngine(e *stand.Engine) error {
	started, err := r.deployment.Add(e)
	if err != nil {
		return err
	}
	proxy, err := NewProxy(started.Address)
	if err != nil {
		return err
	}
	started.AdvertisedAddress = proxy.Address()
	r.deployment.Register(started, true, 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines = append(r.engines, &engine{Engine: started, proxy: proxy})
	return nil
}

func (r *run) addGateway(number int) error {
	own, err := newPorts()
	if err != nil {
		return err
	}
	callers, err := NewProxy(own.callers)
	if err != nil {
		return err
	}
	r.callers = append(r.callers, callers)
	store, err := NewProxy(r.deployment.Address)
	if err != nil {
		return err
	}
	r.stores = append(r.stores, store)
	p := &process{
		name: fmt.Sprintf("gateway-%d", number), program: r.Program, folder: r.Folder, ports: own, storeAt: store.Address(), grace: grace,
	}
	if err := p.writeSettings(zones[number%len(zones)], 0); err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	r.processes = append(r.processes, p)
	return nil
}

func (r *run) close() {
	for _, p := range r.processes {
		p.stop()
	}
	r.client.Close()
	for _, proxy := range append(append([]*Proxy{}, r.callers...), r.stores...) {
		proxy.Close()
	}
	for _, e := range r.engines {
		e.proxy.Close()
	}
	r.deployment.Close()
}

// await waits until every process is ready.
func (r *run) await(ctx context.Context) error {
	end := time.Now().Add(startLimit)
	for _, p := range r.processes {
		for !p.ready(platform.Codec().ReadyPath) {
			if time.Now().After(end) || ctx.Err() != nil {
				return &StartError{Process: p.name}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// StartError says that a process did not become ready.
type StartError struct {
	Process string
}

// Error implements error.
func (e *StartError) Error() string { return e.Process + " did not become ready" }

func (r *run) play(ctx context.Context) {
	r.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Length)
	defer cancel()
	for _, trouble := range Plan(r.Seed, r.Length) {
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			r.strike(ctx, trouble)
		}()
	}
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		r.operate(ctx)
	}()
	r.startKeepers(ctx)
	r.load(ctx)
	r.group.Wait()
	r.checkStray()
	r.checkStops()
}

// load sends requests until the time is over and waits for their ends.
func (r *run) load(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 7))
	ticker := time.NewTicker(time.Second / time.Duration(r.PerSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		number, kind := random.IntN(len(r.processes)), random.IntN(len(requests))
		leaves := random.IntN(25) == 0
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			r.request(number, requests[kind](), leaves)
		}()
	}
}

// request sends one request, as callers do: a refused one comes back once, to
// another process.
func (r *run) request(number int, s *stand.Request, leaves bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.DeadlineMs)*time.Millisecond+tardy)
	defer cancel()
	if leaves {
		timer := time.AfterFunc(30*time.Millisecond, cancel)
		defer timer.Stop()
	}
	calm := time.Since(r.began) > r.Length-peace+settled
	r.sent.Add(1)
	got := r.client.Do(ctx, r.callers[number].Address(), s)
	if got.RetryAfter > 0 && got.Status == http.StatusServiceUnavailable {
		time.Sleep(got.RetryAfter)
		again := *s
		again.ID = stand.NewID()
		got = r.client.Do(ctx, r.callers[(number+1)%len(r.callers)].Address(), &again)
	}
	if calm && !leaves {
		r.calmSent.Add(1)
	}
	switch {
	case got.Complete:
		r.served.Add(1)
		if calm && !leaves {
			r.calmServed.Add(1)
		}
	case got.Status == http.StatusServiceUnavailable:
		r.refused.Add(1)
	default:
		r.failed.Add(1)
	}
}

func (r *run) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
}

// leastServed is the part of the calm's requests that must succeed.
const leastServed = 0.95

func (r *run) report() *Report {
	report := &Report{
		Sent: r.sent.Load(), Served: r.served.Load(), Refused: r.refused.Load(), Failed: r.failed.Load(),
		Kept: r.kept.Load(), Crossed: r.crossed.Load(),
		SettledSent: r.calmSent.Load(), SettledServed: r.calmServed.Load(),
	}
	if float64(report.SettledServed) < leastServed*float64(report.SettledSent) {
		r.breach("only %d of %d requests were served after the troubles had ended", report.SettledServed, report.SettledSent)
	}
	report.Breaches = append(r.deployment.Ledger.Violations(), r.breaches...)
	return report
}

// pick returns the process with a number.
func (r *run) pick(number int) *process { return r.processes[number%len(r.processes)] }

// pause waits for the length of a trouble or the end of the run.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
