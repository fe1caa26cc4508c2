// Package room reserves the memory and the slots of model engines that share their hosts.
//
// It handles a load of up to twice what the engines can hold, from 5 to 300 gateways that
// send requests of very different sizes and learn of each other's work late. Such an engine
// crashes if the requests that it holds need more memory than it has, so the sum of what all
// gateways have committed must stay within its limits while reports are late, gateways die
// and owners change.
//
// Half of an engine is divided equally among the gateways (Share). The owner of the engine
// leases the rest (Ledger); a Holding keeps what one gateway has committed at the engine and
// what it has leased.
package room

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Duration is how long a lease is valid after it was granted or renewed. The capacity of a
// gateway that died is available again after it.
const Duration = 2 * clock.Second

// Unlimited is a limit that no request reaches.
const Unlimited = int64(1) << 40

// Need is what requests take of an engine: tokens of its memory, and places, which are the
// requests that it runs at once.
type Need struct {
	Tokens, Places int64
}

// Limits is what an engine holds, or the part of it that may be leased.
type Limits struct {
	Tokens, Places int64
}

// Plus returns the sum of two needs.
func (n Need) Plus(other Need) Need {
	return Need{Tokens: n.Tokens + other.Tokens, Places: n.Places + other.Places}
}

// Beyond returns the part of n that exceeds other.
func (n Need) Beyond(other Need) Need {
	return Need{Tokens: max(n.Tokens-other.Tokens, 0), Places: max(n.Places-other.Places, 0)}
}

// Within reports whether n exceeds other in neither value.
func (n Need) Within(other Need) bool { return n.Tokens <= other.Tokens && n.Places <= other.Places }

// IsZero reports whether nothing is needed.
func (n Need) IsZero() bool { return n == Need{} }

func (n Need) minus(other Need) Need {
	return Need{Tokens: n.Tokens - other.Tokens, Places: n.Places - other.Places}
}

func (n Need) lowest(other Need) Need {
	return Need{Tokens: min(n.Tokens, other.Tokens), Places: min(n.Places, other.Places)}
}

// Share returns the part of an engine that each of a number of gateways may commit without a
// lease. It is nothing if there is less than one place for each: a gateway needs a lease for
// its first request then, and tokens without a place would stay unused.
func Share(limits Limits, gateways int) Need {
	count := int64(max(gateways, 1))
	share := Need{Tokens: limits.Tokens / 2 / count, Places: limits.Places / 2 / count}
	if share.Tokens <= 0 || share.Places <= 0 {
		return Need{}
	}
	return share
}

// Leasable returns the part of an engine that is in no gateway's share.
func Leasable(limits Limits, gateways int) Limits {
	count, share := int64(max(gateways, 1)), Share(limits, gateways)
	return Limits{Tokens: limits.Tokens - count*share.Tokens, Places: limits.Places - count*share.Places}
}

// countRetention is how long a number of live gateways counts after it was last seen. Within
// it, all gateways learn that one of them has started or died.
const countRetention = 5 * clock.Second

// Counts holds the numbers of live gateways that were seen lately. The zero value has seen
// none, and nothing may be shared or leased by it. It is not safe for concurrent use.
type Counts struct {
	seen []seenCount
}

type seenCount struct {
	gateways int
	at       clock.Millis
}

// See records the number of live gateways at an instant.
func (c *Counts) See(gateways int, now clock.Millis) {
	c.seen = slices.DeleteFunc(c.seen, func(s seenCount) bool { return s.gateways == gateways || now-s.at > countRetention })
	c.seen = append(c.seen, seenCount{gateways: gateways, at: now})
}

// Share returns the share of one gateway by the largest number of gateways seen lately.
func (c *Counts) Share(limits Limits) Need {
	largest := 0
	for _, s := range c.seen {
		largest = max(largest, s.gateways)
	}
	if largest == 0 {
		return Need{}
	}
	return Share(limits, largest)
}

// Leasable returns the least that may be leased by the numbers of gateways seen lately.
func (c *Counts) Leasable(limits Limits) Limits {
	if len(c.seen) == 0 {
		return Limits{}
	}
	least := limits
	for _, s := range c.seen {
		leasable := Leasable(limits, s.gateways)
		least = Limits{Tokens: min(least.Tokens, leasable.Tokens), Places: min(least.Places, leasable.Places)}
	}
	return least
}
