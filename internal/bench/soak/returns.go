package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	// returnTargets is the number of services between which routes move.
	returnTargets = 4
	// returnKeys is the number of keys that are revoked and given back.
	returnKeys = 4
	// maxReturnPause is the longest time after the last write of a return. Contents that are late show once it exceeds
	// changeWithin.
	maxReturnPause = 5 * time.Second
	// returnCalm is the time without disturbances and writes at the end, returnSettle the part of it after which requests
	// must be served.
	returnCalm   = 7 * time.Second
	returnSettle = 4 * time.Second
	// strikeSeries is the number of series of disturbances, which overlap.
	strikeSeries = 2
	// Bounds of a disturbance and of the time between two of a series.
	minStrike, maxStrike           = 300 * time.Millisecond, 3 * time.Second
	minStrikePause, maxStrikePause = 500 * time.Millisecond, 5 * time.Second
	// maxReported is the number of late requests that are reported one by one.
	maxReported = 12
)

// ReturnOptions configure a play in which the store comes back from copies again and again, while other contents get the
// numbers of the lost ones.
type ReturnOptions struct {
	Seed              uint64
	Gateways, Returns int
	// Large makes each version of the configuration some 770 KB large. Strikes disturbs processes meanwhile.
	Large, Strikes  bool
	Program, Folder string
	Out             io.Writer
}

// ReturnReport is the result of a play of returns.
type ReturnReport struct {
	Returns, Lost, Written, Strikes int
	// Asked counts the requests, Served, Denied (status 401 or 404) and Refused (503) their outcomes.
	Asked, Served, Denied, Refused int64
	// Late counts the requests that were decided by contents that the store never had, or had replaced at least changeWithin
	// before they were sent, and LateProcesses the processes that have decided one.
	Late          int64
	LateProcesses int
	// ByCopy counts the requests that were decided by the contents of a copy from which the store has returned, although
	// a later version had been acknowledged for changeWithin before it was lost.
	ByCopy int64
	// CutOff counts the requests that were decided by contents that had been replaced, at processes that could not reach the
	// store within changeWithin before: they serve by what they know.
	CutOff int64
	// NotApplied counts the log lines "difference not applied".
	NotApplied int
	// CalmAsked and CalmServed count the requests at the end that no version denies.
	CalmAsked, CalmServed int64
	// Violations describe late requests and breaches that the stand-ins saw.
	Violations []string
}

// String describes the report in one line.
func (r *ReturnReport) String() string {
	return fmt.Sprintf("%d returns, %d writes lost, %d followed, %d strikes; %d requests, %d served, %d denied, %d refused; late %d at %d processes, by the copy %d, cut off %d, differences not applied %d; in the calm %d of %d, breaches %d",
		r.Returns, r.Lost, r.Written, r.Strikes, r.Asked, r.Served, r.Denied, r.Refused, r.Late, r.LateProcesses, r.ByCopy, r.CutOff, r.NotApplied, r.CalmServed, r.CalmAsked, len(r.Violations))
}

// returnPlay is a run of PlayReturns.
type returnPlay struct {
	ReturnOptions
	run  *run
	book returnBook

	strikes                        atomic.Int64
	asked, served, denied, refused atomic.Int64
	late, byCopy, cutOff           atomic.Int64
	calm                           atomic.Bool
	calmAsked, calmServed          atomic.Int64
	report                         ReturnReport
}

// PlayReturns plays returns of the store. It returns a StartError if a process does not become ready.
func PlayReturns(ctx context.Context, options ReturnOptions) (*ReturnReport, error) {
	p := &returnPlay{ReturnOptions: options}
	p.run = &run{Options: Options{Seed: options.Seed, Gateways: options.Gateways, Program: options.Program, Folder: options.Folder, Out: options.Out, Outages: true}}
	if err := p.start(); err != nil {
		return nil, err
	}
	defer p.run.close()
	if err := p.run.awaitReady(ctx); err != nil {
		return nil, err
	}
	p.run.started = time.Now()
	p.play(ctx)
	return p.newReport()
}

