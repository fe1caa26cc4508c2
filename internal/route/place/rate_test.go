package place_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/place"
)

// Engines of another deployment read prompts half as fast again, or a quarter as
// fast. Waits behind long prompts are estimated by what is seen.
func TestRateIsLearned(t *testing.T) {
	for _, actual := range []float64{10, 62, 200} {
		var r place.Rate
		before := r.TokensPerMs()
		assert.Assert(t, before > 0)
		for range 40 {
			r.Learn(6000, 6000/actual)
		}
		got := r.TokensPerMs()
		assert.Assert(t, got > 0.8*actual && got < 1.25*actual, "%f for %f", got, actual)
	}
}

// A clock jumps, or an engine hangs: the rate stays within bounds and usable.
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

// An engine holds the beginning of a prompt and reads another one just now.
// Where engines read fast, waiting for it is better than reading everything
// again elsewhere; where they are slow, the caller would be late.
func TestFastEnginesKeepPromptsThatBeginAlikeTogether(t *testing.T) {
	all := engines(2)
	all[0].Cached, all[0].CachedHot, all[0].Prefill = 6300, 6300, 24_000
	prompt := &place.Prompt{Tokens: 9000, Hot: 6300, Slack: 700, TokensPerMs: 120}
	chosen, _ := place.ChooseEngine(prompt, all)
	assert.Equal(t, chosen, 0)
	prompt.TokensPerMs = 30
	chosen, _ = place.ChooseEngine(prompt, all)
	assert.Equal(t, chosen, 1)
}
