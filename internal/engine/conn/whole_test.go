package conn_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/engine/conn"
)

// upload returns a request with a body of a size.
func upload(id string, bytes int) *conn.Request {
	r := request(id)
	r.Head = []byte(strings.Replace(string(r.Head), "Content-Length: 0", "Content-Length: "+strconv.Itoa(bytes), 1))
	r.Body = make([]byte, bytes)
	return r
}

// skipHead reads the head of a request and leaves its body.
func skipHead(r *bufio.Reader) {
	_, _ = http.ReadRequest(r) // the body is read from r
}

const unframedHead = "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n"

// Guards against a part that is taken for a whole answer: the goroutine that writes the request gets
// the error of a reset, and the one that reads an answer without length gets an ordinary end.
func TestAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	const size, count = 8 << 20, 20
	for _, part := range []int{1000, 30_000} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond} {
			for _, pause := range []time.Duration{0, 60 * time.Millisecond} {
				t.Run(fmt.Sprintf("part %d reset after %s reader pauses %s", part, delay, pause), func(t *testing.T) {
					t.Parallel()
					whole := 0
					address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
						skipHead(r)
						_, _ = io.WriteString(c, unframedHead+strings.Repeat("a", part))
						_ = c.SetReadDeadline(time.Now().Add(delay))
						_, _ = io.CopyN(io.Discard, r, size/4)
						_ = c.(*net.TCPConn).SetLinger(0)
					})
					for range count {
						reply, err := conn.New(address).Do(t.Context(), upload("a", size))
						if err != nil {
							continue
						}
						time.Sleep(pause)
						if _, err = io.ReadAll(reply.Body); err == nil || reply.Complete() {
							whole++
						}
						reply.Finish()
					}
					assert.Equal(t, whole, 0, "whole answers of %d", count)
				})
			}
		}
	}
}

// Guards against an answer without length that counts as whole while its request is still being written,
// and against a wait for an endpoint that has ended its answer and doesn't read the request.
func TestAnswerWithoutLengthThatEndsDuringTheUploadIsNotWhole(t *testing.T) {
	for ending, end := range endings {
		t.Run(ending, func(t *testing.T) {
			t.Parallel()
			address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
				skipHead(r)
				_, _ = io.WriteString(c, unframedHead+"part")
				if ending == "half closed" {
					_ = c.(*net.TCPConn).CloseWrite()
					<-t.Context().Done()
					return
				}
				end(c)
			})
			reply, err := conn.New(address).Do(t.Context(), upload("a", 8<<20))
			if err != nil {
				return // the reset was read before the head
			}
			defer reply.Finish()
			_, err = io.ReadAll(reply.Body)
			assert.Assert(t, err != nil && !reply.Complete(), "%v", err)
		})
	}
}

// Guards against sound answers that are refused because they come early or end with their connection.
func TestSoundEarlyAndUnframedAnswersAreWhole(t *testing.T) {
	for name, c := range map[string]struct {
		size    int
		upload  bool // whether the endpoint reads the request first
		text    string
		wantEnd string
	}{
		"early 413 with length":         {8 << 20, false, "HTTP/1.1 413 Too Large\r\nId: a\r\nContent-Length: 3\r\nConnection: close\r\n\r\nbig", "big"},
		"early 400 with chunks":         {8 << 20, false, "HTTP/1.1 400 Bad\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n", "bad"},
		"HTTP/1.0 after a long upload":  {8 << 20, true, "HTTP/1.0 200 OK\r\nId: a\r\n\r\nold", "old"},
		"HTTP/1.0 after a short upload": {100, true, "HTTP/1.0 200 OK\r\nId: a\r\n\r\nold", "old"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := endpoint(t, func(_ int, connection net.Conn, r *bufio.Reader) {
				if c.upload {
					_, _ = readRequest(r)
				} else {
					skipHead(r)
				}
				_, _ = io.WriteString(connection, c.text)
				if !c.upload {
					_ = connection.(*net.TCPConn).CloseWrite()
					_, _ = io.Copy(io.Discard, r)
				}
			})
			for range 20 {
				reply, err := conn.New(address).Do(t.Context(), upload("a", c.size))
				assert.NilError(t, err)
				body, err := io.ReadAll(reply.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), c.wantEnd)
				assert.Assert(t, reply.Complete())
				reply.Finish()
			}
		})
	}
}

// Guards against a part of the answer of a stage engine that is verified as a whole one, because it was
// reset while the call was being written.
func TestVerifiedAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	const size, count = 8 << 20, 20
	address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		skipHead(r)
		_, _ = io.WriteString(c, unframedHead+"part")
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		_, _ = io.CopyN(io.Discard, r, size/4)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for range count {
		r := upload("a", size)
		r.MatchFunc, r.MaxBytes = nil, 100
		r.VerifyFunc = func(int, http.Header, []byte) conn.Verdict { return conn.Unique }
		reply, err := conn.New(address).Do(t.Context(), r)
		var sent *conn.SentError
		assert.Check(t, errors.As(err, &sent), "%v", err)
		if err == nil {
			reply.Finish()
		}
	}
}
