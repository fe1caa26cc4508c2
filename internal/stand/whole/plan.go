package whole

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/internal/share/apply"
)

// restartAgent stops an agent gracefully and starts it again at the same
// address.
func (w *Whole) restartAgent(place *Place) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	stopped := place.Agent.Shutdown(ctx)
	place.process.Close()
	if len(stopped.Cut) > 0 || stopped.Unacknowledged > 0 {
		w.options.log.Warn("planned stop of an agent", "endpoint", place.Endpoint,
			"cut", len(stopped.Cut), "unacknowledged", stopped.Unacknowledged)
	}
	return w.startAgent(place, place.Address)
}

// Durations of a planned stop.
const (
	// balancerLag is the time for which the load balancer still sends requests
	// to an entry that has announced its stop.
	balancerLag = 300 * time.Millisecond
	stopTimeout = 10 * time.Second
)

// restartEntry stops an entry gracefully and starts it again at the same
// address. The load balancer takes it out of rotation after balancerLag, and
// back in once it is ready.
func (w *Whole) restartEntry(front *Front) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	timer := time.AfterFunc(balancerLag, func() { front.outOfRotation.Store(true) })
	defer timer.Stop()
	cut := front.Entry.Stop(ctx, front.process.Shutdown)
	w.stopEntry(front)
	if len(cut) > 0 {
		w.options.log.Warn("planned stop cut requests", "entry", front.Name, "count", len(cut))
	}
	if err := w.startEntry(front, front.Address); err != nil {
		return err
	}
	return w.awaitSessions(ctx, front)
}

// awaitSessions waits until an entry has a session to each agent, and puts it back
// into rotation.
func (w *Whole) awaitSessions(ctx context.Context, front *Front) error {
	const step = 10 * time.Millisecond
	for len(front.Entry.Sessions()) < len(w.Places) {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(step)
	}
	front.outOfRotation.Store(false)
	return nil
}

// rollingRestart restarts every process gracefully: the agents in batches of one
// endpoint of each pool, then the entries one after another.
func (w *Whole) rollingRestart() error {
	for number := 0; ; number++ {
		batch := w.batch(number)
		if len(batch) == 0 {
			break
		}
		errs := make([]error, len(batch))
		var group sync.WaitGroup
		for i, place := range batch {
			group.Go(func() { errs[i] = w.restartAgent(place) })
		}
		group.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	for _, front := range w.Fronts {
		if err := w.restartEntry(front); err != nil {
			return err
		}
	}
	return nil
}

// batch returns the n-th endpoint, counted from 0, of each pool with more than
// n endpoints.
func (w *Whole) batch(n int) []*Place {
	var batch []*Place
	for _, place := range w.Places {
		if place.Endpoint == EndpointName(place.Pool, n) {
			batch = append(batch, place)
		}
	}
	return batch
}

// evacuateOrReturnZone evacuates an availability zone or returns it to service,
// as operators do.
func (w *Whole) evacuateOrReturnZone(fault Fault) error {
	change := apply.Change{Who: "fault plan"}
	var err error
	if fault.Name == ZoneLeave {
		_, err = w.Operator().EvacuateZone(context.Background(), fault.Target, change)
	} else {
		_, err = w.Operator().ReturnZone(context.Background(), fault.Target, change)
	}
	return err
}
