package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// LoseLarge takes the hosts of the largest size of some availability zones away, one after the other or all at once, so that
// those of the other sizes take their roles over.
const LoseLarge Kind = "loseLarge"

// wayOfLoss is how a host is lost.
type wayOfLoss int

const (
	stopped   wayOfLoss = iota // SIGTERM; the process starts again when the host returns
	killed                     // SIGKILL; its connections end at once
	powerless                  // SIGKILL; its connections fall silent
	cutOff                     // the process runs and nothing passes its link; bytes arrive later
	waysOfLoss
)

// String names the way.
func (w wayOfLoss) String() string {
	return [...]string{"stopped", "killed", "powerless", "cutOff"}[w]
}

// loss is what one LoseLarge does.
type loss struct {
	// zones is the number of zones, from one that the seed draws on, whose largest hosts are lost.
	zones int
	way   wayOfLoss
	// gap is the time between two hosts.
	gap time.Duration
	// others is set if every second one of the smallest hosts of these zones is lost, too.
	others bool
}

// lossOf returns what a subject stands for. Subjects are drawn from maxLossSubject.
func lossOf(subject int) loss {
	gaps := []time.Duration{0, 120 * time.Millisecond, 400 * time.Millisecond}
	return loss{
		zones: 1 + subject%len(zones), way: wayOfLoss(subject / len(zones) % int(waysOfLoss)),
		gap: gaps[subject/(len(zones)*int(waysOfLoss))%len(gaps)], others: subject/(len(zones)*int(waysOfLoss)*len(gaps))%2 == 1,
	}
}

const maxLossSubject = 72

// String describes the loss.
func (l loss) String() string {
	return fmt.Sprintf("%d zones %s, %v apart, others too: %t", l.zones, l.way, l.gap, l.others)
}

// largeLosses returns the times at which the largest hosts are lost. They return 1.5 to 7 s later, and are lost again.
func largeLosses(seed uint64, length time.Duration) []Disturbance {
	random := rand.New(rand.NewPCG(seed, 71))
	var plan []Disturbance
	for at := firstDisturbance + rollingCount*rollingSpan; at < length-recoverySpan-time.Second; {
		d := Disturbance{Kind: LoseLarge, At: at, For: time.Duration(1500+random.IntN(5500)) * time.Millisecond, Subject: random.IntN(maxLossSubject)}
		d.For = min(d.For, length-recoverySpan-at)
		plan = append(plan, d)
		at += d.For + time.Duration(300+random.IntN(3000))*time.Millisecond
	}
	return plan
}

// withoutLarge returns the disturbance that stops all of the largest hosts for a whole run.
func withoutLarge(length time.Duration) Disturbance {
	return Disturbance{Kind: LoseLarge, At: firstDisturbance, For: length, Subject: len(zones) - 1}
}

// besideLost returns the number of the process that gets a request that was dealt to one: the next one whose host is not away
// for the whole run.
func (r *run) besideLost(number int) int {
	for r.WithoutLarge && sizeOf(number) == hostSizes[len(hostSizes)-1] {
		number = (number + 1) % len(r.processes)
	}
	return number
}

// loseLarge takes hosts away and returns once they are back.
func (r *run) loseLarge(ctx context.Context, d Disturbance) {
	lost := lossOf(d.Subject)
	_, _ = fmt.Fprintln(r.Out, "       ", lost)
	until := time.Now().Add(d.For)
	var group sync.WaitGroup
	small := 0
	for number := range r.processes {
		if (number+d.Subject)%len(zones) >= lost.zones {
			continue
		}
		switch sizeOf(number) {
		case hostSizes[len(hostSizes)-1]:
		case hostSizes[0]:
			if small++; !lost.others || small%2 == 0 {
				continue
			}
		default:
			continue
		}
		group.Go(func() { r.loseHost(ctx, number, lost.way, until) })
		pause(ctx, lost.gap)
	}
	group.Wait()
}

// loseHost takes one host away until an instant.
func (r *run) loseHost(ctx context.Context, number int, way wayOfLoss, until time.Time) {
	p := r.processes[number]
	switch way {
	case cutOff:
		defer r.faults.begin(Pause, p)()
		if p.link != nil {
			p.link.Pause(time.Until(until))
		}
	case powerless, killed:
		defer r.faults.begin(Kill, p)()
		if way == powerless {
			r.sever(number)
		}
		p.startAfter(until)
		p.signal(syscall.SIGKILL)
	default:
		p.startAfter(until)
		p.signal(syscall.SIGTERM)
	}
	pause(ctx, time.Until(until))
}

// sever makes all connections of a host fall silent for good.
func (r *run) sever(number int) {
	r.callers[number].Sever()
	r.stores[number].Sever()
	own := r.processes[number]
	r.sessions.Range(func(name, proxy any) bool {
		if name == own.name {
			proxy.(*Proxy).Sever()
		} else {
			proxy.(*Proxy).SeverFrom(own.link)
		}
		return true
	})
}
