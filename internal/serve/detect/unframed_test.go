package detect_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/fleet"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// streamText returns the events of a stream of an engine.
func streamText(id string, events int) string {
	var text strings.Builder
	for number := range events {
		text.WriteString(stand.EventText(id, number+1, "v1"))
	}
	return text.String()
}

// Guards against a stream without length or chunks that breaks off and is taken for a whole one.
func TestStreamWithoutLengthIsBrokenAtEachByte(t *testing.T) {
	const events = 3
	whole := streamText(stand.NewID(), events)
	event := len(whole) / events
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %t", reset), func(t *testing.T) {
			f := fleet.New(t, 1, 2)
			engines := f.Engines(fleet.Models)
			for _, e := range engines {
				e.Events, e.EventInterval, e.WorkTime = events, 0, 0
				e.SetUnframed(true)
			}
			for bytes := range len(whole) {
				if !reset && bytes > 0 && bytes%event == 0 {
					continue // ends between two events, as a whole stream does
				}
				for _, e := range engines {
					e.CutUnframed(&stand.Cut{Bytes: bytes, Reset: reset})
				}
				var got stand.Outcome
				for got.Status == 0 || got.Status == http.StatusServiceUnavailable { // engines that failed are blocked for a while
					request := fleet.Draft("aa:100,f0:10")
					request.Path, request.Events = "/sum/log", events // goes on at no other engine
					got = f.Client.Do(t.Context(), f.Gateways[0].Address, request)
				}
				assert.Check(t, !got.Complete, "after %d of %d bytes: %+v", bytes, len(whole), got)
			}
			for _, e := range engines {
				e.CutUnframed(nil)
			}
			f.AwaitServed(t, func() *stand.Request {
				request := fleet.Draft("aa:100,f0:10")
				request.Events = events
				return request
			})
		})
	}
}

// Guards against a stream that is cut by a crash between two events and taken for a whole one.
func TestCrashBetweenEventsIsNotTheEndOfAStream(t *testing.T) {
	f := fleet.New(t, 1, 1)
	e := f.Engines(fleet.Models)[0]
	e.EventInterval = 40 * time.Millisecond
	e.SetUnframed(true)
	request := fleet.Draft("aa:100,f0:10")
	request.Path, request.AtMostOnce = "/sum/log", true
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(150 * time.Millisecond)
		e.Stop()
	})
	got := f.Client.Do(t.Context(), f.Gateways[0].Address, request)
	group.Wait()
	assert.Check(t, got.Status == http.StatusOK && got.LastEvent > 0 && got.Truncated && !got.Complete, "%+v", got)
}

// Guards against whole answers without length or chunks that are refused, also for the caller who
// resumes a stream after its last event.
func TestWholeAnswersWithoutLengthAreServed(t *testing.T) {
	f := fleet.New(t, 1, 2)
	for _, e := range f.Engines(fleet.Models) {
		e.SetUnframed(true)
	}
	for range 20 {
		got := f.Client.Do(t.Context(), f.Gateways[0].Address, fleet.Draft("aa:100,f0:10"))
		assert.Check(t, got.Complete, "%+v", got)
	}
	request := fleet.Draft("aa:100,f0:10")
	got := f.Client.Do(t.Context(), f.Gateways[0].Address, request)
	assert.Check(t, got.Complete, "%+v", got)
	got = f.Client.Do(t.Context(), f.Gateways[0].Address, request.Resume(request.Events))
	assert.Check(t, got.Complete, "resumed after the last event: %+v", got)
}
