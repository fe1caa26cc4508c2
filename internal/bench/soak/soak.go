// Package soak runs the real programs as processes on one machine and injects
// faults from outside. A seed determines the faults: proxies delay, reset, cut or
// black-hole connections; signals kill, pause, stop and reload processes; the store
// fails; engines fail, leave and return. During the run, engines and callers check
// the invariants of the system.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubescale/jujubescale/internal/stand/netw"
	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// Durations and counts of a run.
const (
	grace            = 4 * time.Second
	balancerLag      = 1200 * time.Millisecond
	restartPause     = 200 * time.Millisecond
	firstDisturbance = 500 * time.Millisecond
	// rollingCount rolling stops precede all other disturbances, one each rollingSpan.
	// Within rollingSpan all processes leave and become ready again.
	rollingCount = 2
	rollingSpan  = 3 * time.Second
	// recoverySpan is the time without disturbances at the end of a run. Requests that
	// start more than settlingTime after its beginning must succeed.
	recoverySpan = 7 * time.Second
	settlingTime = 4 * time.Second
	// startLimit is the timeout for all processes to become ready; it allows for a
	// busy machine.
	startLimit = 30 * time.Second
	// deadlineTolerance is the longest time from the deadline of a request to its end.
	deadlineTolerance = 2500 * time.Millisecond
)

// Options configure a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Program is the path of jujubed. Settings and logs are written to Folder.
	Program string
	Folder  string
	// Gateways is the number of processes, PerSecond the number of requests a second.
	Gateways  int
	PerSecond int
	// Versions makes model engines of several software versions serve side by side and
	// replaces them during streams, instead of rollouts.
	Versions bool
	// Parts adds parts of prompts that crash engines, an uneven balancer and answers without length
	// or chunks, instead of rollouts.
	Parts bool
	// Restores adds returns of the store from a copy. Reuse lets other contents have the numbers of the lost writes before
	// these are written again.
	Restores, Reuse bool
	// MaxBodyBytes is the largest body of a request, 0 for the stand-in's default.
	MaxBodyBytes int
	// Memory is the memory of a model engine in tokens, 0 for the default.
	Memory int64
	// Outages makes all hosts lose their power at once and the processes lose each other, instead of
	// rollouts.
	Outages bool
	// Routes makes the operator add, move and remove routes in series while all processes are asked for
	// them, and throttles and pauses processes, instead of rollouts.
	Routes bool
	// Moves adds routes that move between services, in versions that stay large, to Routes, and checks which services
	// ran each request.
	Moves bool
	// Storms adds series of 3 to 12 versions a second to Moves.
	Storms bool
	// LoseLarge takes the largest hosts of one zone, two or all away for some seconds, again and again; WithoutLarge
	// takes all of them away for the whole run.
	LoseLarge, WithoutLarge bool
	// OddAnswers makes the store answer watches in all ways that its interface allows or doesn't rule out: cut, doubled, out of
	// order, early, broken off, 410, and with changes left out.
	OddAnswers bool
	// Uneven sends one in four requests to one process, on a host of the middle size.
	Uneven bool
	// Quotas gives all processes hosts with limits, of three sizes, and tells the processes these sizes.
	Quotas bool
	// SlowOrders makes plain engines take up to most of the grace period, and stops one process after the
	// other, instead of rollouts.
	SlowOrders bool
	// Only are the kinds of disturbances of the run, all that its other options add if it is empty.
	Only []Kind
	Out  io.Writer
}

