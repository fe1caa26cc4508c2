package conn_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/engine/conn"
)

// endings are the ways in which an endpoint ends a connection.
var endings = map[string]func(c net.Conn){
	"closed": func(net.Conn) {},
	"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
	"half closed": func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c) // until the caller closes
	},
}

// Guards against an answer that is framed as whole although its head ended in the middle.
func TestHeadThatEndsInTheMiddleIsNoAnswer(t *testing.T) {
	heads := map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\nMore: yes\r\n\r\n",
		"chunks":        "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"neither":       "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n",
		"old version":   "HTTP/1.0 200 OK\r\nId: a\r\n\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
		"not modified":  "HTTP/1.1 304 Not Modified\r\nId: a\r\n\r\n",
		"lines":         "HTTP/1.1 200 OK\nId: a\nContent-Length: 10\n\n",
		"informational": "HTTP/1.1 103 Early Hints\r\nLink: b\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\n",
	}
	for head, text := range heads {
		for ending, end := range endings {
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
				for _, verified := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s %s %s verified=%t", head, ending, method, verified), func(t *testing.T) {
						t.Parallel()
						for cut := 1; cut < len(text); cut++ {
							address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
								_, _ = readRequest(r)
								_, _ = c.Write([]byte(text[:cut]))
								end(c)
							})
							r := request("a")
							r.Method, r.Head = method, []byte(strings.Replace(string(r.Head), "POST", method, 1))
							if verified {
								r.MatchFunc, r.VerifyFunc, r.MaxBytes = nil, verdictOf, 100
							}
							reply, err := conn.New(address).Do(t.Context(), r)
							if err == nil {
								reply.Finish()
							}
							var sent *conn.SentError
							assert.Assert(t, errors.As(err, &sent), "cut at byte %d of %d, %q: %v", cut, len(text), text[:cut], err)
						}
					})
				}
			}
		}
	}
}