// start starts the platform, the engines and the gateways. After an error nothing runs.
func (p *returnPlay) start() error {
	r := p.run
	d, err := stand.New(p.firstConfig())
	if err != nil {
		return err
	}
	r.deployment, r.client = d, stand.NewClient(d.Ledger)
	p.book.begin(d)
	r.addressMembers()
	for _, zone := range zones {
		for i := range returnTargets {
			e, err := r.addEngine(&stand.Engine{Service: returnTarget(i), Kind: stand.Plain, WorkTime: 5 * time.Millisecond, Zone: zone, IdleTimeout: engineIdleTimeout})
			if err != nil {
				r.close()
				return err
			}
			p.book.entries = append(p.book.entries, &returnItem{name: e.ID, zone: zone, set: func(out bool) { d.Register(e.Engine, !out, 0) }})
		}
		p.book.evacuations = append(p.book.evacuations, &returnItem{name: zone, zone: zone, set: func(out bool) {
			if out {
				d.Evacuate(zone)
			} else {
				d.EndEvacuation(zone)
			}
		}})
	}
	for i := range p.Gateways {
		if err := r.addGateway(i); err != nil {
			r.close()
			return err
		}
	}
	return nil
}

func returnTarget(i int) string { return fmt.Sprintf("target-%d", i) }

func returnKey(i int) string { return fmt.Sprintf("secret-of-org-%d", i) }

func returnOrg(i int) string { return fmt.Sprintf("org-%d", i) }

// firstConfig returns the first version.
func (p *returnPlay) firstConfig() stand.Config {
	var config stand.Config
	for i := range returnTargets {
		config.Services = append(config.Services, stand.Service{Name: returnTarget(i), Kind: stand.Plain, MaxConns: 200})
	}
	for i := range movedRoutes {
		route := movedRoute(i, []string{returnTarget(0)})
		route.Public = false
		config.Routes = append(config.Routes, route)
	}
	for i := range returnKeys {
		config.Tenants = append(config.Tenants, stand.Tenant{Name: returnOrg(i), Keys: []string{returnKey(i)}})
	}
	if !p.Large {
		return config
	}
	for i := range keptRoutes {
		kept := addedRouteOf(fmt.Sprintf("kept-%d", i), keptHost)
		kept.Service = returnTarget(0)
		config.Routes = append(config.Routes, kept)
	}
	return config
}

func (p *returnPlay) play(ctx context.Context) {
	asking, stopAsking := context.WithCancel(ctx)
	striking, stopStriking := context.WithCancel(ctx)
	var callers, strikers sync.WaitGroup
	for i, target := range p.run.processes {
		for j, kept := range []bool{false, true} {
			callers.Go(func() { p.ask(asking, target, kept, rand.New(rand.NewPCG(p.Seed, 2027+uint64(2*i+j)))) })
		}
	}
	for i := range strikeSeries {
		if p.Strikes {
			strikers.Go(func() { p.strike(striking, rand.New(rand.NewPCG(p.Seed, 2011+uint64(i)))) })
		}
	}
	random := rand.New(rand.NewPCG(p.Seed, 2017))
	for range p.Returns {
		p.playReturn(ctx, random)
	}
	stopStriking()
	strikers.Wait()
	p.clear()
	pause(ctx, returnSettle)
	p.calm.Store(true)
	pause(ctx, returnCalm-returnSettle)
	stopAsking()
	callers.Wait()
}

// playReturn plays one return: writes, the return from a copy that lacks them, and other writes that get their numbers.
func (p *returnPlay) playReturn(ctx context.Context, random *rand.Rand) {
	d := stand.DrawReturn(random)
	_, _ = fmt.Fprintf(p.Out, "%6.2fs return: %v\n", time.Since(p.run.started).Seconds(), d)
	store := p.run.deployment.Store
	before := p.book.snapshot()
	var numbers []uint64
	for _, kind := range d.Lost {
		p.book.write(kind, random)
		_, number := store.Era()
		numbers = append(numbers, number)
		pause(ctx, d.LostPause)
	}
	pause(ctx, d.Age)
	if d.Away > 0 {
		returned := p.run.faults.begin(StoreDown, nil)
		store.SetFault(stand.StoreFault{Status: http.StatusServiceUnavailable})
		pause(ctx, d.Away)
		store.SetFault(stand.StoreFault{})
		returned()
	}
	p.book.returnTo(before)
	pause(ctx, d.Silent)
	for i, kind := range d.Next {
		if d.SameKinds && i < len(numbers) {
			store.RaiseTo(numbers[i])
		}
		p.book.write(kind, random)
		pause(ctx, d.NextPause)
	}
	p.report.Returns, p.report.Lost, p.report.Written = p.report.Returns+1, p.report.Lost+len(d.Lost), p.report.Written+len(d.Next)
	pause(ctx, time.Duration(random.Int64N(int64(maxReturnPause))))
}

