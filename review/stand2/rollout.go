package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	models = "models"
	// A stream has the events of the longest kind of the sheet and takes 4.2 s.
	streamEvents   = 56
	eventInterval  = 75 * time.Millisecond
	streamDeadline = 20 * time.Second

	orderDuration = 30 * time.Second
	streamClients = 60
	// beforeOrder is how long streams run before the order, afterDecision how long new ones
	// begin after it.
	beforeOrder   = 3 * time.Second
	afterDecision = 2 * time.Second
	// allowedLost is the number of connections that the rule LOST allows to end unanswered.
	allowedLost = 3
)

// playRollout moves a service to a sound version while streams run, and counts the streams that
// break off. With trouble, the platform stops the engines of the old version at once when the
// system has recorded the rollout as completed.
func playRollout(record string, trouble bool) (broken bool, err error) {
	w, err := newWorld(stand.Config{
		Services: []stand.Service{{Name: models, Kind: stand.Model, MaxConns: 440}},
		Routes: []stand.Route{{
			Name: "guide", Host: "shop.example", Prefix: "/guide/", Kind: "stream", Service: models, TimeoutMs: int(streamDeadline.Milliseconds()),
			SloMs: 2700, Priority: 2, Attempts: 2, Resumable: true, Public: true,
		}},
	}, record)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.rollouts = true
	if err := w.addModels("v1"); err != nil {
		return false, err
	}
	for _, zone := range zones {
		if _, err := w.addGateway("front-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	s := &streams{world: w, client: stand.NewClient(w.Ledger)}
	defer s.client.Close()
	s.start()
	time.Sleep(beforeOrder)
	if err := w.addModels("v2"); err != nil {
		return false, err
	}
	order := &stand.Rollout{Service: models, Version: "v2", Duration: orderDuration}
	w.logf("order: %s to v2 within %v", models, orderDuration)
	w.Order(order)
	state := w.awaitDecision(order, trouble)
	w.logf("the order is %q", state)
	if state != "completed" {
		return false, fmt.Errorf("the order is %q", state)
	}
	time.Sleep(afterDecision)
	s.stop()
	w.logf("%d streams whole, %d broken off, %d of these resumed, %d refused", s.whole, s.brokenOff, s.resumed, s.refused)
	if s.brokenOff > allowedLost {
		w.logf("BROKEN: %d connections ended without the whole answer of a sound engine, %d are allowed", s.brokenOff, allowedLost)
	}
	return s.brokenOff > allowedLost, nil
}

// addModels starts three engines of a version.
func (w *world) addModels(version string) error {
	for i := range 3 {
		engine := &stand.Engine{
			Kind: stand.Model, Service: models, Zone: zones[i%len(zones)], Version: version, Events: streamEvents,
			EventInterval: eventInterval, WorkTime: 50 * time.Millisecond,
		}
		added, err := w.Add(engine)
		if err != nil {
			return err
		}
		w.logf("%s starts, version %s, at %s", added.ID, version, added.Address)
	}
	return nil
}

// awaitDecision waits until the order is decided. With trouble, the platform then stops the
// old engines.
func (w *world) awaitDecision(order *stand.Rollout, trouble bool) string {
	if trouble {
		state := w.AwaitDecision(order, time.Second)
		w.logf("the platform has stopped the engines of other versions")
		return state
	}
	for until := time.Now().Add(order.Duration + time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if state, version := w.RolloutState(order.Service); version == order.Version && (state == "completed" || state == "rolled_back") {
			return state
		}
	}
	return ""
}

// streams are the clients of a route of streams.
type streams struct {
	world  *world
	client *stand.Client
	group  sync.WaitGroup
	ended  chan struct{}

	mu                                 sync.Mutex
	whole, brokenOff, resumed, refused int
}

// start starts the clients. Each begins a stream after the other on kept connections.
func (s *streams) start() {
	s.ended = make(chan struct{})
	for number := range streamClients {
		s.group.Go(func() {
			time.Sleep(time.Duration(number) * streamEvents * eventInterval / streamClients)
			for {
				select {
				case <-s.ended:
					return
				default:
				}
				s.play(s.world.gateways[number%len(s.world.gateways)], s.world.gateways[(number+1)%len(s.world.gateways)])
			}
		})
	}
}

// stop ends the clients once their streams have ended.
func (s *streams) stop() {
	close(s.ended)
	s.group.Wait()
}

// play plays one stream at a gateway. The client of a broken stream asks another gateway once for
// the rest.
func (s *streams) play(at, other *gateway) {
	r := &stand.Request{
		ID: stand.NewID(), Method: http.MethodPost, Host: "shop.example", Path: "/guide/jam", Service: models, Body: "jam",
		DeadlineMs: int(streamDeadline.Milliseconds()), Events: streamEvents, PromptTokens: 700, PromptPrefix: "a1:170,b2:530", AnyService: true,
	}
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	got := s.client.Do(ctx, at.callers, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case got.Complete:
		s.whole++
	case got.Status == http.StatusOK:
		s.brokenOff++
		s.resume(ctx, other, r, got.LastEvent)
	default:
		s.refused++
		s.world.logf("stream %s at %s: status %d, error %v", r.ID, at.name, got.Status, got.Err)
	}
}

// resume asks for the rest of a stream. The caller holds the lock, which the call gives up.
func (s *streams) resume(ctx context.Context, at *gateway, r *stand.Request, lastEvent int) {
	s.world.logf("stream %s breaks off after event %d of %d", r.ID, lastEvent, r.Events)
	rest := *r
	rest.ID, rest.LastEvent = stand.NewID(), lastEvent
	s.mu.Unlock()
	got := s.client.Do(ctx, at.callers, &rest)
	s.mu.Lock()
	if got.Complete {
		s.resumed++
	}
	s.world.logf("the rest of %s, asked for as %s at %s: status %d, whole %t", r.ID, rest.ID, at.name, got.Status, got.Complete)
}
