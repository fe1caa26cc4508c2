package place_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/place"
)

// Guards against estimates from a fixed rate: engines of other deployments read
// prompts up to five times as fast, or at a quarter of the speed.
func TestRateIsMeasured(t *testing.T) {
	for _, actual := range []float64{10, 62, 200} {
		var r place.Rate
		before := r.TokensPerMs()
		assert.Assert(t, before > 0)
		for range 40 {
			r.Learn(6000, 6000/actual)
		}
		got := r.TokensPerMs()
		assert.Assert(t, got > 0.8*actual && got < 1.25*actual, "rate %f, actual %f", got, actual)
	}
}

// Guards against a clock step or a hung engine that leaves the rate unusable.
func TestRateStaysUsable(t *testing.T) {
	var r place.Rate
	r.Learn(6000, -5)
	r.Learn(0, 100)
	first := r.TokensPerMs()
	for range 1000 {
		r.Learn(1500, 1e9)
	}
	assert.Assert(t, r.TokensPerMs() > 0 && r.TokensPerMs() < first)
}

// An engine has the prefix cached and is reading another prompt. With fast engines,
// waiting for it is better than reading everything elsewhere; with slow ones, the
// request would be late.
func TestFastEnginesKeepSharedPrefixesTogether(t *testing.T) {
	all := engines(2)
	all[0].Cached, all[0].CachedHot, all[0].Prefill = 6300, 6300, 24_000
	prompt := &place.Prompt{Tokens: 9000, Hot: 6300, Slack: 700, TokensPerMs: 120}
	chosen, _ := place.ChooseEngine(prompt, all)
	assert.Equal(t, chosen, 0)
	prompt.TokensPerMs = 30
	chosen, _ = place.ChooseEngine(prompt, all)
	assert.Equal(t, chosen, 1)
}
