package config_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/config"
	"github.com/jujubescale/jujubescale/internal/conf/decode"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

// Any content of a settings file is either refused with a list of faults or gives
// settings in which the idle timeout for callers is longer than the balancer's.
func FuzzSettings(f *testing.F) {
	for _, seed := range []string{entryFile, agentFile, "", "{}", `{"process": 1}`, `{"operatorsTls": {"certFile": []}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := decode.Strict[config.Entry](raw)
		if err == nil {
			step.ApplyDefaults(config.EntrySteps(), e)
			err = step.Check(config.EntrySteps(), e)
		}
		if err == nil {
			assert.Assert(t, e.CallersIdleMs > e.BalancerIdleMs)
			return
		}
		var list *fault.InvalidListError
		assert.Assert(t, errors.As(err, &list), "%v", err)
	})
}
