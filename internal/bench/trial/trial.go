// Package trial runs one experiment on an embedded system.
package trial

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/bench/drive"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
	"github.com/jujubescale/jujubescale/internal/bench/tally"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// System is what is measured: the product, or the baseline.
type System struct {
	Name    string
	Options []whole.Option
}

// Run starts the deployment of an experiment, puts its load on it, causes its
// faults at their time and returns what that showed.
func Run(ctx context.Context, e *plan.Experiment, system System, progress func(drive.Progress)) (*tally.Result, error) {
	opts := append([]whole.Option{
		whole.WithManifest(e.Deployment),
		whole.WithShapes(e.Pools...),
		whole.WithEntries(e.Entries),
		whole.WithDistances(millis(e.BetweenZonesMs), millis(e.ClientsMs)),
		whole.WithLog(log.NewWithOptions(logSink{}, log.Options{Level: log.ErrorLevel})),
	}, system.Options...)
	running, err := whole.New(opts...)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	t := &trial{experiment: e, system: running}
	return t.run(ctx, system.Name, progress)
}

// logSink drops the daemons' logs: thousands of lines would drown the table.
type logSink struct{}

// Write implements io.Writer.
func (logSink) Write(line []byte) (int, error) { return len(line), nil }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

type trial struct {
	experiment *plan.Experiment
	system     *whole.Whole

	mu     sync.Mutex
	zones  []zoneOut
	causes sync.WaitGroup
	failed error
}

type zoneOut struct {
	zone string
	at   time.Time
	last time.Time
}

// callersZone is where callers stand: in no availability zone.
const callersZone = "callers"

func (t *trial) run(ctx context.Context, name string, progress func(drive.Progress)) (*tally.Result, error) {
	e := t.experiment
	driver := drive.New(t.system.InRotation,
		drive.WithDial(t.system.Clients.Dial(callersZone)), drive.WithProgress(progress))
	if err := driver.Probe(ctx, e); err != nil {
		return nil, err
	}
	records := driver.Run(ctx, e, func() { t.begin(ctx) })
	t.causes.Wait()
	t.settle(ctx)
	if t.failed != nil {
		return nil, t.failed
	}
	result := &tally.Result{
		Experiment: e.Name, System: name, RatePerSecond: e.Rate(), Allowed: e.Allows(),
		Faults: e.Faults, Platform: t.system.Platform.Calls(),
	}
	const second = 1000
	result.Requests(records, (e.DurationMs+second-1)/second)
	result.Cost(records, t.usage())
	result.Once(records, t.system.Ledger.Runs)
	for _, place := range t.system.Places {
		result.Falls += place.Slots().State().ColdCrashes
	}
	for _, out := range t.zones {
		lag := max(out.last.Sub(out.at), 0)
		result.Zones = append(result.Zones, tally.ZoneOut{Zone: out.zone, LastNewWorkMs: lag.Milliseconds()})
	}
	return result, nil
}

// begin forgets the engine time of the warm-up and schedules the faults.
func (t *trial) begin(ctx context.Context) {
	t.usage()
	start := time.Now()
	t.causes.Add(1)
	go func() {
		defer t.causes.Done()
		for _, fault := range t.experiment.Faults {
			timer := time.NewTimer(time.Until(start.Add(time.Duration(fault.AtMs) * time.Millisecond)))
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
			t.cause(fault.Fault)
		}
	}()
}

func (t *trial) cause(fault whole.Fault) {
	if fault.Name == whole.ZoneReturn {
		t.endZone(fault.Target)
	}
	at := time.Now()
	err := t.system.Inject(fault)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil && t.failed == nil {
		t.failed = err
	}
	if fault.Name == whole.ZoneLeave {
		t.zones = append(t.zones, zoneOut{zone: fault.Target, at: at})
	}
}

// endZone notes when a zone that returns got its last new work before that.
func (t *trial) endZone(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.zones {
		if t.zones[i].zone == zone && t.zones[i].last.IsZero() {
			t.zones[i].last = t.system.LastStart(zone)
		}
	}
}

// settle waits until the endpoints have ended what they still run, so that
// work nobody waits for any more is counted too.
func (t *trial) settle(ctx context.Context) {
	const most, step = 5 * time.Second, 50 * time.Millisecond
	for waited := time.Duration(0); waited < most && t.system.Running() > 0 && ctx.Err() == nil; waited += step {
		time.Sleep(step)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.zones {
		if t.zones[i].last.IsZero() {
			t.zones[i].last = t.system.LastStart(t.zones[i].zone)
		}
	}
}

// usage takes the engine time spent since the last call, by pool.
func (t *trial) usage() []tally.Pool {
	var pools []tally.Pool
	for i := range t.experiment.Deployment.Pools {
		pool := tally.Pool{Name: t.experiment.Deployment.Pools[i].Name}
		for _, place := range t.system.Places {
			if place.Pool == pool.Name {
				pool.Usage = append(pool.Usage, place.Slots().TakeUsage()...)
			}
		}
		pools = append(pools, pool)
	}
	return pools
}
