package room

import "github.com/jujubescale/jujubescale/internal/base/clock"

const (
	// maxBusy bounds how long the requests of a holder that is cut off are taken to run.
	maxBusy = 5 * clock.Minute
	// asksPerReturn is the number of refused holders that may ask again in the time in which
	// one returns capacity. It bounds the rate of questions, however many gateways compete.
	asksPerReturn = 4.0
	// minWait is the shortest time after which a refused holder asks again.
	minWait = 5 * clock.Millis(1)
)

// Ask is a holder's question to the owner of an engine.
type Ask struct {
	// Holder is the name of the gateway, and Epoch distinguishes its runs.
	Holder string
	Epoch  int64
	// Seq grows with each question of a holder, so that one that arrives late does not
	// take back what was granted after it.
	Seq uint64
	// Held is what the holder uses beyond its share, Want what it needs in addition.
	Held, Want Need
	// Size is the tokens of the request for which it is wanted, a part of which may fit into
	// the holder's share.
	Size int64
	// Busy is the time until the deadline of the last request that runs under the lease.
	Busy clock.Millis
}

// Grant is the owner's answer.
type Grant struct {
	// Granted is what the holder may use beyond its share until Until. Until is 0 if the
	// question was out of date or malformed, and nothing has changed.
	Granted Need
	Until   clock.Millis
	// Wait is the time after which the holder may ask again if it did not get what it
	// wanted.
	Wait clock.Millis
}

type holder struct {
	name  string
	epoch int64
}

type lease struct {
	held  Need
	until clock.Millis
	// busyUntil is the last deadline of the requests that run under the lease.
	busyUntil clock.Millis
	seq       uint64
}

// Ledger holds the leases of one start of an engine at its owner. It is not safe for
// concurrent use.
type Ledger struct {
	liveFunc func(name string) bool
	leases   map[holder]*lease
	total    Need
	// graceUntil is the instant from which on no lease of an earlier owner is valid.
	graceUntil clock.Millis
	// nextExpiry is the first end of a lease, or before it.
	nextExpiry clock.Millis
	returns    returns
	fair       fairness
	nextAsk    float64
}

// LedgerOption configures a Ledger.
type LedgerOption func(*Ledger)

// WithLive sets how to find out whether a gateway is live. The requests of a live gateway that
// can't renew its lease still run, and keep their capacity until their deadline. Without it, no
// gateway counts as live.
func WithLive(live func(name string) bool) LedgerOption {
	return func(l *Ledger) { l.liveFunc = live }
}

// NewLedger returns the ledger of a process that became the owner of an engine at an instant.
func NewLedger(now clock.Millis, opts ...LedgerOption) *Ledger {
	l := &Ledger{liveFunc: func(string) bool { return false }, leases: make(map[holder]*lease), graceUntil: now + Duration}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Leased returns the sum of the leases.
func (l *Ledger) Leased() Need { return l.total }

// Holders returns the number of leases.
func (l *Ledger) Holders() int { return len(l.leases) }

// Grant records what a holder uses beyond its share, renews its lease for that, and grants what
// it wants in addition if that is free. limits is what may be leased. What a holder uses is
// recorded even if it exceeds the limits, because its requests are running.
func (l *Ledger) Grant(ask Ask, limits Limits, now clock.Millis) Grant {
	l.expire(now)
	key := holder{name: ask.Holder, epoch: ask.Epoch}
	known := l.leases[key]
	if known != nil && ask.Seq <= known.seq || !ask.plausible() {
		return Grant{Wait: minWait}
	}
	if known == nil {
		l.endEarlier(key)
		known = &lease{}
		l.leases[key] = known
	}
	l.set(known, ask.Held, now)
	wait := l.tryWant(ask, limits, now)
	if wait == 0 {
		l.set(known, ask.Held.Plus(ask.Want), now)
	}
	known.seq, known.until = ask.Seq, now+Duration
	known.busyUntil = now + min(ask.Busy, maxBusy)
	l.nextExpiry = min(l.nextExpiry, known.until)
	granted := known.held
	if granted.IsZero() {
		delete(l.leases, key)
	}
	return Grant{Granted: granted, Until: now + Duration, Wait: wait}
}

// plausible reports whether the values can be those of a holder.
func (a Ask) plausible() bool {
	within := func(n Need) bool { return n.Tokens >= 0 && n.Places >= 0 && n.Within(Need{Unlimited, Unlimited}) }
	return a.Holder != "" && within(a.Held) && within(a.Want) && a.Size >= 0 && a.Busy >= 0
}

// set replaces what a lease holds.
func (l *Ledger) set(known *lease, held Need, now clock.Millis) {
	if back := known.held.Beyond(held); !back.IsZero() {
		l.returns.add(back, now)
	}
	l.total = l.total.minus(known.held).Plus(held)
	known.held = held
}

// tryWant returns 0 if what a holder wants in addition may be granted, and otherwise the time
// after which it may ask again.
func (l *Ledger) tryWant(ask Ask, limits Limits, now clock.Millis) clock.Millis {
	want, size := ask.Want, max(ask.Size, ask.Want.Tokens)
	if want.IsZero() {
		return 0
	}
	all := Need(limits)
	if now < l.graceUntil {
		if !all.Within(l.total) {
			return l.graceUntil - now
		}
		// The known holders account for everything that may be leased.
		l.graceUntil = now
	}
	if !want.Within(all) {
		return Duration // it never fits, so nothing is kept free for its size
	}
	free := all.minus(l.total)
	reserve := l.fair.reserve(size, all, now)
	if want.Tokens < size {
		// The rest of the holder's share would stay unused without a lease.
		reserve = Need{}
	}
	granted := want.Within(free) && want.Plus(reserve).Within(free)
	l.fair.record(size, want, granted, now)
	if granted {
		return 0
	}
	return l.stagger(l.estimate(want.minus(free), now), now)
}

// estimate returns the time until an amount is probably free: by the rate of returns, or when
// the first lease expires.
func (l *Ledger) estimate(lacking Need, now clock.Millis) clock.Millis {
	wait := min(max(l.nextExpiry-now, minWait), Duration)
	if byRate, known := l.returns.timeFor(lacking, now); known {
		wait = min(wait, max(byRate, minWait))
	}
	return wait
}

// stagger gives holders that are refused together different times to ask again.
func (l *Ledger) stagger(wait, now clock.Millis) clock.Millis {
	ask := max(float64(now+wait), l.nextAsk)
	step := min(l.returns.interval(now)/asksPerReturn, float64(Duration)/8)
	l.nextAsk = min(ask+step, float64(now+Duration))
	return min(max(clock.Millis(ask)-now, minWait), Duration)
}

// endEarlier lets the leases of earlier runs of a gateway expire: their requests have ended.
func (l *Ledger) endEarlier(key holder) {
	for other, known := range l.leases {
		if other.name == key.name && other.epoch < key.epoch {
			known.busyUntil = 0
		}
	}
}

// expire removes the leases that have ended. The lease of a live gateway that can't renew it
// ends with the deadline of its requests.
func (l *Ledger) expire(now clock.Millis) {
	if now < l.nextExpiry {
		return
	}
	l.nextExpiry = now + Duration
	for key, known := range l.leases {
		switch {
		case now < known.until:
			l.nextExpiry = min(l.nextExpiry, known.until)
		case now < known.busyUntil && l.liveFunc(key.name):
			l.nextExpiry = min(l.nextExpiry, now+Duration/8)
		default:
			l.set(known, Need{}, now)
			delete(l.leases, key)
		}
	}
}
