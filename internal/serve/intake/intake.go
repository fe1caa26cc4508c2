// Package intake puts the newest configuration in force. The feed hands over what it reads and goes on, so that the
// decoding of a large configuration on a slow host delays neither the feed nor the peers that follow the store through
// it. Of several configurations that wait only the newest one is decoded.
package intake

import (
	"context"
	"io"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
	"github.com/jujubescale/jujubescale/internal/serve/proof"
)

// configuration is an object that holds a configuration, or the error of reading it, and the last proof of the feed
// for which it was the newest one.
type configuration struct {
	object store.Object
	err    error
	proof  feed.Proof
	proved bool
}

// Intake takes what the feed of the configuration reads.
type Intake struct {
	clock *clock.Clock
	log   *log.Logger
	name  string
	book  *proof.Book
	// decodeFunc decodes a configuration, inForceFunc is called after a new one is in force.
	decodeFunc  func(raw []byte) (*table.Table, error)
	inForceFunc func()

	mu sync.Mutex
	// waiting is the newest configuration, nil if none waits. decoding is the one that Run decodes.
	waiting, decoding *configuration
	arrived           chan struct{}
}

// Option configures an Intake.
type Option func(*Intake)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(i *Intake) { i.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(i *Intake) { i.log = l } }

// WithInForce sets the function that is called after a new configuration is in force.
func WithInForce(inForce func()) Option { return func(i *Intake) { i.inForceFunc = inForce } }

// New returns an intake for the object with a name, whose value decode reads. Run puts configurations in force in the
// book.
func New(name string, book *proof.Book, decode func(raw []byte) (*table.Table, error), opts ...Option) *Intake {
	i := &Intake{
		name: name, book: book, decodeFunc: decode, inForceFunc: func() {}, clock: clock.New(), log: log.New(io.Discard),
		arrived: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(i)
	}
	return i
}

// TakeList takes the configuration from a list of the store.
func (i *Intake) TakeList(objects []store.Object, _ clock.Millis) {
	for _, object := range objects {
		i.take(object, nil)
	}
}

// TakeChanges takes the configuration from changes in the store. A deleted one stays in force.
func (i *Intake) TakeChanges(changes []store.Change) {
	for _, change := range changes {
		if !change.Deleted {
			i.take(change.Object, nil)
		}
	}
}

// TakeUnreadable takes the error of an object that may hold the newest configuration and can't be read.
func (i *Intake) TakeUnreadable(err error) { i.take(store.Object{Name: i.name}, err) }

func (i *Intake) take(object store.Object, err error) {
	if object.Name != i.name {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.waiting != nil {
		i.log.Info("configuration replaced before it was decoded", "revision", i.waiting.object.Version, "by", object.Version)
	}
	i.waiting = &configuration{object: object, err: err}
	i.book.RecordNewer()
	select {
	case i.arrived <- struct{}{}:
	default:
	}
}

// Confirm takes a proof of the feed. It holds for the newest configuration that was taken, and is passed on once that
// is in force.
func (i *Intake) Confirm(p feed.Proof) {
	i.mu.Lock()
	defer i.mu.Unlock()
	newest := i.waiting
	if newest == nil {
		newest = i.decoding
	}
	if newest == nil {
		i.book.Confirm(p)
		return
	}
	newest.proof, newest.proved = p, true
}

// Run puts configurations in force until the context ends.
func (i *Intake) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.arrived:
		}
		for i.next() {
		}
	}
}

// next puts the configuration that waits in force, and reports whether there was one.
func (i *Intake) next() bool {
	i.mu.Lock()
	current := i.waiting
	i.waiting, i.decoding = nil, current
	i.mu.Unlock()
	if current == nil {
		return false
	}
	inForce := i.put(current)
	i.mu.Lock()
	i.decoding = nil
	if current.proved {
		i.book.Confirm(current.proof)
	}
	if i.waiting != nil {
		i.book.RecordNewer()
	}
	i.mu.Unlock()
	if inForce {
		i.inForceFunc()
	}
	return true
}

// put decodes a configuration and passes it to the book.
func (i *Intake) put(c *configuration) (inForce bool) {
	if c.err != nil {
		return i.book.Put(&c.object, nil, c.err)
	}
	began := i.clock.Now()
	routes, err := i.decodeFunc(c.object.Value)
	i.log.Info("configuration decoded", "revision", c.object.Version, "bytes", len(c.object.Value), "tookMs", int64(i.clock.Since(began)))
	return i.book.Put(&c.object, routes, err)
}

// Restore keeps the configuration with the highest version of its own when the store comes back from a copy.
func (i *Intake) Restore() feed.Restore {
	return feed.Restore{NewerFunc: i.isNewer, AlwaysNewer: true, KeepMissing: feed.KeepUntilWritten}
}

func (i *Intake) isNewer(known, listed store.Object) bool {
	knownTable, err := i.decodeFunc(known.Value)
	if err != nil {
		return false
	}
	listedTable, err := i.decodeFunc(listed.Value)
	return err != nil || knownTable.Version > listedTable.Version
}
