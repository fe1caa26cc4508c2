package roster

import (
	"encoding/json"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// track is what sessions show of one address.
type track struct {
	open int
	// lost is when the last session ended, 0 while one is open.
	lost clock.Millis
	// dead is until when another endpoint takes the place.
	dead clock.Millis
	// incarnation tells a restarted process under the same address apart.
	incarnation token.Incarnation
}

// SessionOpened notes a session to an address. It reports whether a new incarnation
// of the process answers there: what was known of the old one is void.
func (r *Roster) SessionOpened(address string, incarnation token.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tracked[address]
	if t == nil {
		t = &track{}
		r.tracked[address] = t
	}
	restarted := t.incarnation != 0 && t.incarnation != incarnation
	t.open++
	t.lost, t.dead = 0, 0
	t.incarnation = incarnation
	return restarted
}

// SessionEnded notes the end of a session. The process there is suspected: it gets no
// work without a session, but it may merely have been cut off or restarted.
func (r *Roster) SessionEnded(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tracked[address]
	if t == nil {
		return
	}
	t.open = max(0, t.open-1)
	if t.open == 0 {
		t.lost = r.clock.Now()
	}
}

func (r *Roster) isOpen(address string) bool {
	t := r.tracked[address]
	return t != nil && t.open > 0
}

func (r *Roster) notDead(hosts []store.Host) []store.Host {
	now := r.clock.Now()
	var alive []store.Host
	for _, host := range hosts {
		if t := r.tracked[host.Address]; t == nil || now >= t.dead {
			alive = append(alive, host)
		}
	}
	return alive
}

// expire turns suspicion into death and looks for replacements. While most
// sessions are lost the fault is probably here: this process was paused or cut
// off, and giving up its endpoints would only move it to others.
func (r *Roster) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var suspects []*list
	lost, all := 0, 0
	for pool, l := range r.lists {
		for _, host := range l.hosts {
			t := r.tracked[host.Address]
			if pool == entriesPool || t == nil {
				continue
			}
			all++
			if t.open == 0 {
				lost++
			}
			if t.open == 0 && now >= t.lost+suspectFor && now >= t.dead && l.listed > r.size {
				suspects = append(suspects, l)
			}
		}
	}
	if lost*2 > all {
		return
	}
	for _, l := range suspects {
		r.replace(l, now)
	}
	r.forget(now)
}

func (r *Roster) replace(l *list, now clock.Millis) {
	l.due = now
	for _, host := range l.hosts {
		if t := r.tracked[host.Address]; t != nil && t.open == 0 && now >= t.lost+suspectFor {
			t.dead = now + deadFor
		}
	}
}

// forget drops what is known of addresses that are on no list any more.
func (r *Roster) forget(now clock.Millis) {
	for address, t := range r.tracked {
		if t.open == 0 && now >= max(t.lost+suspectFor, t.dead)+deadFor {
			delete(r.tracked, address)
		}
	}
}

// export is what a peer is told: the entries, and the endpoints of one pool.
type export struct {
	Hosts []store.Host `json:"hosts"`
}

// Export returns the hosts of a pool that are known here, for a peer that
// starts while the platform can't be used. The empty name exports the entries.
func (r *Roster) Export(pool string) ([]byte, error) {
	r.mu.Lock()
	hosts := r.list(pool).hosts
	r.mu.Unlock()
	return json.Marshal(export{Hosts: hosts})
}

// Import takes in what a peer exported, as long as the platform has not
// answered here.
func (r *Roster) Import(pool string, raw []byte) error {
	var said export
	if err := json.Unmarshal(raw, &said); err != nil {
		return err
	}
	r.mu.Lock()
	l := r.list(pool)
	if l.listed == 0 {
		l.hosts = r.merge(said.Hosts, said.Hosts, l.hosts)
	}
	r.mu.Unlock()
	r.choose(pool)
	return nil
}

// Missing reports that nothing is known of a pool yet.
func (r *Roster) Missing(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list(pool).hosts) == 0
}
