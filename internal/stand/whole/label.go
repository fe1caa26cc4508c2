package whole

import (
	"context"
	"runtime/pprof"
)

// Roles by which a CPU profile of this process is split. Goroutines inherit the
// label of the goroutine that started them.
const (
	labelRole    = "role"
	roleEntry    = "entry"
	roleAgent    = "agent"
	roleStandIn  = "standIn"
	rolePlatform = "platform"
)

// withRole runs start with the label of a role, so that all goroutines started by it
// are counted for that role.
func withRole(role string, start func() error) error {
	var err error
	pprof.Do(context.Background(), pprof.Labels(labelRole, role), func(context.Context) { err = start() })
	return err
}
