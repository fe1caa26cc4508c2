package record_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/ops/record"
)

const lines = `
time=2026-03-01T10:00:00.000Z level=info msg="endpoint changed" process=gw-2 endpoint=i-7 what=leaving pool=models
time=2026-03-01T10:00:04.100Z level=info msg="endpoint changed" process=gw-1 endpoint=i-7 what=gone pool=models
time=2026-03-01T10:00:04.050Z level=info msg="stage refused" process=gw-1 request=5f pool=encode reason=inputGone
collector-3 | time=2026-03-01T10:00:04.200Z level=info msg="request ended" process=gw-1 request=5f status=503 reason=noEndpoint endpoint=i-7
time=2026-03-01T10:00:04.000Z level=info msg="request sent" process=gw-1 request=5f endpoint=i-7 sent=0
time=2026-03-01T10:00:04.060Z level=info msg="pieces made" process=gw-2 request=5f pool=encode failed="map[inputGone:1]"
time=2026-03-01T10:00:04.300Z level=info msg="endpoint changed" process=gw-1 endpoint=i-7 what=joined pool=models
time=2026-03-01T10:00:04.010Z level=info msg="request sent" process=gw-1 request=5f0 endpoint=i-8
time=2026-03-01T10:00:03.000Z level=info msg="endpoint changed" process=gw-1 endpoint=i-8 what=gone pool=models
5f is not a line of a log
`

func ExampleRead() {
	history, err := record.Read(strings.NewReader(lines), "5f")
	for _, line := range history.Lines {
		fmt.Println(line.Time.Format("05.000"), line.Process, line.Message+":", line.Value("endpoint")+line.Value("pool"))
	}
	fmt.Println(history.Skipped, err)
	// Output:
	// 00.000 gw-2 endpoint changed: i-7models
	// 04.000 gw-1 request sent: i-7
	// 04.050 gw-1 stage refused: encode
	// 04.060 gw-2 pieces made: encode
	// 04.100 gw-1 endpoint changed: i-7models
	// 04.200 gw-1 request ended: i-7
	// 1 <nil>
}

// Guards against an attempt whose history doesn't show where its stream went on.
func TestHistoryHasTheResumptionsOfAStream(t *testing.T) {
	const text = `
time=2026-03-01T10:00:00Z level=info msg="request sent" process=gw-1 request=5f endpoint=i-7 version=v1
time=2026-03-01T10:00:02Z level=info msg="stream origin" process=gw-2 request=60 resumes=5f result=known firstVersion=v1 source=gw-3 ageMs=1900
time=2026-03-01T10:00:02Z level=info msg="request sent" process=gw-2 request=60 endpoint=i-8 version=v1
time=2026-03-01T10:00:03Z level=info msg="stream resumed" process=gw-2 request=60 resumes=5f version=v1 compared=same
`
	first, err := record.Read(strings.NewReader(text), "5f")
	assert.NilError(t, err)
	assert.Equal(t, len(first.Lines), 3)
	assert.Equal(t, first.Lines[1].Value("source"), "gw-3")
	second, err := record.Read(strings.NewReader(text), "60")
	assert.NilError(t, err)
	assert.Equal(t, len(second.Lines), 3)
}

// Guards against a refused request whose history doesn't show the limit that it was refused
// for, because that had begun long before.
func TestHistoryHasTheLimitInForce(t *testing.T) {
	const text = `
time=2026-03-01T10:00:00Z level=info msg="endpoint limit began" process=gw-1 endpoint=i-7 limit=5
time=2026-03-01T10:01:00Z level=info msg="endpoint limit changed" process=gw-1 endpoint=i-7 limit=1
time=2026-03-01T10:01:00Z level=info msg="endpoint limit began" process=gw-1 endpoint=i-8 limit=3
time=2026-03-01T10:05:00Z level=info msg="request rate limited" process=gw-1 request=5f endpoint=i-7 waitMs=900
time=2026-03-01T10:06:00Z level=info msg="endpoint limit ended" process=gw-1 endpoint=i-7 limit=0
`
	history, err := record.Read(strings.NewReader(text), "5f")
	assert.NilError(t, err)
	assert.Equal(t, len(history.Lines), 2)
	assert.Equal(t, history.Lines[0].Message, "endpoint limit changed")
	assert.Equal(t, history.Lines[0].Value("limit"), "1")
}

// Guards against lines of the product's own logger that can't be parsed, or are
// parsed only in part, because values contain spaces and quotes.
func TestLinesOfOwnLoggerAreParsed(t *testing.T) {
	var out bytes.Buffer
	logger, err := logs.New(&out, "info", logs.KeyProcess, "gw-1")
	assert.NilError(t, err)
	logger.Info("request ended", logs.KeyRequest, "5f", "detail", `the stages' "queues" are too long`, "status", 503)
	history, err := record.Read(&out, "5f")
	assert.NilError(t, err)
	assert.Equal(t, len(history.Lines), 1)
	assert.Equal(t, history.Lines[0].Value("detail"), `the stages' "queues" are too long`)
	assert.Equal(t, history.Lines[0].Value("status"), "503")
	assert.Equal(t, history.Lines[0].Process, "gw-1")
}

// Guards against logs on which Read panics or hangs, and against lines of other
// requests in a history.
func FuzzRead(f *testing.F) {
	f.Add(lines, "5f")
	f.Add("time=x level= msg=\"", "")
	f.Fuzz(func(t *testing.T, text, request string) {
		history, err := record.Read(strings.NewReader(text), request)
		if err != nil {
			return // a line is too long
		}
		for _, line := range history.Lines {
			resumes := request != "" && line.Value("resumes") == request
			if !line.Related && line.Value(logs.KeyRequest) != request && !resumes {
				t.Fatalf("%+v", line)
			}
		}
	})
}
