package front

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/fault"
)

// Guards against an entry that is killed because many callers send all but the last byte of a body, and against one that refuses all
// others beside them.
func TestBodiesThatStopShortTakeABoundedPartOfTheMemory(t *testing.T) {
	const callers, bodyBytes, memory = 64, 1 << 20, 20 << 20
	f := newTestFront(t, Config{MaxBodyBytes: bodyBytes, MaxOpen: 1000, MaxOpenPerOrganisation: 1000, MemoryBytes: memory})
	server := httptest.NewServer(f.Handler())
	t.Cleanup(server.Close)
	before := heapBytes()
	body := make([]byte, bodyBytes-1)
	sent := make(chan struct{}, callers)
	for range callers {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /v1/services/sheets HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", testToken, bodyBytes)
			_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, _ = conn.Write(body) // the entry may close the connection
			sent <- struct{}{}
		}()
	}
	highest := uint64(0)
	for open := callers; open > 0; {
		select {
		case <-sent:
			open--
		case <-time.After(10 * time.Millisecond):
			highest = max(highest, heapBytes())
		}
	}
	highest = max(highest, heapBytes())
	assert.Check(t, highest < before+memory, "%d MB of memory were used beside %d", (highest-before)>>20, before>>20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reason := ask(t, server.URL); reason != string(fault.NoEndpoint) { // it has none, and has read the body
			return poll.Continue("an ordinary request is answered with %s", reason)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// ask returns the reason for which an ordinary request is refused.
func ask(t *testing.T, url string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/services/sheets", strings.NewReader(`{"input":1}`))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var got refusal
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&got))
	return string(got.Reason)
}
