package resume

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

const (
	// writeInterval is the interval at which a process writes origins to the store. Streams that
	// began since the last write can't be resumed if all processes are killed.
	writeInterval = 250 * clock.Millis(1)
	// maxWriteBackoff is the longest pause after a write or read that has failed, and
	// storageTimeout bounds each of them.
	maxWriteBackoff = 4 * clock.Second
	storageTimeout  = clock.Second
	// loadTimeout bounds the wait of a caller for origins that are read from the store, and
	// loadPause is the pause between two searches. A process that hasn't read them within
	// maxLoading after its start lets no caller wait any more. One that doesn't keep origins by
	// its own view lets the others wait, too: while a fleet starts, their views differ.
	loadTimeout = clock.Second
	loadPause   = 20 * clock.Millis(1)
	maxLoading  = 3 * clock.Second
	// loadCheckInterval is the interval at which a process that has just started checks whether
	// it keeps origins.
	loadCheckInterval = 20 * clock.Millis(1)
	// cleanDelay is the shortest time after which a process removes expired origins.
	cleanDelay = 20 * clock.Second
	// maxLoaded is the number of origins in the store up to which a process keeps all that it
	// has read. Of more it keeps only those of which it is asked.
	maxLoaded = 8192
)

// Storage connects a Tracker to the platform's store, which outlives all processes. While a pool
// may have streams of several versions, few processes write the origins of streams that callers
// can name there. A process that keeps origins reads them once, after its start.
type Storage struct {
	// VersionsFunc returns the software versions of the endpoints of each pool, sorted.
	VersionsFunc func() map[string][]string
	// ReadyFunc reports whether this process has seen which peers there are.
	ReadyFunc func() bool
	// WriteFunc writes an object with the origins of streams under a number of this process.
	WriteFunc func(ctx context.Context, number int, origins []wire.Origin) error
	// ReadFunc reads the origins that all processes have written. CleanFunc removes what has long
	// expired of that. It is called some time after it, when a fleet that starts serves again.
	ReadFunc  func(ctx context.Context) ([]wire.Origin, error)
	CleanFunc func(ctx context.Context)
}

// WithStorage connects the Tracker to the platform's store. Without it, no stream can be resumed
// once all processes that know its origin have ended.
func WithStorage(s Storage) Option {
	return func(t *Tracker) {
		t.storage = s
		t.loading.Store(true)
	}
}

// isMixed reports whether a stream's origin has to be written to the store. The caller must hold
// t.mu.
func (t *Tracker) isMixed(stream *openStream, now clock.Millis) bool {
	if stream.pool == "" || t.storage.VersionsFunc == nil {
		return false
	}
	mix := t.mixes[stream.pool]
	if mix == nil {
		mix = &origin.Mix{}
		mix.See(t.storage.VersionsFunc()[stream.pool], now)
		t.mixes[stream.pool] = mix
	}
	mix.Begin(stream.Until - now)
	return mix.Mixed(now)
}

// seeVersions queues the origins of open streams whose pools have got another version.
func (t *Tracker) seeVersions() {
	if t.storage.VersionsFunc == nil {
		return
	}
	now, versions := t.clock.Now(), t.storage.VersionsFunc()
	t.mu.Lock()
	defer t.mu.Unlock()
	for pool, mix := range t.mixes {
		mix.See(versions[pool], now)
	}
	for key, stream := range t.open {
		if !stream.lasting && t.isMixed(stream, now) {
			stream.lasting = true
			t.queue(&t.unsent, queued{Origin: message(key, &stream.Origin, now), lasting: true})
		}
	}
}

// addLasting queues an origin to be written to the store.
func (t *Tracker) addLasting(o *wire.Origin, now clock.Millis) {
	key, lasting, ok := parse(o, now)
	if !ok || t.storage.WriteFunc == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.batches.Add(key, &lasting, now) {
		t.meter.dropped.WithLabelValues(droppedFull).Inc()
	}
}

// RunStorage reads the origins that stand in the platform's store, and writes others there until the
// context ends.
func (t *Tracker) RunStorage(ctx context.Context) {
	if t.storage.WriteFunc == nil {
		return
	}
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		t.load(ctx)
	}()
	for pause := writeInterval; t.clock.Sleep(ctx, pause) == nil; {
		if t.writeBatches(ctx) != nil {
			pause = min(2*pause, maxWriteBackoff)
			continue
		}
		pause = writeInterval
	}
	<-loaded
}

// load reads the store once this process keeps origins, until that has succeeded.
func (t *Tracker) load(ctx context.Context) {
	began, pause := t.clock.Now(), loadCheckInterval
	for t.clock.Sleep(ctx, pause) == nil {
		if t.clock.Since(began) >= maxLoading {
			t.loading.Store(false)
		}
		if !t.storage.ReadyFunc() {
			continue
		}
		if !t.keeps() {
			pause = checkInterval
			continue
		}
		err := t.loadOnce(ctx)
		if err == nil {
			t.loading.Store(false)
			t.clean(ctx)
			return
		}
		t.log.Info("stream origins not read yet", logs.KeyError, err)
		pause = min(2*pause, maxWriteBackoff)
	}
}

// clean removes expired origins, each process at a time of its own.
func (t *Tracker) clean(ctx context.Context) {
	delay := cleanDelay + rand.N(cleanDelay)
	if t.storage.CleanFunc != nil && t.clock.Sleep(ctx, delay) == nil {
		t.storage.CleanFunc(ctx)
	}
}

// keeps reports whether this process keeps origins, by its own view.
func (t *Tracker) keeps() bool { return slices.Contains(t.peers.KeepersFunc(), t.peers.Self) }

func (t *Tracker) loadOnce(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, storageTimeout.Duration())
	defer cancel()
	origins, err := t.storage.ReadFunc(call)
	if err != nil {
		return err
	}
	now, keepers, kept := t.clock.Now(), t.peers.KeepersFunc(), 0
	for i := range origins {
		key, known, ok := parse(&origins[i], now)
		if ok && known.Until > now && (len(origins) <= maxLoaded || slices.Contains(origin.Asked(key, keepers), t.peers.Self)) {
			t.keep(key, &known, now)
			kept++
		}
	}
	t.log.Info("stream origins read", "origins", len(origins), "kept", kept)
	return nil
}

// writeBatches writes the objects that have changed.
func (t *Tracker) writeBatches(ctx context.Context) error {
	for ctx.Err() == nil {
		now := t.clock.Now()
		t.mu.Lock()
		batch, changed := t.batches.Unwritten(now)
		t.mu.Unlock()
		if !changed {
			return nil
		}
		origins := make([]wire.Origin, 0, len(batch.Origins))
		for i := range batch.Origins {
			origins = append(origins, message(batch.Origins[i].Key, &batch.Origins[i].Origin, now))
		}
		call, cancel := context.WithTimeout(ctx, storageTimeout.Duration())
		err := t.storage.WriteFunc(call, batch.Number, origins)
		cancel()
		if err != nil {
			t.log.Info("stream origins not written", "batch", batch.Number, "origins", len(origins), logs.KeyError, err)
			return err
		}
		t.mu.Lock()
		t.batches.MarkWritten(&batch)
		t.mu.Unlock()
		t.meter.written.Add(float64(len(origins)))
		t.log.Debug("stream origins written", "batch", batch.Number, "origins", len(origins))
	}
	return ctx.Err()
}
