package conn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Reply is an answer whose body is still to be read. Callers must call Finish.
type Reply struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Framed is set if a length or chunks state where the body ends. Otherwise the end of the
	// connection ends it, also where the endpoint broke off.
	Framed bool
	Body   io.Reader

	group    *Group
	conn     *conn
	stop     func() bool
	written  chan writeResult
	eof      *eofReader
	reusable bool
	// bodiless is set if the answer has no body by its status or by the method of the request.
	bodiless bool
	// noAnswer is set if nothing that came can be the start of an answer to the request.
	noAnswer bool
	// answered is set once the head of the answer has been read.
	answered atomic.Bool
}

// writeResult is the result of writing a request.
type writeResult struct {
	err error
}

func (r *Reply) exchange(request *Request) error {
	if err := r.send(request); err != nil {
		r.noAnswer = true
		return err
	}
	for range maxStrays + 1 {
		response, err := r.readHead(request) //nolint:bodyclose // Finish closes the connection or returns it to the group
		if err != nil {
			return err
		}
		if request.VerifyFunc != nil {
			if accepted, err := r.verify(request, response); accepted || err != nil {
				return err
			}
			continue
		}
		if request.MatchFunc == nil || request.MatchFunc(response.Header, r.conn.fresh) {
			r.setResponse(request, response)
			return nil
		}
		// Skip the answer to another request. The connection is not reused
		// afterwards, because more such answers may follow.
		r.conn.sawStray = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil {
			return err
		}
	}
	r.noAnswer = request.VerifyFunc != nil
	return &StrayError{}
}

// send writes head and body. A large request is written by a goroutine, which
// Finish waits for.
func (r *Reply) send(request *Request) error {
	if len(request.Head)+len(request.Body) <= inlineBytes {
		_, err := r.conn.Write(append(request.Head, request.Body...))
		return err
	}
	r.written = make(chan writeResult, 1)
	go func() {
		err := r.group.push.Write(r.conn.Conn, r.answered.Load, net.Buffers{request.Head, request.Body})
		r.written <- writeResult{err: err}
	}()
	return nil
}

func (r *Reply) readHead(request *Request) (*http.Response, error) {
	r.conn.reader.Limit()
	defer r.conn.reader.Unlimit()
	for {
		if err := r.awaitByte(request); err != nil {
			return nil, err
		}
		response, err := r.conn.reader.ReadHead(&http.Request{Method: request.Method})
		if err != nil {
			return nil, r.headError(request, err)
		}
		if !bound.IsFinal(response) {
			continue
		}
		if !bound.IsFramed(response) {
			response.Body = &unframedBody{ReadCloser: response.Body, reply: r}
		}
		return response, nil
	}
}

// awaitByte waits for the first byte of an answer.
func (r *Reply) awaitByte(request *Request) error {
	_, err := r.conn.reader.Peek(1)
	if err != nil {
		r.noAnswer = true
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	start, _ := r.conn.reader.Peek(min(r.conn.reader.Buffered(), len(answerStart))) // the bytes are buffered
	if strings.HasPrefix(answerStart, string(start)) {
		return nil
	}
	// Other bytes may contain no end of a line, for which the read of a head would wait.
	if request.VerifyFunc == nil {
		r.noAnswer = true
		return errNoAnswer
	}
	return r.malformed(errNoAnswer)
}

// answerStart is how each answer begins.
const answerStart = "HTTP/1."

func (r *Reply) setResponse(request *Request, response *http.Response) {
	r.answered.Store(true)
	r.Status, r.Header, r.Length = response.StatusCode, response.Header, response.ContentLength
	r.eof = &eofReader{from: response.Body}
	r.Body = r.eof
	r.Framed = bound.IsFramed(response)
	r.reusable = r.Framed && !response.Close && !r.conn.sawStray && !r.conn.spare
	r.eof.sawEOF = response.Body == http.NoBody
	r.bodiless = r.eof.sawEOF && (r.Length != 0 || response.StatusCode == http.StatusNoContent)
	now := r.group.clock.Now()
	r.conn.expiresAt, r.conn.closesAt = now+defaultIdle, 0
	if timeout, stated := keepAlive(response.Header); stated {
		r.conn.closesAt = now + timeout
		r.conn.expiresAt = r.conn.closesAt - request.margin()
	}
}

// keepAlive returns the idle timeout that the endpoint announces.
func keepAlive(header http.Header) (timeout clock.Millis, stated bool) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return clock.Millis(seconds) * clock.Second, true
		}
	}
	return 0, false
}

// Complete reports whether the body was read to its end. If nothing but the end of the connection
// ends the answer, unframedBody decides.
func (r *Reply) Complete() bool { return r.eof != nil && r.eof.sawEOF }

// LengthValues returns the values of Content-Length for an answer of which a body of a size was read.
// An answer without a body, to HEAD or with status 204 or 304, has the length that the endpoint states,
// if any, which isn't that of what was read.
func (r *Reply) LengthValues(read int) []string {
	switch {
	case !r.bodiless:
		return []string{strconv.Itoa(read)}
	case r.Length > 0:
		return []string{strconv.FormatInt(r.Length, 10)}
	}
	return nil
}

// Finish returns the connection to the group if it is reusable, or closes it. A
// connection is reusable if the request was written and the answer read
// completely, and no further bytes have arrived.
func (r *Reply) Finish() {
	stopped := r.stop == nil || r.stop()
	surplus := r.conn.reader.Buffered() > 0
	if surplus && r.conn.verified && r.Complete() {
		r.group.distrust(causeSurplus)
	}
	reusable := stopped && r.Complete() && r.reusable && !surplus
	if reusable && r.written != nil {
		select {
		case result := <-r.written:
			reusable = result.err == nil
			r.written = nil
		default:
			reusable = false
		}
	}
	// Where only the end of the connection ends an answer, it doesn't tell whether the process has ended.
	failed := r.eof == nil || r.eof.failed || !r.Framed
	r.group.release(r.conn, reusable, stopped && failed)
	if r.written != nil {
		<-r.written // the write ends because the connection is closed
	}
}

// eofReader records that the end of a body was reached, or that it can't be read.
type eofReader struct {
	from           io.Reader
	sawEOF, failed bool
}

// Read implements io.Reader.
func (e *eofReader) Read(p []byte) (int, error) {
	n, err := e.from.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		e.sawEOF = true
	case err != nil:
		e.failed = true
	}
	return n, err
}

// unframedBody is the body of an answer that only the end of the connection ends.
type unframedBody struct {
	io.ReadCloser
	reply *Reply
	err   error
}

// Read implements io.Reader. It returns a bound.UnfinishedError instead of io.EOF if the write of the request
// has failed or not ended: a reset is reported once, and if the write gets it, the read sees an ordinary end.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.reply.written != nil {
		_ = b.reply.conn.Close() // ends the write; a request that was written before is sent nevertheless
		result := <-b.reply.written
		b.reply.written = nil
		if result.err != nil {
			err = &bound.UnfinishedError{Cause: result.err}
		}
	}
	b.err = err
	return n, err
}
