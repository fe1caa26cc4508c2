package mixed_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

var (
	draws = flag.Int("draws", 400, "drawn answers")
	seed  = flag.Uint64("seed", 84, "seed of the drawn answers")
)

// choice is a part of an answer and whether RFC 9110 and 9112 allow it.
type choice struct {
	text  string
	valid bool
}

// pick returns a valid choice in four of five cases.
func pick(r *rand.Rand, valid, invalid []string) choice {
	if r.IntN(5) > 0 {
		return choice{valid[r.IntN(len(valid))], true}
	}
	return choice{invalid[r.IntN(len(invalid))], false}
}

// drawn is an answer and the way in which it is sent.
type drawn struct {
	version, status, field choice
	framing                string
	// upload is the size of the request in bytes, body the least size of the answer's body.
	upload, body int
	// cut is set if the last byte is not sent.
	cut            bool
	ending, timing string
}

func draw(r *rand.Rand) *drawn {
	d := &drawn{
		version: pick(r, []string{"HTTP/1.1", "HTTP/1.1", "HTTP/1.0"}, []string{"HTTP/2.0", "HTTP/1", "HTTP/1.1 "}),
		status:  pick(r, []string{"200", "200", "200", "201", "204", "304", "404", "413", "500"}, []string{"000", "099", "101", "600", "1000", "20", "2x0"}),
		field: pick(r, []string{"X-Odd: a", "X-Odd:\ta \t", "X-Odd:", "x!#$%&'*+-.^_`|~9: a\tb\x80"},
			[]string{"X-Odd : a", "X Odd: a", "X\x01Odd: a", "X\x7fOdd: a", "X\x80Odd: a", ": a", "X-Odd", "X-Odd: a\x00", "X-Odd: a\rb", "X-Odd: a\r\n b", " X-Odd: a"}),
		framing: []string{"length", "length", "chunks", "neither", "neither", "lengths", "differing lengths", "length and chunks", "coding", "blank and length", "sign"}[r.IntN(11)],
		upload:  []int{0, 100, 5000, 100_000, 1 << 20, 4 << 20, 8 << 20}[r.IntN(7)],
		body:    []int{1000, 30_000, 300_000}[r.IntN(3)],
		cut:     r.IntN(4) == 0,
		ending:  []string{"closed", "half closed", "reset", "silent"}[r.IntN(4)],
		timing:  []string{"before", "during", "after", "after"}[r.IntN(4)],
	}
	if d.ending == "silent" && r.IntN(4) > 0 {
		d.ending = "closed" // each silent one takes the time of a deadline
	}
	return d
}

func (d *drawn) bodiless() bool { return d.status.text == "204" || d.status.text == "304" }

// valid reports whether the head is one that RFC 9110 and 9112 allow.
func (d *drawn) valid() bool {
	framed := d.framing == "length" || d.framing == "lengths" || d.framing == "neither" || d.framing == "chunks"
	switch {
	case d.framing == "chunks" && (d.version.text == "HTTP/1.0" || d.status.text == "204"), d.status.text == "204" && (d.framing == "length" || d.framing == "lengths"):
		return false
	}
	return framed && d.version.valid && d.status.valid && d.field.valid
}

