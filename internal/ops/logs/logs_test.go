package logs_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

func ExampleNew() {
	var out bytes.Buffer
	logger, err := logs.New(&out, "info", logs.KeyProcess, "entry-1")
	if err != nil {
		fmt.Println(err)
		return
	}
	logger.Info("request refused", logs.KeyRequest, "5f", "reason", "queueFull")
	_, afterTime, _ := strings.Cut(out.String(), " ")
	_, _ = os.Stdout.WriteString(afterTime)
	// Output: level=info msg="request refused" process=entry-1 request=5f reason=queueFull
}

// Guards against forged log lines: data of a caller contains line breaks, and the
// text after a break would look like a line of its own.
func TestOneLineForEachEvent(t *testing.T) {
	var out bytes.Buffer
	logger, err := logs.New(&out, "debug")
	assert.NilError(t, err)
	logger.Warn("odd", "detail", "a\nlevel=error msg=\"forged\"")
	assert.Equal(t, strings.Count(out.String(), "\n"), 1, out.String())
}

func TestUnknownLevel(t *testing.T) {
	for _, level := range []string{"loud", "fatal", ""} {
		_, err := logs.New(&bytes.Buffer{}, level)
		var unknown *logs.LevelError
		assert.Assert(t, errors.As(err, &unknown), level)
	}
}