// Report is the result of a run.
type Report struct {
	Sent, Served, Refused, Failed int64
	// Kept counts the requests on persistent connections. Crossed counts those of them
	// whose connection a planned stop closed within 200 ms, before the process read them.
	Kept, Crossed int64
	// Stops is the number of planned stops, OnceOnly that of the requests that may run once only and that a
	// process got after SIGTERM, and Cut those of them that it did not let end.
	Stops, OnceOnly, Cut int64
	// Violations describes the violated invariants.
	Violations []string
	// SettledSent counts the requests that were sent after recovery at the end of the
	// run, SettledServed those of them that succeeded.
	SettledSent, SettledServed int64
	// Resumes describes how many streams callers resumed, "" without versions.
	Resumes string
	// BadParts is the number of parts that crashed engines, BadCrashes that of the crashes.
	BadParts, BadCrashes int64
	// Outages is the number of outages, OutagesJudged that of those after which no other fault kept
	// the processes from being checked, and OutageProbes the number of processes that were.
	Outages, OutagesJudged, OutageProbes int64
	// Returned are the requests that were sent returnedAfter or more after all hosts had lost their power, until the
	// next outage, and ReturnedServed those of them that were served.
	Returned, ReturnedServed int64
	// Routes describes the versions and the requests for their routes, "" without Options.Routes.
	Routes string
	// Moves describes the requests for routes that move, and Lags the times until versions were in force.
	Moves string
	Lags  Lags
	// BusiestLags are those of the process that gets most requests with Options.Uneven.
	BusiestLags Lags
	// HostUse describes the highest use of memory and file descriptors of each size of host, "" without Options.Quotas.
	HostUse string
	// Restores is the number of returns of the store, RestoreProbes that of the checks after them.
	Restores, RestoreProbes int64
}

// Run runs the disturbances of one seed. It returns a StartError if a process does not
// become ready.
func Run(ctx context.Context, options Options) (*Report, error) {
	r, err := newRun(options)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	r.execute(ctx)
	return r.report(), nil
}

type run struct {
	Options
	deployment *stand.Deployment
	client     *stand.Client
	processes  []*process
	callers    []*Proxy // between the callers and each process
	stores     []*Proxy // between each process and the store
	sessions   sync.Map // string to *Proxy, between the other processes and each one, with outages
	engines    []*engine
	started    time.Time
	faults     faultLog
	resumes    resumeCounts
	// The host of the first gateway has a link, a number of file descriptors and an environment
	// of its own, nil and 0 for those of all.
	firstLink     *netw.Link
	firstLinkMbps float64
	firstFds      int
	firstEnv      []string
	// firstHostSize is the size of that host, nil for one without limits.
	firstHostSize *hostSize
	// press is the process that is pressed, nil for none.
	press                atomic.Pointer[press]
	publishing           sync.Mutex // serialises changes of the configuration
	badParts, badCrashes atomic.Int64
	// outages counts the outages, outagesJudged those after which a process could be checked, and
	// outageProbes the checks.
	outages, outagesJudged, outageProbes atomic.Int64
	// poweredAt is when all hosts had their power again, in ms since the start, 0 before the first loss and during one.
	poweredAt                atomic.Int64
	returned, returnedServed atomic.Int64
	// restores counts the returns of the store, and restoreProbes the checks after them.
	restores, restoreProbes atomic.Int64

	added                         routeBook
	moved                         moveBook
	kept, crossed                 atomic.Int64
	onceOnly, cut                 atomic.Int64
	sent, served, refused, failed atomic.Int64
	claims, falseClaims           atomic.Int64
	settledSent, settledServed    atomic.Int64
	mu                            sync.Mutex
	violations                    []string
	uses                          map[hostSize]hostUse // with quotas
	group                         sync.WaitGroup
}

func newRun(options Options) (*run, error) {
	options.Moves = options.Moves || options.Storms
	options.Restores = options.Restores || options.Reuse
	options.Routes = options.Routes || options.Moves
	r := &run{Options: options}
	return r, r.start()
}

// start starts the platform, the engines and the gateways. After an error nothing runs.
func (r *run) start() error {
	first := config(r.modelMemory())
	first.MaxBodyBytes = r.MaxBodyBytes
	if r.SlowOrders {
		slowRoutes(&first)
	}
	if r.Moves {
		r.addMovedRoutes(&first)
	}
	d, err := stand.New(first)
	if err != nil {
		return err
	}
	r.deployment, r.client = d, stand.NewClient(d.Ledger)
	if r.OddAnswers {
		d.Store.SetAnswerFunc(oddAnswers(r.Seed))
	}
	if err := r.addEngines(); err != nil {
		r.close()
		return err
	}
	if r.Outages || r.Quotas {
		r.addressMembers()
	}
	for i := range r.Gateways {
		if err := r.addGateway(i); err != nil {
			r.close()
			return err
		}
	}
	return nil
}

