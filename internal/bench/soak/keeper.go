package soak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	// keepers are the callers of each process that keep a connection.
	keepers = 4
	// redialPause is the time between two tries to open one.
	redialPause = 10 * time.Millisecond
	// idleMost and gapMost bound the pause before a request and that in the middle of
	// it: about what a port takes to close.
	idleMost = 300 * time.Millisecond
	gapMost  = 60 * time.Millisecond
)

// keeper is a caller that sends one request after the other on a connection of its
// own. There is no proxy on it: one that resets a connection may lose an answer that
// is on its way, and what ends here without one was ended by the process.
type keeper struct {
	*run
	process *process
	random  *rand.Rand
}

// startKeepers starts the keepers of all processes.
func (r *run) startKeepers(ctx context.Context) {
	for i := range keepers * len(r.processes) {
		k := &keeper{run: r, process: r.pick(i), random: rand.New(rand.NewPCG(r.Seed, 23+uint64(i)))}
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			k.serve(ctx)
		}()
	}
}

// serve opens connections, each once the last one was closed, until the run ends.
func (k *keeper) serve(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", k.process.ports.callers, time.Second)
		if err != nil {
			pause(ctx, redialPause)
			continue
		}
		k.use(ctx, c)
		_ = c.Close()
	}
}

// use sends requests until the process closes the connection or says that it will.
func (k *keeper) use(ctx context.Context, c net.Conn) {
	current, replies := k.process.currentLife(), bufio.NewReader(c)
	for {
		if k.random.IntN(2) == 0 {
			pause(ctx, time.Duration(k.random.Int64N(int64(idleMost))))
		}
		if ctx.Err() != nil {
			return
		}
		s := requests[k.random.IntN(len(requests))]()
		began := time.Now()
		if k.send(c, s) != nil {
			return // a part of a request needs no answer
		}
		k.kept.Add(1)
		sent := time.Now()
		got := k.client.Receive(replies, s)
		if got.Status == 0 || got.Truncated {
			k.checkUnanswered(&unanswered{id: s.ID, process: k.process, life: current, began: began, sent: sent, ended: time.Now(), got: got})
		}
		if got.Closing {
			return
		}
	}
}

// send writes a request, some of them in two parts.
func (k *keeper) send(c net.Conn, s *stand.Request) error {
	raw, err := k.client.Encode(s)
	if err != nil {
		return err
	}
	if err := c.SetDeadline(time.Now().Add(time.Duration(s.DeadlineMs)*time.Millisecond + tardy)); err != nil {
		return err
	}
	if k.random.IntN(3) == 0 {
		first := 1 + k.random.IntN(len(raw)-1)
		if _, err := c.Write(raw[:first]); err != nil {
			return err
		}
		time.Sleep(time.Duration(k.random.Int64N(int64(gapMost))))
		raw = raw[first:]
	}
	_, err = c.Write(raw)
	return err
}
