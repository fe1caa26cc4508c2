package feed_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/fleet"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// largeConfigRoutes is the number of routes that nobody asks for in a large configuration, some 750 KB.
const largeConfigRoutes = 3400

// addRoutes adds routes that nobody asks for to the next version.
func addRoutes(f *fleet.Fleet, count int) {
	for i := range count {
		name := fmt.Sprintf("kept-%d", i)
		f.Config.Routes = append(f.Config.Routes, stand.Route{
			Name: name, Host: "kept.example", Prefix: "/" + name + "/", Kind: "safe", Service: fleet.Models, TimeoutMs: 2500, SloMs: 400, Attempts: 2, Priority: 1,
		})
	}
}

// Guards against a revoked key that stays good at some gateways after the store has come back from a copy: the version that
// revokes it has the number of a lost one, and peers take the contents of the lost one for its contents.
func TestKeyRevokedAfterTheStoreReturnedIsRefusedEverywhere(t *testing.T) {
	const settled, bound, asked = time.Second, 2 * time.Second, 3 * time.Second
	const askPause = 20 * time.Millisecond // refusals take no time, so that callers would fill the processor
	for _, size := range []struct {
		name   string
		routes int
	}{{"small configuration", 0}, {"large configuration", largeConfigRoutes}} {
		for _, gateways := range []int{3, 6} {
			t.Run(fmt.Sprintf("%s, %d gateways", size.name, gateways), func(t *testing.T) {
				t.Parallel()
				f := fleet.New(t, gateways, 4)
				addRoutes(f, size.routes)
				f.Publish()
				f.AwaitServed(t, func() *stand.Request { return fleet.Draft("") })
				time.Sleep(settled)

				before := f.Snapshot()
				f.Config.Routes[0].SloMs++
				f.Publish()
				time.Sleep(settled)
				f.ReturnTo(before)
				f.Config.Tenants[0].Keys = []string{"next-key"}
				f.Publish()
				acknowledged := time.Now()

				time.Sleep(time.Until(acknowledged.Add(bound)))
				sent, late := askAll(t, f, acknowledged.Add(bound+asked), func(_ *fleet.Fleet, _ string, got stand.Outcome) bool {
					time.Sleep(askPause)
					return got.Status == http.StatusOK
				})
				assert.Equal(t, len(late), 0, "of %d requests, served by the revoked key: %v", sent, late)
			})
		}
	}
}