// addEngines starts the engines that the run begins with.
func (r *run) addEngines() error {
	for _, zone := range zones {
		for _, e := range engines(zone) {
			if r.Versions && e.Kind == stand.Model {
				continue
			}
			if r.SlowOrders && e.Kind == stand.Plain {
				e.WorkTime, e.WorkSpread = shortestOrder, longestOrder-shortestOrder
			}
			if _, err := r.addEngine(e); err != nil {
				return err
			}
		}
	}
	if r.Moves {
		for _, zone := range zones {
			target := &stand.Engine{Service: moveTargets[1], Kind: stand.Plain, WorkTime: 10 * time.Millisecond, Zone: zone, IdleTimeout: engineIdleTimeout}
			if _, err := r.addEngine(target); err != nil {
				return err
			}
		}
	}
	switch {
	case r.Versions:
		return r.addVersions()
	case r.Parts, r.Outages, r.Routes, r.SlowOrders:
		return nil
	}
	return r.addUnorderedVersion()
}

func (r *run) addEngine(e *stand.Engine) (*engine, error) {
	return r.addEngineBehind(e, nil)
}

// addEngineBehind starts an engine behind a proxy, or behind a new one if that is nil.
func (r *run) addEngineBehind(e *stand.Engine, proxy *Proxy) (*engine, error) {
	if r.Versions && e.Kind == stand.Model {
		e.Events = longEvents
	}
	started, err := r.deployment.Add(e)
	if err != nil {
		return nil, err
	}
	if r.Parts && started.Kind == stand.Model {
		return r.addDirect(started), nil
	}
	if proxy == nil {
		if proxy, err = NewProxy(started.Address); err != nil {
			return nil, err
		}
	}
	if started.Kind == stand.Model {
		shareHost(started, r.modelMemory())
	}
	started.AdvertisedAddress = proxy.Address()
	r.deployment.Register(started, true, 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	added := &engine{Engine: started, proxy: proxy}
	r.engines = append(r.engines, added)
	return added, nil
}

// addDirect adds an engine without a proxy, which would hide that it has ended: a proxy accepts
// connections all the same.
func (r *run) addDirect(started *stand.Engine) *engine {
	shareHost(started, r.modelMemory())
	r.deployment.Register(started, true, 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	added := &engine{Engine: started}
	r.engines = append(r.engines, added)
	return added
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
	settings := hostSettings{linkMbps: linkMbps}
	if number == 0 {
		settings = r.firstHost(callers)
	}
	r.callers = append(r.callers, callers)
	store, err := NewProxy(r.deployment.Address)
	if err != nil {
		return err
	}
	r.stores = append(r.stores, store)
	var link *netw.Link
	if r.Outages || r.Quotas {
		sessions, err := NewProxy(own.sessions)
		if err != nil {
			return err
		}
		r.sessions.Store(fmt.Sprintf("gateway-%d", number), sessions)
		if r.Quotas {
			size := sizeOf(number)
			link, settings = r.attachHost(&size, callers, store, sessions), size.settings()
		}
	}
	p := &process{
		name: fmt.Sprintf("gateway-%d", number), program: r.Program, folder: r.Folder, ports: own, storeAddress: store.Address(), grace: grace,
		rollouts: !r.Versions && !r.Parts && !r.Outages && !r.Routes && !r.SlowOrders, host: settings, link: link,
	}
	if err := p.writeSettings(zones[number%len(zones)], 0); err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, p)
	return nil
}

func (r *run) close() {
	for _, p := range r.processes {
		p.stop()
		p.ports.release()
	}
	r.client.Close()
	for _, proxy := range append(append([]*Proxy{}, r.callers...), r.stores...) {
		proxy.Close()
	}
	r.sessions.Range(func(_, proxy any) bool {
		proxy.(*Proxy).Close()
		return true
	})
	closed := make(map[*Proxy]bool)
	for _, e := range r.engines {
		if e.proxy != nil && !closed[e.proxy] {
			e.proxy.Close()
		}
		closed[e.proxy] = true
	}
	r.deployment.Close()
}

// awaitReady waits until every process is ready.
func (r *run) awaitReady(ctx context.Context) error {
	end := time.Now().Add(startLimit)
	for _, p := range r.processes {
		for !p.ready(platform.Codec().ReadyPath) {
			if time.Now().After(end) || ctx.Err() != nil {
				return &StartError{Process: p.name, LastLine: p.lastLine()}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// StartError is returned if a process does not become ready within the timeout.
type StartError struct {
	Process string
	// LastLine is the last line of its output.
	LastLine string
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("%s did not become ready, its last line is %q", e.Process, e.LastLine)
}

// execute causes the disturbances, orders and requests of the run, and then checks the
// planned stops and the requests of the version that was never ordered.
func (r *run) execute(ctx context.Context) {
	r.started = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Length)
	defer cancel()
	plan := Plan(r.Seed, r.Length)
	if r.Parts {
		plan = append(plan, partPlan(r.Seed, r.Length)...)
	}
	if r.Restores {
		plan = append(plan, restores(r.Seed, r.Length)...)
	}
	if r.Routes {
		plan = append(plan, routePlan(r.Seed, r.Length)...)
	}
	if r.Outages {
		plan = append(plan, outages(r.Seed, r.Length)...)
	}
	if r.LoseLarge {
		plan = append(plan, largeLosses(r.Seed, r.Length)...)
	}
	if len(r.Only) > 0 {
		plan = slices.DeleteFunc(plan, func(d Disturbance) bool { return !slices.Contains(r.Only, d.Kind) })
	}
	if r.WithoutLarge {
		plan = append(plan, withoutLarge(r.Length))
	}
	for _, disturbance := range plan {
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			r.inject(ctx, disturbance)
		}()
	}
	for _, task := range r.tasks() {
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			task(ctx)
		}()
	}
	if r.Quotas {
		defer r.startQuotas()()
	}
	r.startPersistentCallers(ctx)
	r.load(ctx)
	r.group.Wait()
	r.checkUnorderedVersion()
	r.checkResumes()
	r.checkStops()
	r.checkStatements()
	if r.Moves && !r.OddAnswers { // such a store may leave any change out, so that no process can tell
		r.checkClaims()
	}
}

// tasks returns what the operator and special callers do during the run.
func (r *run) tasks() []func(context.Context) {
	if r.Versions {
		return []func(context.Context){r.replaceEngines, r.startGuides}
	}
	if r.Routes {
		tasks := []func(context.Context){r.changeRoutes, r.probeRoutes}
		if r.Moves {
			tasks = append(tasks, r.moveRoutes, r.probeMoved)
		}
		if r.Storms {
			tasks = append(tasks, r.publishStorms)
		}
		return tasks
	}
	if r.SlowOrders {
		return []func(context.Context){r.stopInTurn}
	}
	if r.Parts || r.Outages {
		return nil
	}
	return []func(context.Context){r.issueOrders}
}

// newRequest returns a request of a kind by its number.
func (r *run) newRequest(kind int) *stand.Request {
	s := requests[kind]()
	if r.Versions && s.Events > 0 {
		s.Events = longEvents
	}
	if r.SlowOrders && s.Events == 0 {
		s.DeadlineMs = slowTimeoutMs
	}
	return s
}

// load sends requests until ctx ends. It does not wait for their answers.
func (r *run) load(ctx context.Context) {
	random, deal := rand.New(rand.NewPCG(r.Seed, 7)), r.dealer()
	ticker := time.NewTicker(time.Second / time.Duration(r.PerSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		number, kind := random.IntN(len(r.processes)), random.IntN(len(requests))
		cancels := random.IntN(25) == 0
		number = r.besideLost(deal(number))
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			if pressed := r.press.Load(); pressed != nil {
				r.pressedRequest(pressed, r.newRequest(kind))
				return
			}
			r.request(number, r.newRequest(kind), cancels)
		}()
	}
}

// request sends one request and retries it once, on another process, if it is refused
// with a Retry-After. If cancels is set, the caller cancels it after 30 ms.
func (r *run) request(number int, s *stand.Request, cancels bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.DeadlineMs)*time.Millisecond+deadlineTolerance)
	defer cancel()
	if cancels {
		timer := time.AfterFunc(30*time.Millisecond, cancel)
		defer timer.Stop()
	}
	settled := time.Since(r.started) > r.Length-recoverySpan+settlingTime
	returned := r.isReturned()
	r.sent.Add(1)
	current, began := r.processes[number].currentIncarnation(), time.Now()
	got := r.client.Do(ctx, r.callers[number].Address(), s)
	r.checkCut(s, r.processes[number], current, began, got)
	if got.RetryAfter > 0 && got.RetryAfter < time.Duration(s.DeadlineMs)*time.Millisecond && got.Status == http.StatusServiceUnavailable {
		time.Sleep(got.RetryAfter)
		again := *s
		again.ID = stand.NewID()
		got = r.client.Do(ctx, r.callers[r.besideLost((number+1)%len(r.callers))].Address(), &again)
	}
	if settled && !cancels {
		r.settledSent.Add(1)
	}
	if returned && !cancels {
		r.returned.Add(1)
		if got.Complete {
			r.returnedServed.Add(1)
		}
	}
	switch {
	case got.Complete:
		r.served.Add(1)
		if settled && !cancels {
			r.settledServed.Add(1)
		}
	case got.Status == http.StatusServiceUnavailable:
		r.refused.Add(1)
	default:
		r.failed.Add(1)
	}
}

