package whole

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/internal/share/apply"
)

// restartAgent stops an agent as planned and starts it again at its address.
func (w *Whole) restartAgent(place *Place) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	stopped := place.Agent.Shutdown(ctx)
	place.process.Close()
	if len(stopped.Cut) > 0 || stopped.Unacknowledged > 0 {
		w.options.log.Warn("planned stop of an agent", "endpoint", place.Endpoint,
			"cut", len(stopped.Cut), "unacknowledged", stopped.Unacknowledged)
	}
	return w.startAgent(place, place.Address)
}

// Times of a planned stop.
const (
	// balancerLag is how long the balancer goes on sending to an entry that
	// has said it leaves.
	balancerLag = 300 * time.Millisecond
	stopLimit   = 10 * time.Second
)

// restartEntry stops an entry as planned and starts it again at its address.
// The balancer takes it out of rotation late, and back in once it is ready.
func (w *Whole) restartEntry(front *Front) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	timer := time.AfterFunc(balancerLag, func() { front.out.Store(true) })
	defer timer.Stop()
	cut := front.Entry.Stop(ctx, front.process.Shutdown)
	w.stopEntry(front)
	if len(cut) > 0 {
		w.options.log.Warn("planned stop cut requests", "entry", front.Name, "count", len(cut))
	}
	if err := w.startEntry(front, front.Address); err != nil {
		return err
	}
	return w.awaitEntry(ctx, front)
}

// awaitEntry puts an entry back into rotation once it can reach the endpoints.
func (w *Whole) awaitEntry(ctx context.Context, front *Front) error {
	const step = 10 * time.Millisecond
	for len(front.Entry.Sessions()) < len(w.Places) {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(step)
	}
	front.out.Store(false)
	return nil
}

// rollingRestart restarts every process as planned: the agents in batches of
// one endpoint of each pool, then the entries one after another.
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

// batch returns the n-th endpoint of each pool that has so many.
func (w *Whole) batch(n int) []*Place {
	var batch []*Place
	for _, place := range w.Places {
		if place.Endpoint == EndpointName(place.Pool, n) {
			batch = append(batch, place)
		}
	}
	return batch
}

// setZone is what operators do when a zone leaves or returns.
func (w *Whole) setZone(fault Fault) error {
	change := apply.Change{Who: "fault plan"}
	var err error
	if fault.Name == ZoneLeave {
		_, err = w.Operator().EvacuateZone(context.Background(), fault.Target, change)
	} else {
		_, err = w.Operator().ReturnZone(context.Background(), fault.Target, change)
	}
	return err
}
