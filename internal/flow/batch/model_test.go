package batch_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/stand/model"
)

// The model follows every interleaving of two owners of one pool, an engine that
// works on one call and lets none wait, and requests that ask one owner after
// the other. An owner may leave as planned, or die, at any moment; the two may
// own at once. A user would notice a fault here as an answer made of another
// request's results, or as a request that waits for its deadline because a piece
// of it was forgotten.

const (
	modelOwners = 2
	modelTries  = 5
)

// ownerModel is one owner: the real queue, and what the host does around it.
type ownerModel struct {
	queue batch.Queue
	// calls is the items that are with the engine.
	calls []batch.Item
	out   bool // left or died
}

// answerModel is one question of a request for its pieces.
type answerModel struct {
	request int
	made    []string
	left    int
	ended   bool
	lost    bool // the owner left or died
}

type ownersModel struct {
	t       *testing.T
	owners  [modelOwners]ownerModel
	working []batch.Item // of the engine
	caller  int          // whose call that is
	answers []*answerModel
	faults  int
	made    int
}

func (b *ownersModel) String() string {
	text := fmt.Sprint(b.faults, len(b.working), b.caller)
	for i := range b.owners {
		o := &b.owners[i]
		text += fmt.Sprint("|", o.out, len(o.calls))
		o.queue.Each(func(g *batch.Group) { text += fmt.Sprint(" ", g.ID, g.Queued(), g.Rank) })
	}
	for _, a := range b.answers {
		text += fmt.Sprint("/", a.request, a.left, a.ended, a.lost, a.made)
	}
	return text
}

// ask enters a question at an owner, as Submit does.
func (b *ownersModel) ask(owner, request, pieces int) *answerModel {
	a := &answerModel{request: request, made: make([]string, pieces), left: pieces}
	b.answers = append(b.answers, a)
	b.owners[owner].queue.Add(&batch.Group{
		ID: uint64(len(b.answers)), Request: fmt.Sprint("r", request), Count: pieces,
		Rank: clock.Millis(request), NeededBy: 5000, Deadline: 10_000, Owner: a,
	})
	return a
}

// dispatch sends a call if the owner has none under way.
func (b *ownersModel) dispatch(owner int) {
	o := &b.owners[owner]
	items := o.queue.NextBatch(batch.Bounds{Pieces: 2}, slot(1), 0)
	if len(b.working) > 0 { // the engine works for the other owner and refuses
		for _, item := range items {
			o.queue.Requeue(item, 0)
		}
		return
	}
	o.calls, b.working, b.caller = items, items, owner
}

// finish ends the engine's call. An owner that died hears nothing.
func (b *ownersModel) finish() {
	o := &b.owners[b.caller]
	for _, item := range o.calls {
		a := item.Group.Owner.(*answerModel)
		b.made++
		reference := fmt.Sprint(item.Group.Request, ".", item.Piece)
		if a.made[item.Piece] != "" {
			b.t.Errorf("piece %s was given twice", reference)
		}
		a.made[item.Piece] = reference
		a.left--
		a.ended = a.left == 0
	}
	o.calls, b.working = nil, nil
}

// leave gives back the questions of which nothing was begun; the rest ends here.
func (b *ownersModel) leave(owner int) {
	o := &b.owners[owner]
	o.out = true
	var waiting []*batch.Group
	o.queue.Each(func(g *batch.Group) {
		if g.Queued() == g.Count {
			waiting = append(waiting, g)
		}
	})
	for _, g := range waiting {
		o.queue.Drop(g)
		g.Owner.(*answerModel).lost = true
	}
}

// die loses everything that the owner knew.
func (b *ownersModel) die(owner int) {
	o := &b.owners[owner]
	o.out = true
	var all []*batch.Group
	o.queue.Each(func(g *batch.Group) { all = append(all, g) })
	for _, item := range o.calls {
		all = append(all, item.Group)
	}
	for _, g := range all {
		o.queue.Drop(g)
		if a := g.Owner.(*answerModel); !a.ended {
			a.lost = true
		}
	}
	o.calls = nil
}

func TestPiecesSurviveEveryChangeOfOwner(t *testing.T) {
	result := model.Explore(t, 40, func(w *model.World) {
		b := &ownersModel{t: t}
		w.State(b.String)
		ended := 0
		for request, pieces := range []int{2, 3} {
			w.Go(fmt.Sprint("request", request), func(a *model.Actor) {
				for range modelTries {
					a.Step("ask")
					owner := a.Choose(modelOwners) // views differ, and may be wrong
					if b.owners[owner].out {
						continue
					}
					answer := b.ask(owner, request, pieces)
					a.Wait("wait", func() bool { return answer.ended || answer.lost })
					if !answer.ended {
						a.Note("lost")
						continue
					}
					for piece, reference := range answer.made {
						if reference != fmt.Sprintf("r%d.%d", request, piece) {
							t.Errorf("request %d was given %s for piece %d", request, reference, piece)
						}
					}
					break
				}
				ended++
			})
		}
		for owner := range modelOwners {
			o := &b.owners[owner]
			w.Event("dispatch", func() bool { return o.queue.Pieces() > 0 && len(o.calls) == 0 && (len(b.working) == 0) }, func() { b.dispatch(owner) })
			w.Event("refused", func() bool { return b.faults < 2 && o.queue.Pieces() > 0 && len(b.working) > 0 && len(o.calls) == 0 }, func() {
				b.faults++
				b.dispatch(owner)
			})
		}
		w.Event("finish", func() bool { return len(b.working) > 0 }, b.finish)
		w.Event("leave", func() bool { return !b.owners[0].out && b.faults < 2 }, func() { b.faults++; b.leave(0) })
		w.Event("die", func() bool { return !b.owners[0].out && b.faults < 2 }, func() { b.faults++; b.die(0) })
		w.Run()
		if !w.Pruned && ended != 2 {
			t.Errorf("%d of 2 requests ended: %s", ended, b)
		}
	})
	t.Logf("%+v", result)
	assert.Assert(t, result.States > 1000)
}