func (r *run) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// minServedShare is the share of the requests after recovery that must succeed.
const minServedShare = 0.95

func (r *run) report() *Report {
	report := &Report{
		Sent: r.sent.Load(), Served: r.served.Load(), Refused: r.refused.Load(), Failed: r.failed.Load(),
		Kept: r.kept.Load(), Crossed: r.crossed.Load(), Stops: r.plannedStops(), OnceOnly: r.onceOnly.Load(), Cut: r.cut.Load(),
		SettledSent: r.settledSent.Load(), SettledServed: r.settledServed.Load(),
		BadParts: r.badParts.Load(), BadCrashes: r.badCrashes.Load(),
		Outages: r.outages.Load(), OutagesJudged: r.outagesJudged.Load(), OutageProbes: r.outageProbes.Load(),
		Restores: r.restores.Load(), RestoreProbes: r.restoreProbes.Load(),
		Returned: r.returned.Load(), ReturnedServed: r.returnedServed.Load(),
	}
	if len(r.Only) > 0 && float64(report.ReturnedServed) < minReturnedShare*float64(report.Returned) {
		r.addViolation("only %d of %d requests were served that were sent %v after all hosts had returned", report.ReturnedServed, report.Returned, returnedAfter)
	}
	if float64(report.SettledServed) < minServedShare*float64(report.SettledSent) {
		r.addViolation("only %d of %d requests were served after the last disturbance", report.SettledServed, report.SettledSent)
	}
	if r.Versions {
		report.Resumes = r.resumes.String()
	}
	if r.Routes {
		report.Routes = r.added.String()
	}
	if r.Moves {
		report.Moves = fmt.Sprintf("%v; %d of %d claims false", &r.moved, r.falseClaims.Load(), r.claims.Load())
		report.Lags = r.lagsAt(r.processes)
		if r.Uneven {
			report.BusiestLags = r.lagsAt(r.processes[r.busiest():][:1])
		}
	}
	report.HostUse = r.describeUses()
	report.Violations = append(r.deployment.Ledger.Violations(), r.violations...)
	return report
}

// processAt returns the process with the given number, modulo the number of processes.
func (r *run) processAt(number int) *process { return r.processes[number%len(r.processes)] }

// pause waits for span or until ctx ends.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
