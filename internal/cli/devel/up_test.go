package devel_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/cli/devel"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// output collects the output of a command while it runs.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(text []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(text)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func TestUpPrintsACallThatWorks(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var out output
	root := devel.New()
	root.SetArgs([]string{"up", "--listen", "127.0.0.1:0", "--endpoints", "1", "--entries", "1"})
	root.SetOut(&out)
	ended := make(chan error, 1)
	go func() { ended <- root.ExecuteContext(ctx) }()
	printed := regexp.MustCompile(`curl -N -H '([^']*)' (\S+) -d '([^']*)'`)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if printed.MatchString(out.String()) {
			return poll.Success()
		}
		return poll.Continue("%s", out.String())
	}, poll.WithTimeout(time.Minute))
	call := printed.FindStringSubmatch(out.String())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call[2], strings.NewReader(call[3]))
	assert.NilError(t, err)
	name, value, _ := strings.Cut(call[1], ": ")
	request.Header.Set(name, value)
	assert.Equal(t, value, "Bearer "+whole.SampleToken)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, strings.Contains(string(body), "event: end"), string(body))
	cancel()
	assert.NilError(t, <-ended)
}

func TestUpRefusesUnknownLogLevel(t *testing.T) {
	root := devel.New()
	root.SetArgs([]string{"up", "--log-level", "loud"})
	root.SetOut(io.Discard)
	root.SetErr(io.Discard)
	assert.Equal(t, exit.Of(root.ExecuteContext(t.Context())), exit.Usage)
}
