package router

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// compared holds which peers have stated their configuration in an era of the store. It is safe for
// concurrent use.
type compared struct {
	mu sync.Mutex
	// members are the processes that the store lists.
	members []mesh.Member
	era     uint64
	// stated holds the peers that have stated their configuration, lacking those whose configuration is older
	// than the one that the store has lost.
	stated, lacking map[string]bool
}

// setMembers sets the processes that the store lists.
func (c *compared) setMembers(members []mesh.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
}

// record records that a peer has stated its configuration in an era, and reports whether all listed
// processes but self have.
func (c *compared) record(peer, self string, era uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(era)
	c.stated[peer] = true
	for _, member := range c.members {
		if member.Name != self && !c.stated[member.Name] {
			return false
		}
	}
	return len(c.members) > 0 // the list has been read
}

// recordLack records that a peer lacks the configuration that the store has lost in an era.
func (c *compared) recordLack(peer string, era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(era)
	c.lacking[peer] = true
}

// lacks reports whether a peer lacked the configuration that the store has lost in an era.
func (c *compared) lacks(peer string, era uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era == era && c.lacking[peer]
}

// begin forgets what belongs to another era. The caller holds the lock.
func (c *compared) begin(era uint64) {
	if c.era != era || c.stated == nil {
		c.era, c.stated, c.lacking = era, make(map[string]bool), make(map[string]bool)
	}
}