// clear writes all entries as ready, ends all evacuations, and gives back all keys.
func (p *returnPlay) clear() {
	for _, item := range p.book.items() {
		p.book.setItem(item, false)
	}
	p.book.writeVersion(func(v *returnVersion) { v.revoked = [returnKeys]bool{} })
}

// strike disturbs one process after the other.
func (p *returnPlay) strike(ctx context.Context, random *rand.Rand) {
	for {
		pause(ctx, drawBetween(random, minStrikePause, maxStrikePause))
		if ctx.Err() != nil {
			return
		}
		number, during := random.IntN(len(p.run.processes)), drawBetween(random, minStrike, maxStrike)
		kind := []Kind{Terminate, Kill, Pause, CutStore, SilenceSessions}[random.IntN(5)]
		p.strikes.Add(1)
		_, _ = fmt.Fprintf(p.Out, "%6.2fs %s of %d for %v\n", time.Since(p.run.started).Seconds(), kind, number, during.Round(time.Millisecond))
		p.strikeOnce(ctx, kind, number, during)
	}
}

// strikeOnce stops a process and starts it again later, kills it, pauses it, or cuts it off from the store or from all others.
func (p *returnPlay) strikeOnce(ctx context.Context, kind Kind, number int, during time.Duration) {
	r, target := p.run, p.run.processes[number]
	defer r.faults.begin(kind, target)()
	switch kind {
	case Terminate:
		target.startAfter(time.Now().Add(during))
		target.signal(syscall.SIGTERM)
	case Kill:
		target.startAfter(time.Now().Add(during))
		target.signal(syscall.SIGKILL)
	case Pause:
		hold(ctx, target, during)
	case CutStore:
		cut(ctx, during, r.stores[number])
	default:
		own, _ := r.sessions.Load(target.name)
		cut(ctx, during, r.stores[number], own.(*Proxy))
	}
}

// cut makes proxies discard all bytes for a time.
func cut(ctx context.Context, during time.Duration, proxies ...*Proxy) {
	for _, proxy := range proxies {
		proxy.SetFault(LinkFault{DropUpstream: true, DropDownstream: true})
	}
	pause(ctx, during)
	for _, proxy := range proxies {
		proxy.SetFault(LinkFault{})
		proxy.Reset()
	}
}

// ask sends one request after the other to a process, on kept or on new connections.
func (p *returnPlay) ask(ctx context.Context, target *process, kept bool, random *rand.Rand) {
	for ctx.Err() == nil {
		p.askOnce(ctx, target, random.IntN(movedRoutes), random.IntN(returnKeys), kept)
		pause(ctx, time.Duration(random.Int64N(int64(2*probePause))))
	}
}

// askOnce sends one request and checks which contents have decided it.
func (p *returnPlay) askOnce(ctx context.Context, target *process, route, key int, kept bool) {
	s := &stand.Request{
		ID: stand.NewID(), Method: http.MethodGet, Host: "orders.example", Path: "/" + movedName(route) + "/x", Service: returnTarget(0),
		AnyService: true, Key: returnKey(key), Tenant: returnOrg(key), DeadlineMs: 2500,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(s.DeadlineMs)*time.Millisecond+deadlineTolerance)
	defer cancel()
	calm, sent, out := p.calm.Load(), time.Now(), p.book.outSince()
	var got stand.Outcome
	if kept {
		got = p.run.client.Do(ctx, target.ports.callers, s)
	} else {
		got = p.run.client.DoOnce(ctx, target.ports.callers, s, time.Second)
	}
	p.asked.Add(1)
	switch got.Status {
	case http.StatusOK:
		p.served.Add(1)
	case http.StatusUnauthorized, http.StatusNotFound:
		p.denied.Add(1)
	case http.StatusServiceUnavailable:
		p.refused.Add(1)
	}
	if calm {
		p.calmAsked.Add(1)
		if got.Complete {
			p.calmServed.Add(1)
		}
	}
	p.judge(target, returnProbe{route: route, key: key, sent: sent, ended: time.Now(), id: s.ID, status: got.Status}, out)
}

