package main

import (
	"fmt"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	// streams is the number of concurrent streams, and streamEvents their length: with
	// eventInterval they last 4.2 s, as those of a long answer.
	streams      = 6
	streamEvents = 70
	// beforeNotice is the time from the start of the streams to the notice that the engine
	// leaves, and exitMargin the time after drainTime for which the engine still serves.
	beforeNotice = 500 * time.Millisecond
	exitMargin   = 500 * time.Millisecond
)

// streamConfig has one route of streams that may not be resumed.
func streamConfig() *stand.Config {
	return &stand.Config{
		Version:  7,
		Services: []stand.Service{{Name: service, Kind: stand.Model, MaxConns: 360}},
		Routes: []stand.Route{{
			Name: "notes", Host: host, Prefix: path, Kind: "stream", Service: service, TimeoutMs: 20000, SloMs: 2700, Attempts: 1,
		}},
		Tenants: []stand.Tenant{{Name: "tenant-a", Keys: []string{apiKey}}},
	}
}

// runLeaving lets an engine leave while it sends streams: it exits exitMargin after the end of
// drainTime, which begins when the store has accepted its notice. Without the disruption the
// engine ends after the streams.
//
// With crash the engine sends no notice, which shows what the notice changes.
func runLeaving(w *world, crash bool) int {
	addresses, err := freePorts(engineHost, 1)
	if err != nil {
		return w.notRun(err)
	}
	e, err := w.startEngine("i-7f3a91c2", addresses[0])
	if err != nil {
		return w.notRun(err)
	}
	if err := w.awaitReady(); err != nil {
		return w.notRun(err)
	}
	answers := make(chan *outcome, streams)
	for number := range streams {
		id := fmt.Sprintf("%08x%08x", 0x9c41d070+number, number+1)
		w.record.printf("request %s is sent, for %d events", id, streamEvents)
		go func() { answers <- w.ask(id, streamEvents) }()
	}
	if w.trouble {
		time.Sleep(beforeNotice)
		if !crash {
			w.drain(e)
		}
		time.Sleep(drainTime + exitMargin)
		e.kill()
		w.remove(e)
		w.record.printf("engine %s is gone", e.id)
	}
	return w.judge(answers)
}

// judge returns the exit code by what the clients have seen.
func (w *world) judge(answers <-chan *outcome) int {
	served, early := 0, 0
	for range cap(answers) {
		o := <-answers
		o.log(w.record)
		switch {
		case o.endsEarly():
			early++
		case o.whole && o.events == o.asked:
			served++
		}
	}
	for _, line := range w.gatewayLines("request ended") {
		w.record.printf("gateway: %s", line)
	}
	w.record.printf("%d streams ended as complete before their last event, %d were whole", early, served)
	switch {
	case early > 0:
		return exitBroken
	case !w.trouble && served < cap(answers):
		w.record.printf("not run: without the disruption not all streams were served")
		return exitNotRun
	}
	return exitHeld
}

func (w *world) notRun(err error) int {
	w.record.printf("not run: %v", err)
	return exitNotRun
}
