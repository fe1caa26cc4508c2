package whole_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

func TestEveryFaultCanBeInjected(t *testing.T) {
	system, err := whole.New(whole.WithEndpoints(1), whole.WithEntries(1))
	assert.NilError(t, err)
	defer system.Close()
	targets := map[whole.FaultName]string{
		whole.ZoneLeave: "za", whole.ZoneReturn: "za", whole.ZoneCut: "zb", whole.ZoneHeal: "zb", whole.ZoneSilence: "zb",
		whole.EntryKill: "entry-0", whole.EntryRestart: "entry-0",
	}
	for _, name := range whole.FaultNames() {
		if name == whole.PlatformDown {
			continue // the operators' actions that follow need the platform
		}
		target, found := targets[name]
		if !found {
			target = whole.EndpointName("engines", 0)
		}
		assert.NilError(t, system.Inject(whole.Fault{Name: name, Target: target, Factor: 1}), string(name))
	}
}

func TestUnknownFaultOrTargetIsAnError(t *testing.T) {
	system, err := whole.New(whole.WithEndpoints(1), whole.WithEntries(1))
	assert.NilError(t, err)
	defer system.Close()
	for _, name := range []whole.FaultName{whole.EndpointCold, whole.AgentKill, whole.EntryKill, "quake"} {
		var unknown *whole.UnknownTargetError
		assert.Assert(t, errors.As(system.Inject(whole.Fault{Name: name, Target: "nothing"}), &unknown), string(name))
	}
}
