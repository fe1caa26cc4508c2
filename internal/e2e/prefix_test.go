package e2e_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// BenchmarkPrefixMisses measures the most that export and import of the KV cache
// could save: the share of prompts whose prefix was not cached by their engine,
// although an engine had computed it before. docs/design/prefix.md quotes it.
func BenchmarkPrefixMisses(b *testing.B) {
	const prefixes, callers = 24, 8
	for _, size := range []int{64, 12} {
		b.Run(fmt.Sprintf("cacheSize=%d", size), func(b *testing.B) {
			system, err := whole.New(whole.WithEntries(2), whole.WithLog(log.New(io.Discard)), whole.WithShapes(
				whole.Shape{Pool: "engines", Endpoints: 3, TokenMs: 1, Tokens: 4, PrefillMs: 10, CachedMs: 2, CacheSize: size}))
			if err != nil {
				b.Fatal(err)
			}
			defer system.Close()
			for _, place := range system.Places {
				awaitAgent(b, place, len(system.Fronts))
			}
			baseURLs := allBaseURLs(system)()
			var group sync.WaitGroup
			for caller := range callers {
				group.Go(func() {
					for i := caller; i < b.N; i += callers {
						prefix := fmt.Sprintf("%-300d", rand.IntN(prefixes)) // longer than the part that affinity compares
						body := fmt.Sprintf(`{"input":{"prefix":%q,"echo":"%d"}}`, prefix, i)
						request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, baseURLs[i%len(baseURLs)]+"/v1/services/setup-sheets", strings.NewReader(body))
						if err != nil {
							b.Error(err)
							return
						}
						request.Header.Set("Authorization", "Bearer "+whole.SampleToken)
						response, err := http.DefaultClient.Do(request)
						if err != nil {
							b.Error(err)
							return
						}
						_ = response.Body.Close()
					}
				})
			}
			group.Wait()
			hits, misses := 0, 0
			for _, place := range system.Places {
				if place.Engine != nil {
					h, m := place.Engine.Hits()
					hits, misses = hits+h, misses+m
				}
			}
			b.ReportMetric(float64(misses)/float64(hits+misses), "missed")
			b.ReportMetric(float64(max(misses-prefixes, 0))/float64(hits+misses), "movable")
		})
	}
}
