package deploy_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/canary"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
)

const name = "rollouts/encode"

// process is a controller with the versions that it has set, and the statuses that it recorded.
type process struct {
	*deploy.Controller
	inForce  chan view.Rollout
	recorded chan canary.Status
}

func newProcess(t *testing.T, opts ...deploy.Option) *process {
	t.Helper()
	p := &process{inForce: make(chan view.Rollout, 100), recorded: make(chan canary.Status, 100)}
	codec := deploy.Codec{
		DecodeFunc: func(_ string, order, status []byte) (canary.Order, canary.Status, error) {
			var o canary.Order
			var s canary.Status
			err := json.Unmarshal(order, &o)
			if err == nil && status != nil {
				err = json.Unmarshal(status, &s)
			}
			return o, s, err
		},
		EncodeFunc: func(s canary.Status) ([]byte, error) { return json.Marshal(s) },
	}
	s := &store.Store{StatusFunc: func(_ context.Context, name string, want store.Revision, status []byte) (store.Object, error) {
		var recorded canary.Status
		if err := json.Unmarshal(status, &recorded); err != nil {
			return store.Object{}, err
		}
		p.recorded <- recorded
		return store.Object{Name: name, Version: store.Revision{Era: want.Era, Number: want.Number + 1}}, nil
	}}
	p.Controller = deploy.New("rollouts", s, codec, append(opts, deploy.WithView(func() *view.Snapshot { return nil }, func(all []view.Rollout) {
		if len(all) == 1 {
			p.inForce <- all[0]
		}
	}))...)
	return p
}

// read makes the process read an object and returns the versions that it sets.
func (p *process) read(t *testing.T, at store.Revision, order canary.Order, status canary.Status) view.Rollout {
	t.Helper()
	rawOrder, err := json.Marshal(order)
	assert.NilError(t, err)
	rawStatus, err := json.Marshal(status)
	assert.NilError(t, err)
	for len(p.inForce) > 0 {
		<-p.inForce // what a verdict has set before
	}
	p.Change([]store.Change{{Object: store.Object{Name: name, Version: at, Value: rawOrder, Status: rawStatus}}})
	return <-p.inForce
}

func order(version string) canary.Order {
	return canary.Order{Pool: "encode", Version: version, Duration: 60_000}
}

// Guards against a version that returns into force, although it was replaced and its endpoints have
// ended, because the store has lost that the rollout was completed before the next order.
func TestNextOrderReplacesTheCompletedVersionThatTheStoreLost(t *testing.T) {
	v4 := canary.Status{Order: order("v4"), Previous: "v1", State: canary.Running, StartedAt: 100}
	for name, status := range map[string]canary.Status{
		"not recorded yet":              v4,
		"recorded by another process":   {Order: order("v2"), Previous: "v1", State: canary.Running, StartedAt: 200, Earlier: v4.History()},
		"decided by another process":    {Order: order("v2"), Previous: "v1", State: canary.RolledBack, StartedAt: 200, Earlier: v4.History()},
		"correct from the other copies": {Order: order("v2"), Previous: "v4", State: canary.Running, StartedAt: 200},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProcess(t)
			completed := v4
			completed.State = canary.Completed
			p.read(t, store.Revision{Era: 1, Number: 50}, v4.Order, v4)
			p.read(t, store.Revision{Era: 1, Number: 51}, v4.Order, completed)
			assert.Equal(t, p.read(t, store.Revision{Era: 2, Number: 30}, order("v2"), status).Previous, "v4")
		})
	}
}

// Guards against a decision that stays lost: the process that knows it records it again.
func TestLostDecisionIsRecordedAgain(t *testing.T) {
	p := newProcess(t)
	status := canary.Status{Order: order("v4"), Previous: "v1", State: canary.Running, StartedAt: 100}
	rolledBack := status
	rolledBack.State, rolledBack.Reason = canary.RolledBack, "bad"
	p.read(t, store.Revision{Era: 1, Number: 50}, status.Order, rolledBack)
	assert.Assert(t, !p.read(t, store.Revision{Era: 2, Number: 30}, status.Order, status).Canary)
	assert.Equal(t, p.record(t).State, canary.RolledBack)
}

// record lets the process run until it records a status, and returns that.
func (p *process) record(t *testing.T) (recorded canary.Status) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Run(ctx)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case recorded = <-p.recorded:
			return poll.Success()
		default:
			return poll.Continue("nothing recorded")
		}
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	cancel()
	<-ended
	return recorded
}

// Guards against an order that stays in force although a list of the store has corrected it: a peer had sent other contents under
// its number.
func TestCorrectedOrderReplacesTheOneWithItsNumber(t *testing.T) {
	p, at := newProcess(t), store.Revision{Era: 3, Number: 7}
	assert.Equal(t, p.read(t, at, order("lost"), canary.Status{}).Version, "lost")
	assert.Equal(t, p.read(t, at, order("current"), canary.Status{}).Version, "current")
}