// answer returns the head and the body as they are sent.
func (d *drawn) answer(id, body string) (head, sent string) {
	length := "Content-Length: " + strconv.Itoa(len(body))
	lines, chunks := "", false
	switch d.framing {
	case "length":
		lines = length + "\r\n"
	case "lengths":
		lines = length + "\r\n" + length + "\r\n"
	case "chunks":
		lines, chunks = "Transfer-Encoding: chunked\r\n", true
	case "differing lengths":
		lines = length + "\r\n" + length + "0\r\n"
	case "length and chunks":
		lines, chunks = length+"\r\nTransfer-Encoding: chunked\r\n", true
	case "coding":
		lines, chunks = "Transfer-Encoding: gzip, chunked\r\n", true
	case "blank and length":
		lines = strings.Replace(length, ":", " :", 1) + "\r\n"
	case "sign":
		lines = strings.Replace(length, ": ", ": +", 1) + "\r\n"
	}
	sent = body
	if chunks {
		sent = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	if d.bodiless() {
		sent = ""
	} else if d.cut {
		sent = sent[:len(sent)-1]
	}
	return d.version.text + " " + d.status.text + " Text\r\n" + stand.AnswerLines(id) + d.field.text + "\r\n" + lines + "\r\n", sent
}

// send answers a request.
func (d *drawn) send(c *net.TCPConn, r *bufio.Reader, request *http.Request, body string) {
	before := map[string]int64{"before": 0, "during": request.ContentLength / 2, "after": request.ContentLength}[d.timing]
	_, _ = io.CopyN(io.Discard, r, before)
	head, sent := d.answer(request.Header.Get(stand.HeaderRequest), body)
	_, _ = io.WriteString(c, head+sent)
	switch d.ending {
	case "half closed":
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r) // until the gateway closes
	case "reset":
		_ = c.SetLinger(0)
	case "silent":
		_, _ = io.Copy(io.Discard, r)
	}
}

// whole reports whether the answer is whole by what was sent, and sure whether it must be passed.
func (d *drawn) whole() (whole, sure bool) {
	inOrder := d.ending == "closed" || d.ending == "half closed"
	after := d.timing == "after" || d.upload == 0
	switch {
	case !d.valid():
		return false, false
	case d.bodiless():
		return true, after && d.ending != "reset"
	case d.framing == "neither":
		// What ends in the middle of an event is no whole stream; other bodies have no end of their own.
		return inOrder, inOrder && after && !d.cut
	}
	return !d.cut, !d.cut && after && d.ending != "reset"
}

// check returns what is wrong with what a caller got, empty if nothing.
func (d *drawn) check(kind string, got *outcome, body string) string {
	whole, sure := d.whole()
	want := body
	if d.bodiless() {
		want = ""
	} else if d.cut {
		want = body[:len(body)-1]
	}
	failed := got.err != nil || got.status == http.StatusBadGateway || (d.ending == "silent" && got.status == http.StatusGatewayTimeout)
	name, value, _ := strings.Cut(d.field.text, ":")
	switch {
	case failed && sure && d.status.text != "500":
		return "a sound answer failed"
	case failed:
		return ""
	case !whole:
		return "passed as whole"
	case strconv.Itoa(got.status) != d.status.text:
		return "another status"
	case string(got.body) != want && (kind != "stream" || d.cut):
		return "another body"
	case got.header.Get(name) != strings.Trim(value, " \t"):
		return "another field"
	}
	return ""
}

// Guards against answers that reach callers in part, changed, or with a head that isn't allowed, and against
// sound answers that fail. By hand: -draws 10000 -seed N.
func TestDrawnAnswersArePassedWholeOrFail(t *testing.T) {
	const workers = 4
	p := start(t, workers)
	var group sync.WaitGroup
	var passed, failed atomic.Int64
	for worker := range workers {
		group.Go(func() {
			r := rand.New(rand.NewPCG(*seed, uint64(worker))) //nolint:gosec // a test draws the same answers for a seed
			for range *draws / workers {
				d, e := draw(r), p.engines[worker*len(kinds)+r.IntN(len(kinds))]
				deadline := 6 * time.Second
				if d.ending == "silent" {
					deadline = 500 * time.Millisecond
				}
				got := p.sendWithin(t, e, http.MethodPost, d.upload, deadline, func(c *net.TCPConn, r *bufio.Reader, request *http.Request) {
					d.send(c, r, request, text(e, request.Header.Get(stand.HeaderRequest), d.body))
				})
				wrong := d.check(e.kind, &got, text(e, got.id, d.body))
				assert.Check(t, wrong == "", "%s: %s %+v\n%q %d bytes %v\n%s", wrong, e.kind, d, got.head, len(got.body), got.err, p.logged.lines(got.id))
				if got.err == nil && strconv.Itoa(got.status) == d.status.text {
					passed.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d answers passed, %d failed", passed.Load(), failed.Load())
	assert.Check(t, passed.Load() > int64(*draws)/10)
}
