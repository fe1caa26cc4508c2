package store

import "github.com/jujubescale/jujubescale/internal/base/epoch"

// Revision orders the states of the store and the versions of its objects.
type Revision = epoch.Revision

// At returns a revision of a store without eras.
func At(number uint64) Revision { return Revision{Number: number} }

// Latest returns the newer one of two revisions.
func Latest(a, b Revision) Revision { return epoch.Latest(a, b) }
