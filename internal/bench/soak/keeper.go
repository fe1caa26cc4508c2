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
	// callersPerProcess is the number of callers of each process that keep a connection
	// open.
	callersPerProcess = 4
	// redialPause is the time between two attempts to open a connection.
	redialPause = 10 * time.Millisecond
	// maxIdle and maxGap are the longest pauses before and within a request: about the
	// time that a port takes to close.
	maxIdle = 300 * time.Millisecond
	maxGap  = 60 * time.Millisecond
)

// persistentCaller sends requests one at a time on its own connection. It uses no
// proxy, because a reset by a proxy may lose an answer in flight; so the process itself
// has closed each connection that ends without an answer.
type persistentCaller struct {
	*run
	process *process
	random  *rand.Rand
}

// startPersistentCallers starts the persistent callers of all processes.
func (r *run) startPersistentCallers(ctx context.Context) {
	for i := range callersPerProcess * len(r.processes) {
		caller := &persistentCaller{run: r, process: r.processAt(i), random: rand.New(rand.NewPCG(r.Seed, 23+uint64(i)))}
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			caller.serve(ctx)
		}()
	}
}

// serve opens a new connection each time the last one was closed, until the run ends.
func (p *persistentCaller) serve(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", p.process.ports.callers, time.Second)
		if err != nil {
			pause(ctx, redialPause)
			continue
		}
		p.use(ctx, c)
		_ = c.Close()
	}
}

// use sends requests until the process closes the connection or announces its close.
func (p *persistentCaller) use(ctx context.Context, c net.Conn) {
	current, replies := p.process.currentIncarnation(), bufio.NewReader(c)
	for {
		if p.random.IntN(2) == 0 {
			pause(ctx, time.Duration(p.random.Int64N(int64(maxIdle))))
		}
		if ctx.Err() != nil {
			return
		}
		s := p.newRequest(p.random.IntN(len(requests)))
		began := time.Now()
		if p.send(c, s) != nil {
			return // an incomplete request needs no answer
		}
		p.kept.Add(1)
		sent := time.Now()
		got := p.client.Receive(replies, s)
		p.checkCut(s, p.process, current, began, got)
		if got.Status == 0 || got.Truncated {
			p.checkUnanswered(&unanswered{id: s.ID, process: p.process, incarnation: current, began: began, sent: sent, ended: time.Now(), got: got})
		}
		if got.Closing {
			return
		}
	}
}

// send writes a request; a third of the requests are written in two parts.
func (p *persistentCaller) send(c net.Conn, s *stand.Request) error {
	raw, err := p.client.Encode(s)
	if err != nil {
		return err
	}
	if err := c.SetDeadline(time.Now().Add(time.Duration(s.DeadlineMs)*time.Millisecond + deadlineTolerance)); err != nil {
		return err
	}
	if p.random.IntN(3) == 0 {
		first := 1 + p.random.IntN(len(raw)-1)
		if _, err := c.Write(raw[:first]); err != nil {
			return err
		}
		time.Sleep(time.Duration(p.random.Int64N(int64(maxGap))))
		raw = raw[first:]
	}
	_, err = c.Write(raw)
	return err
}
