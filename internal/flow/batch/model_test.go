package batch_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/stand/model"
)

// The model explores every interleaving of two owners of one pool, an engine that
// runs one call at a time and refuses others, and requests that call one owner
// after the other. An owner may stop as planned or crash at any moment, and both
// may own the pool at once. Guards against an answer that contains results of
// another request, and against a request that waits until its deadline because
// one of its pieces was lost.

const (
	modelOwners   = 2
	modelAttempts = 5
)

// ownerModel is one owner: the real queue, and a model of the host around it.
type ownerModel struct {
	queue batch.Queue
	// inCall is the items of the owner's call to the engine.
	inCall []batch.Item
	gone   bool // stopped or crashed
}

// callModel is one call of a request to an owner.
type callModel struct {
	request int
	results []string
	left    int
	done    bool
	failed  bool // the owner stopped or crashed
}

type ownersModel struct {
	t           *testing.T
	owners      [modelOwners]ownerModel
	engineBatch []batch.Item // items that the engine works on
	engineOwner int          // owner that sent them
	calls       []*callModel
	faults      int
	resultCount int
}

func (b *ownersModel) String() string {
	text := fmt.Sprint(b.faults, len(b.engineBatch), b.engineOwner)
	for i := range b.owners {
		o := &b.owners[i]
		text += fmt.Sprint("|", o.gone, len(o.inCall))
		o.queue.Each(func(g *batch.Group) { text += fmt.Sprint(" ", g.ID, g.Queued(), g.Rank) })
	}
	for _, a := range b.calls {
		text += fmt.Sprint("/", a.request, a.left, a.done, a.failed, a.results)
	}
	return text
}

// submit adds a call to an owner's queue, as Host.Submit does.
func (b *ownersModel) submit(owner, request, pieces int) *callModel {
	a := &callModel{request: request, results: make([]string, pieces), left: pieces}
	b.calls = append(b.calls, a)
	b.owners[owner].queue.Add(&batch.Group{
		ID: uint64(len(b.calls)), Request: fmt.Sprint("r", request), Count: pieces,
		Rank: clock.Millis(request), NeededBy: 5000, Deadline: 10_000, Owner: a,
	})
	return a
}

// dispatch sends the owner's next batch to the engine, which refuses it while it
// works on another one.
func (b *ownersModel) dispatch(owner int) {
	o := &b.owners[owner]
	items := o.queue.NextBatch(batch.Bounds{Pieces: 2}, engineSlot(1), 0)
	if len(b.engineBatch) > 0 { // refused
		for _, item := range items {
			o.queue.Requeue(item, 0)
		}
		return
	}
	o.inCall, b.engineBatch, b.engineOwner = items, items, owner
}

// finish ends the engine's call. An owner that crashed does not get the results.
func (b *ownersModel) finish() {
	o := &b.owners[b.engineOwner]
	for _, item := range o.inCall {
		a := item.Group.Owner.(*callModel)
		b.resultCount++
		reference := fmt.Sprint(item.Group.Request, ".", item.Piece)
		if a.results[item.Piece] != "" {
			b.t.Errorf("piece %s has two results", reference)
		}
		a.results[item.Piece] = reference
		a.left--
		a.done = a.left == 0
	}
	o.inCall, b.engineBatch = nil, nil
}

// leave stops an owner as planned. Calls that have not started fail and are sent
// to the other owner; the others end here.
func (b *ownersModel) leave(owner int) {
	o := &b.owners[owner]
	o.gone = true
	var queued []*batch.Group
	o.queue.Each(func(g *batch.Group) {
		if g.Queued() == g.Count {
			queued = append(queued, g)
		}
	})
	for _, g := range queued {
		o.queue.Drop(g)
		g.Owner.(*callModel).failed = true
	}
}

// crash fails all open calls of an owner.
func (b *ownersModel) crash(owner int) {
	o := &b.owners[owner]
	o.gone = true
	var all []*batch.Group
	o.queue.Each(func(g *batch.Group) { all = append(all, g) })
	for _, item := range o.inCall {
		all = append(all, item.Group)
	}
	for _, g := range all {
		o.queue.Drop(g)
		if a := g.Owner.(*callModel); !a.done {
			a.failed = true
		}
	}
	o.inCall = nil
}

func TestEachRequestEndsAfterChangesOfOwner(t *testing.T) {
	result := model.Explore(t, 40, func(w *model.World) {
		b := &ownersModel{t: t}
		w.State(b.String)
		ended := 0
		for request, pieces := range []int{2, 3} {
			w.Go(fmt.Sprint("request", request), func(a *model.Actor) {
				for range modelAttempts {
					a.Step("ask")
					owner := a.Choose(modelOwners) // a process may have a stale view of the owner
					if b.owners[owner].gone {
						continue
					}
					answer := b.submit(owner, request, pieces)
					a.Wait("wait", func() bool { return answer.done || answer.failed })
					if !answer.done {
						a.Note("lost")
						continue
					}
					for piece, reference := range answer.results {
						if reference != fmt.Sprintf("r%d.%d", request, piece) {
							t.Errorf("request %d has result %s for piece %d", request, reference, piece)
						}
					}
					break
				}
				ended++
			})
		}
		for owner := range modelOwners {
			o := &b.owners[owner]
			w.Event("dispatch", func() bool { return o.queue.Pieces() > 0 && len(o.inCall) == 0 && (len(b.engineBatch) == 0) }, func() { b.dispatch(owner) })
			w.Event("refused", func() bool {
				return b.faults < 2 && o.queue.Pieces() > 0 && len(b.engineBatch) > 0 && len(o.inCall) == 0
			}, func() {
				b.faults++
				b.dispatch(owner)
			})
		}
		w.Event("finish", func() bool { return len(b.engineBatch) > 0 }, b.finish)
		w.Event("leave", func() bool { return !b.owners[0].gone && b.faults < 2 }, func() { b.faults++; b.leave(0) })
		w.Event("die", func() bool { return !b.owners[0].gone && b.faults < 2 }, func() { b.faults++; b.crash(0) })
		w.Run()
		if !w.Pruned && ended != 2 {
			t.Errorf("%d of 2 requests ended: %s", ended, b)
		}
	})
	t.Logf("%+v", result)
	assert.Assert(t, result.States > 1000)
}
