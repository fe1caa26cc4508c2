package conn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Reply is an answer whose body is still to be read. End it with Finish.
type Reply struct {
	Status int
	Header http.Header
	// Length of the body, -1 when it isn't known beforehand.
	Length int64
	Body   io.Reader

	group   *Group
	conn    *conn
	stop    func() bool
	written chan writeEnd
	eof     *endReader
	keeps   bool
}

// writeEnd is how the writing of a request ended.
type writeEnd struct {
	err error
}

func (r *Reply) exchange(request *Request) error {
	if err := r.send(request); err != nil {
		return err
	}
	for range maxStrays + 1 {
		response, err := r.readHead(request.Method) //nolint:bodyclose // Finish closes the connection, or gives it back after the body
		if err != nil {
			return err
		}
		if request.MatchFunc == nil || request.MatchFunc(response.Header, r.conn.fresh) {
			r.begin(response)
			return nil
		}
		// What belongs to another request is read over. The connection is not
		// used again afterwards, because more may follow.
		r.conn.spoiled = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil {
			return err
		}
	}
	return &StrayError{}
}

// send writes head and body. A large request is written by a goroutine, whose
// end Finish awaits.
func (r *Reply) send(request *Request) error {
	if len(request.Head)+len(request.Body) <= inlineBytes {
		_, err := r.conn.Write(append(request.Head, request.Body...))
		return err
	}
	r.written = make(chan writeEnd, 1)
	go func() {
		buffers := net.Buffers{request.Head, request.Body}
		_, err := buffers.WriteTo(r.conn.Conn)
		r.written <- writeEnd{err: err}
	}()
	return nil
}

func (r *Reply) readHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

func (r *Reply) begin(response *http.Response) {
	r.Status, r.Header, r.Length = response.StatusCode, response.Header, response.ContentLength
	r.eof = &endReader{from: response.Body}
	r.Body = r.eof
	chunked := len(response.TransferEncoding) > 0
	noBody := response.ContentLength == 0 || response.Body == http.NoBody
	framed := response.ContentLength >= 0 || chunked || noBody
	r.keeps = framed && !response.Close && !r.conn.spoiled
	if noBody {
		r.eof.ended = true
	}
	r.conn.until = r.group.clock.Now() + keepAlive(response.Header)
}

// keepAlive returns how long the endpoint keeps the connection open unused,
// less a margin.
func keepAlive(header http.Header) clock.Millis {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return max(clock.Millis(seconds)*clock.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}

// Complete reports whether the body was read to its end.
func (r *Reply) Complete() bool { return r.eof != nil && r.eof.ended }

// Finish gives the connection back if it is sound, or closes it. A connection
// is sound when the request was written whole and its answer read whole, and
// not a byte came beyond.
func (r *Reply) Finish() {
	stopped := r.stop == nil || r.stop()
	sound := stopped && r.Complete() && r.keeps && r.conn.reader.Buffered() == 0
	if sound && r.written != nil {
		select {
		case end := <-r.written:
			sound = end.err == nil
			r.written = nil
		default:
			sound = false
		}
	}
	r.group.put(r.conn, sound)
	if r.written != nil {
		<-r.written // the closed connection ends the writing
	}
}

// endReader notices the end of a body.
type endReader struct {
	from  io.Reader
	ended bool
}

// Read implements io.Reader.
func (e *endReader) Read(p []byte) (int, error) {
	n, err := e.from.Read(p)
	if errors.Is(err, io.EOF) {
		e.ended = true
	}
	return n, err
}
