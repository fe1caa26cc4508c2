package bulk

import "github.com/jujubescale/jujubescale/internal/link/wire"

// maxItems limits the items of a Backlog, and maxBytes what they hold.
const maxItems, maxBytes = 64, wire.MaxMessage

// Backlog holds what arrives during a transfer until that is complete. Its zero value is empty.
type Backlog[T any] struct {
	items []T
	bytes int
}

// Add keeps an item of a size in bytes, and reports false if there is no room for it.
func (b *Backlog[T]) Add(item T, size int) bool {
	if len(b.items) >= maxItems || b.bytes+size > maxBytes {
		return false
	}
	b.items, b.bytes = append(b.items, item), b.bytes+size
	return true
}

// Items returns the items in the order of their arrival.
func (b *Backlog[T]) Items() []T { return b.items }
