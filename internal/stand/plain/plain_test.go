package plain_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/plain"
)

// The service closes the connection after the call took effect. The caller gets
// an error although the booking exists, so a retry would book twice.
func TestClosedCallStillCountsAsRun(t *testing.T) {
	for at, runs := range map[plain.CloseAt]int{
		plain.CloseBefore: 0, plain.CloseDuring: 1, plain.CloseAfter: 1,
	} {
		t.Run(string(at), func(t *testing.T) {
			p := plain.New()
			p.SetClose(at)
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			_, err := http.Post(server.URL+"/reels/book", "application/json", strings.NewReader(`{"echo":"b1"}`))
			assert.Assert(t, err != nil)
			assert.Equal(t, p.Runs("b1"), runs)
		})
	}
}
