package roster

import (
	"encoding/json"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// sessionState is the state of the sessions to one address.
type sessionState struct {
	open int
	// lostAt is when the last session ended, or 0 while one is open.
	lostAt clock.Millis
	// deadUntil is the time until which another endpoint replaces this one.
	deadUntil clock.Millis
	// incarnation differs after a restart of the process at this address.
	incarnation token.Incarnation
}

// SessionOpened records a session to an address. It reports whether the process
// there has restarted, which invalidates all state of its earlier incarnation.
func (r *Roster) SessionOpened(address string, incarnation token.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tracked[address]
	if t == nil {
		t = &sessionState{}
		r.tracked[address] = t
	}
	restarted := t.incarnation != 0 && t.incarnation != incarnation
	t.open++
	t.lostAt, t.deadUntil = 0, 0
	t.incarnation = incarnation
	return restarted
}

// SessionEnded records the end of a session. The process at the address is
// suspected from now on: without a session it gets no work, but it may only be
// unreachable or restarting.
func (r *Roster) SessionEnded(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tracked[address]
	if t == nil {
		return
	}
	t.open = max(0, t.open-1)
	if t.open == 0 {
		t.lostAt = r.clock.Now()
	}
}

func (r *Roster) isOpen(address string) bool {
	t := r.tracked[address]
	return t != nil && t.open > 0
}

func (r *Roster) excludeDead(hosts []store.Host) []store.Host {
	now := r.clock.Now()
	var alive []store.Host
	for _, host := range hosts {
		if t := r.tracked[host.Address]; t == nil || now >= t.deadUntil {
			alive = append(alive, host)
		}
	}
	return alive
}

// replaceLost marks endpoints that were suspected for suspectTimeout as dead, so
// that others replace them. It replaces none while most sessions are lost. Then
// the fault is probably in this process, which was paused or is unreachable,
// and its sessions to other endpoints would fail too.
func (r *Roster) replaceLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var suspects []*list
	lost, total := 0, 0
	for pool, l := range r.lists {
		for _, host := range l.hosts {
			t := r.tracked[host.Address]
			if pool == entriesPool || t == nil {
				continue
			}
			total++
			if t.open == 0 {
				lost++
			}
			if t.open == 0 && now >= t.lostAt+suspectTimeout && now >= t.deadUntil && l.listed > r.size {
				suspects = append(suspects, l)
			}
		}
	}
	if lost*2 > total {
		return
	}
	for _, l := range suspects {
		r.markDead(l, now)
	}
	r.prune(now)
}

func (r *Roster) markDead(l *list, now clock.Millis) {
	l.nextRead = now
	for _, host := range l.hosts {
		if t := r.tracked[host.Address]; t != nil && t.open == 0 && now >= t.lostAt+suspectTimeout {
			t.deadUntil = now + deadTimeout
		}
	}
}

// prune deletes the state of addresses that had no session for a long time.
func (r *Roster) prune(now clock.Millis) {
	for address, t := range r.tracked {
		if t.open == 0 && now >= max(t.lostAt+suspectTimeout, t.deadUntil)+deadTimeout {
			delete(r.tracked, address)
		}
	}
}

// export is the message to a peer with the known hosts of one pool, or with the
// entries.
type export struct {
	Hosts []store.Host `json:"hosts"`
}

// Export returns the known hosts of a pool, encoded for a peer that starts while
// the platform is unavailable. An empty pool exports the entries.
func (r *Roster) Export(pool string) ([]byte, error) {
	r.mu.Lock()
	hosts := r.list(pool).hosts
	r.mu.Unlock()
	return json.Marshal(export{Hosts: hosts})
}

// Import adds the hosts that a peer exported, unless the platform has already
// listed the pool.
func (r *Roster) Import(pool string, raw []byte) error {
	var imported export
	if err := json.Unmarshal(raw, &imported); err != nil {
		return err
	}
	r.mu.Lock()
	l := r.list(pool)
	if l.listed == 0 {
		l.hosts = r.merge(imported.Hosts, imported.Hosts, l.hosts)
	}
	r.mu.Unlock()
	r.notify(pool)
	return nil
}

// Missing reports whether no host of a pool is known.
func (r *Roster) Missing(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list(pool).hosts) == 0
}