// judge checks what has decided a request: versions, entries and evacuations.
func (p *returnPlay) judge(target *process, probe returnProbe, outBefore map[string]time.Time) {
	ledger := p.run.deployment.Ledger
	for _, service := range ledger.RunAt(probe.id) {
		probe.service = service
		p.judgeVersion(target, probe)
	}
	if probe.status == http.StatusUnauthorized || probe.status == http.StatusNotFound {
		probe.service = ""
		p.judgeVersion(target, probe)
	}
	outAfter := p.book.outSince()
	for _, engine := range ledger.Runs(probe.id) {
		for _, item := range p.book.itemsOf(engine) {
			since, known := outBefore[item]
			if known && since.Equal(outAfter[item]) && probe.sent.Sub(since) > changeWithin && !p.isCutOff(target, probe.sent) {
				p.addLate(target, probe, fmt.Sprintf("it ran at %s, sent %v after %s was out", engine, probe.sent.Sub(since), item))
			}
		}
	}
}

func (p *returnPlay) judgeVersion(target *process, probe returnProbe) {
	switch verdict, detail := p.book.judge(probe); verdict {
	case decidedLate:
		if p.isCutOff(target, probe.sent) {
			p.cutOff.Add(1)
			return
		}
		p.addLate(target, probe, detail)
	case decidedNever:
		p.addLate(target, probe, detail)
	case decidedByCopy:
		p.byCopy.Add(1)
	default: // by contents that may be in force
	}
}

// isCutOff reports whether a process could not reach the store at some time within changeWithin before an instant.
func (p *returnPlay) isCutOff(target *process, at time.Time) bool {
	return p.run.faults.overlapping(at.Add(-changeWithin), at, target, CutStore, SilenceSessions, StoreDown)
}

func (p *returnPlay) addLate(target *process, probe returnProbe, detail string) {
	number := p.late.Add(1)
	p.book.addLateProcess(target.name)
	if number <= maxReported {
		current := target.currentIncarnation()
		p.run.addViolation("%s: request %s for %s with key %d, sent at %s, status %d, service %q: %s; it was started %v before, disturbed: %t", target.name, probe.id, movedName(probe.route), probe.key,
			probe.sent.UTC().Format("15:04:05.000"), probe.status, probe.service, detail, probe.sent.Sub(current.began).Round(time.Millisecond), p.run.faults.struck(target, probe.sent.Add(-stableTime), time.Now()))
	}
}

// newReport returns the report, with the lines that the processes have logged.
func (p *returnPlay) newReport() (*ReturnReport, error) {
	r := &p.report
	r.Strikes, r.Asked, r.Served, r.Denied, r.Refused = int(p.strikes.Load()), p.asked.Load(), p.served.Load(), p.denied.Load(), p.refused.Load()
	r.Late, r.ByCopy, r.CutOff, r.CalmAsked, r.CalmServed = p.late.Load(), p.byCopy.Load(), p.cutOff.Load(), p.calmAsked.Load(), p.calmServed.Load()
	r.LateProcesses = len(p.book.lateProcesses)
	for _, target := range p.run.processes {
		raw, err := os.ReadFile(target.logFile())
		if err != nil {
			return nil, err
		}
		r.NotApplied += bytes.Count(raw, []byte(`msg="difference not applied"`))
	}
	r.Violations = slices.Concat(p.run.deployment.Ledger.Violations(), p.run.violations)
	return r, nil
}
