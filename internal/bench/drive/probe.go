package drive

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/internal/bench/plan"
)

// NotReadyError is returned if an entry does not answer a kind of request in time.
type NotReadyError struct {
	Target  string
	Service string
	Last    Record
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%s does not answer %s: %s %s %s", e.Target, e.Service, e.Last.Outcome, e.Last.Reason, e.Last.Detail)
}

// AwaitReady waits until every entry answers every kind of request that may be repeated.
// It returns a NotReadyError for each pair that fails all attempts.
func (d *Driver) AwaitReady(ctx context.Context, e *plan.Experiment) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, target := range d.targets() {
		for i := range e.Mix {
			if e.AtMostOnce(&e.Mix[i]) {
				continue
			}
			group.Go(func() {
				err := d.awaitAnswer(ctx, e, &e.Mix[i], target)
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			})
		}
	}
	group.Wait()
	return errors.Join(errs...)
}

func (d *Driver) awaitAnswer(ctx context.Context, e *plan.Experiment, kind *plan.Request, target string) error {
	const attempts, pause = 100, 100 * time.Millisecond
	single := &Driver{targets: func() []string { return []string{target} }, client: d.client}
	probe := arrival{kind: kind, from: firstCaller(e, kind), mark: "probe", size: minSize}
	probe.path = kind.Path
	if len(probe.path) > 0 && probe.path[len(probe.path)-1] == '*' {
		probe.path = probe.path[:len(probe.path)-1] + probe.mark
	}
	var last Record
	for range attempts {
		if last = single.send(ctx, e, &probe, time.Now(), 0); last.Outcome == InTime {
			return nil
		}
		if err := wait(ctx, pause); err != nil {
			return err
		}
	}
	return &NotReadyError{Target: target, Service: kind.Service, Last: last}
}
