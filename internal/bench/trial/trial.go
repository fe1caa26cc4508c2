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

// System is a measured system: the product or the baseline.
type System struct {
	Name    string
	Options []whole.Option
}

// Run starts the deployment of an experiment, sends its load, injects its faults and returns
// the result.
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

// logSink discards the logs of the daemons, whose thousands of lines would hide the table of
// results.
type logSink struct{}

// Write implements io.Writer.
func (logSink) Write(line []byte) (int, error) { return len(line), nil }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

type trial struct {
	experiment *plan.Experiment
	system     *whole.Whole

	mu            sync.Mutex
	zones         []evacuatedZone
	faultsPending sync.WaitGroup
	err           error
}

type evacuatedZone struct {
	zone        string
	at          time.Time
	lastNewWork time.Time
}

// callersZone is the location of callers, which belong to no availability zone.
const callersZone = "callers"

func (t *trial) run(ctx context.Context, name string, progress func(drive.Progress)) (*tally.Result, error) {
	e := t.experiment
	driver := drive.New(t.system.InRotation,
		drive.WithDial(t.system.Clients.Dial(callersZone)), drive.WithProgress(progress))
	if err := driver.AwaitReady(ctx, e); err != nil {
		return nil, err
	}
	records := driver.Run(ctx, e, func() { t.beginMeasurement(ctx) })
	t.faultsPending.Wait()
	t.awaitIdle(ctx)
	if t.err != nil {
		return nil, t.err
	}
	result := &tally.Result{
		Experiment: e.Name, System: name, RatePerSecond: e.Rate(), AttainableShare: e.AttainableShare(),
		Faults: e.Faults, Platform: t.system.Platform.Calls(),
	}
	const second = 1000
	result.AddRequests(records, (e.DurationMs+second-1)/second)
	result.AddCosts(records, t.takeUsage())
	result.CheckAtMostOnce(records, t.system.Ledger.Runs)
	for _, place := range t.system.Places {
		result.Falls += place.Slots().State().ColdCrashes
	}
	for _, zone := range t.zones {
		delay := max(zone.lastNewWork.Sub(zone.at), 0)
		result.Zones = append(result.Zones, tally.EvacuatedZone{Zone: zone.zone, LastNewWorkMs: delay.Milliseconds()})
	}
	return result, nil
}

// beginMeasurement discards the engine time of the warm-up and schedules the faults.
func (t *trial) beginMeasurement(ctx context.Context) {
	t.takeUsage()
	start := time.Now()
	t.faultsPending.Add(1)
	go func() {
		defer t.faultsPending.Done()
		for _, fault := range t.experiment.Faults {
			timer := time.NewTimer(time.Until(start.Add(time.Duration(fault.AtMs) * time.Millisecond)))
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
			t.inject(fault.Fault)
		}
	}()
}

func (t *trial) inject(fault whole.Fault) {
	if fault.Name == whole.ZoneReturn {
		t.recordLastStart(fault.Target)
	}
	at := time.Now()
	err := t.system.Inject(fault)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil && t.err == nil {
		t.err = err
	}
	if fault.Name == whole.ZoneLeave {
		t.zones = append(t.zones, evacuatedZone{zone: fault.Target, at: at})
	}
}

// recordLastStart records when a returning zone got its last new work before its return.
func (t *trial) recordLastStart(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.zones {
		if t.zones[i].zone == zone && t.zones[i].lastNewWork.IsZero() {
			t.zones[i].lastNewWork = t.system.LastStart(zone)
		}
	}
}

// awaitIdle waits up to 5 s until the endpoints are idle, so that abandoned work is counted
// too, and records the last new work of the zones that have not returned.
func (t *trial) awaitIdle(ctx context.Context) {
	const limit, step = 5 * time.Second, 50 * time.Millisecond
	for waited := time.Duration(0); waited < limit && t.system.Running() > 0 && ctx.Err() == nil; waited += step {
		time.Sleep(step)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.zones {
		if t.zones[i].lastNewWork.IsZero() {
			t.zones[i].lastNewWork = t.system.LastStart(t.zones[i].zone)
		}
	}
}

// takeUsage returns the engine time by pool since the last call.
func (t *trial) takeUsage() []tally.Pool {
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
