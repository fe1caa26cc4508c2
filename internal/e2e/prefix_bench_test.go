package e2e_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/jujubescale/jujubescale/internal/serve/entry"
	"github.com/jujubescale/jujubescale/internal/serve/runs"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// BenchmarkPrefixHits reports the share of prompts whose prefix was cached by the
// chosen engine. Three engines cache four prefixes each, and the prompts use ten
// prefixes in turn. It compares the default choice with the round-robin baseline.
func BenchmarkPrefixHits(b *testing.B) {
	variants := map[string][]entry.Option{"default": nil, "baseline": {entry.WithRuns(runs.WithBaseline())}}
	for name, options := range variants {
		b.Run(name, func(b *testing.B) {
			system, err := whole.New(whole.WithEntryOptions(options...), whole.WithShapes(
				whole.Shape{Pool: "engines", Endpoints: 3, CacheSize: 4, Tokens: 1, PrefillMs: 5, CachedMs: 1, TokenMs: 1}))
			if err != nil {
				b.Fatal(err)
			}
			defer system.Close()
			for i := 0; b.Loop(); i++ {
				body := fmt.Sprintf(`{"input":{"prefix":"instructions %d","echo":"x%d"}}`, i*7%10, i)
				post(b, system.URL()+"/v1/services/setup-sheets", body)
			}
			hits, misses := 0, 0
			for _, place := range system.Places {
				if place.Engine != nil {
					h, m := place.Engine.Hits()
					hits, misses = hits+h, misses+m
				}
			}
			b.ReportMetric(float64(hits)/float64(max(hits+misses, 1)), "hits/prompt")
		})
	}
}

func post(b *testing.B, url, body string) {
	b.Helper()
	load := &loadGenerator{client: http.DefaultClient}
	got := outcome{kind: kindSheet}
	load.send(&got, url, body, "")
}
