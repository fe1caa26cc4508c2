package feed_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

// Guards against a process that takes a peer for silent while an answer of the store fills its
// link, and against one that seems to receive while it only waits for changes.
func TestAnswerThatArrivesIsReceived(t *testing.T) {
	waiting, begin, begun, finish := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	s := &script{
		scans: []func() (store.Listing, error){listed(1, "k/a")},
		follows: []func(context.Context) (store.Changes, error){
			func(ctx context.Context) (store.Changes, error) {
				close(waiting)
				<-begin
				store.ReportProgress(ctx, store.Progress{Received: 1, Total: 100})
				close(begun)
				<-finish
				return store.Changes{Revision: store.At(2), Changes: []store.Change{{Object: store.Object{Name: "k/b", Version: store.At(2)}}}}, nil
			},
			blockUntilDone,
		},
	}
	f, h := run(t, s)
	<-waiting
	assert.Assert(t, !feed.Set{f}.Receiving())
	close(begin)
	<-begun
	assert.Assert(t, feed.Set{f}.Receiving())
	close(finish)
	h.waitFor(t, func(h *received) bool { return h.changes == 1 })
	h.waitFor(t, func(*received) bool { return !feed.Set{f}.Receiving() })
}
