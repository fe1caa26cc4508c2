package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	// longEvents is the number of events of a stream in a run with versions side by side.
	longEvents = 40
	// guidesPerSecond is the number of long streams per second whose callers resume them. A
	// caller closes cutShare of its connections itself, after maxCutAfter at most.
	guidesPerSecond = 12
	cutShare        = 0.5
	maxCutAfter     = 700 * time.Millisecond
	// maxResumes is the number of times that a caller resumes a stream.
	maxResumes = 4
	// replaceSpan is the mean time between two replacements of engines.
	replaceSpan = 900 * time.Millisecond
	// maxEntryDelay is the longest time for which the entry of an ended engine stays.
	maxEntryDelay = 1500 * time.Millisecond
	// minResumedShare is the share of the streams that must go on in the calm, of the share of
	// new streams that begin.
	minResumedShare = 0.9
	// minCalmTries is the number of tries from which the shares in the calm are compared.
	minCalmTries = 12
)

// sideVersions are the software versions that serve side by side.
var sideVersions = []string{"v1", "v1.1", "v1.2"}

// resumeCounts counts the tries of callers to begin and to resume streams, those in the calm
// apart, and how many of them brought an event.
type resumeCounts struct {
	tries, went         atomic.Int64
	calmBegun, calmNew  atomic.Int64
	calmWent, calmTries atomic.Int64
}

// addVersions adds two model engines to each zone, so that two engines of each version serve.
func (r *run) addVersions() error {
	for i, zone := range zones {
		for range 2 {
			e := engines(zone)[1]
			e.Version = sideVersions[i]
			if _, err := r.addEngine(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// replaceEngines replaces model engines, one after the other, by engines of any version.
func (r *run) replaceEngines(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 37))
	for {
		pause(ctx, time.Duration(random.Int64N(int64(2*replaceSpan))))
		if time.Since(r.started) > r.Length-recoverySpan || ctx.Err() != nil {
			return
		}
		models := r.enginesOf("models")
		r.replace(ctx, models[random.IntN(len(models))], sideVersions[random.IntN(len(sideVersions))], random)
	}
}

// replace ends an engine and starts another one. A third of the engines drain first. The others
// crash, and are followed by an engine at the same address while their entry still stands.
func (r *run) replace(ctx context.Context, old *engine, version string, random *rand.Rand) {
	next := engines(old.Zone)[1]
	next.Version = version
	defer r.faults.beginEngineEnd()()
	if random.IntN(3) == 0 {
		r.deployment.Register(old.Engine, false, 0)
		if _, err := r.addEngine(next); err != nil {
			r.addViolation("engine of %s: %v", version, err)
		}
		pause(ctx, time.Duration(random.Int64N(int64(maxEntryDelay))))
		old.end()
		r.deployment.Remove(old.Engine)
		return
	}
	old.ended.Store(true)
	old.Stop()
	old.proxy.Reset()
	next.Address, next.AdvertisedAddress = old.Address, old.AdvertisedAddress
	if _, err := r.addEngineBehind(next, old.proxy); err != nil {
		// The engine has started again by itself at its address, after it exceeded its memory.
		next.Address, next.AdvertisedAddress = "", ""
		if _, err := r.addEngine(next); err != nil {
			r.addViolation("engine of %s: %v", version, err)
		}
	}
	pause(ctx, time.Duration(random.Int64N(int64(maxEntryDelay))))
	r.deployment.Remove(old.Engine)
}

// startGuides starts callers that read long streams and resume them at other processes.
func (r *run) startGuides(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 41))
	ticker := time.NewTicker(time.Second / guidesPerSecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		reader := rand.New(rand.NewPCG(r.Seed, random.Uint64()))
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			r.readGuide(reader)
		}()
	}
}

// readGuide reads one stream. It resumes it at another process each time that it breaks off.
func (r *run) readGuide(random *rand.Rand) {
	id := stand.NewID()
	s := &stand.Request{
		ID: id, Method: http.MethodPost, Host: "models.example", Path: "/draft/guide", Service: "models", Key: key, Tenant: organisation,
		Body: "guide " + id, DeadlineMs: 6000, Events: longEvents,
		Pieces: []int{0, 0, 0}, After: [][]int{nil, nil, {1}}, PromptTokens: 200, PromptPrefix: "aa:100," + id + ":100",
	}
	number := random.IntN(len(r.callers))
	began, deadline := time.Now(), s.DeadlineMs
	for range 1 + maxResumes {
		if s.DeadlineMs = deadline - int(time.Since(began).Milliseconds()); s.DeadlineMs <= 0 {
			return
		}
		got := r.readPart(s, number, random)
		if got.Complete {
			return
		}
		if got.LastEvent > 0 || s.Resumes != "" {
			s = s.Resume(max(got.LastEvent, s.LastEvent))
		} else {
			again := *s
			again.ID = stand.NewID()
			s = &again
		}
		time.Sleep(got.RetryAfter)
		number += 1 + random.IntN(len(r.callers))
	}
}

// readPart sends a request to a process and reads its answer. The caller closes some of its
// connections in the middle.
func (r *run) readPart(s *stand.Request, number int, random *rand.Rand) stand.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.DeadlineMs)*time.Millisecond+deadlineTolerance)
	defer cancel()
	if random.Float64() < cutShare {
		timer := time.AfterFunc(time.Duration(random.Int64N(int64(maxCutAfter))), cancel)
		defer timer.Stop()
	}
	calm := time.Since(r.started) > r.Length-recoverySpan+settlingTime
	got := r.client.Do(ctx, r.callers[number%len(r.callers)].Address(), s)
	if got.LastEvent <= s.LastEvent && ctx.Err() != nil {
		return got // the caller has left before an event could come
	}
	went := got.LastEvent > s.LastEvent || got.Complete
	r.resumes.count(s.Resumes != "", calm, went)
	return got
}

func (c *resumeCounts) count(resumed, calm, went bool) {
	add := func(counter *atomic.Int64, counts bool) {
		if counts {
			counter.Add(1)
		}
	}
	add(&c.tries, resumed)
	add(&c.went, resumed && went)
	add(&c.calmTries, resumed && calm)
	add(&c.calmWent, resumed && calm && went)
	add(&c.calmNew, !resumed && calm)
	add(&c.calmBegun, !resumed && calm && went)
}

// checkResumes checks that streams go on in the calm as new ones begin.
func (r *run) checkResumes() {
	c := &r.resumes
	tries, began := c.calmTries.Load(), c.calmNew.Load()
	if tries < minCalmTries || began < minCalmTries {
		return
	}
	resumed, begun := float64(c.calmWent.Load())/float64(tries), float64(c.calmBegun.Load())/float64(began)
	if resumed < minResumedShare*begun {
		r.addViolation("in the calm %d of %d streams went on, %d of %d began", c.calmWent.Load(), tries, c.calmBegun.Load(), began)
	}
}

// String describes the counts in one line.
func (c *resumeCounts) String() string {
	return fmt.Sprintf("resumed %d of %d, in the calm %d of %d and begun %d of %d",
		c.went.Load(), c.tries.Load(), c.calmWent.Load(), c.calmTries.Load(), c.calmBegun.Load(), c.calmNew.Load())
}
