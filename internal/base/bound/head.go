package bound

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// InvalidHeadError is returned for a head or a trailer of an answer that RFC 9110 and 9112 don't allow.
type InvalidHeadError struct {
	// Reason states the rule, Line the start of the line that breaks it.
	Reason, Line string
}

// Error implements error. It leaves out the line, because callers get the text of an error.
func (e *InvalidHeadError) Error() string { return "the head of the answer is invalid: " + e.Reason }

// InvalidLine returns the start of the line that breaks a rule, for logs. It is empty if err is no
// InvalidHeadError.
func InvalidLine(err error) string {
	var invalid *InvalidHeadError
	if errors.As(err, &invalid) {
		return invalid.Line
	}
	return ""
}

// maxStatus is the highest status of an answer (RFC 9110, 15).
const maxStatus = 599

// Reasons of an InvalidHeadError.
const (
	reasonStatus = "status not from 100 to 599"
	reasonName   = "name of a field is no token"
	reasonValue  = "control byte in a value"
)

func invalidHead[T string | []byte](reason string, line T) *InvalidHeadError {
	const maxLogged = 100
	return &InvalidHeadError{Reason: reason, Line: string(line[:min(len(line), maxLogged)])}
}

// ReadHead reads the head of an answer, which may be an informational one. It returns an
// InvalidHeadError for a head that RFC 9110 and 9112 don't allow, and a HeadError if more bytes than
// Limit allows would have to be read. The parser of net/http isn't used because it accepts blanks in
// names, any three digits as a status, and folded lines.
func (r *Reader) ReadHead(request *http.Request) (*http.Response, error) {
	line, err := r.readLine()
	if err != nil {
		return nil, err
	}
	response, err := parseStatus(line)
	if err != nil {
		return nil, err
	}
	response.Request = request
	if response.Header, err = r.readFields(); err != nil {
		return nil, err
	}
	response.Close = closes(response)
	return response, r.frame(response)
}

// readLine reads a line and returns it without its end. The result is valid until the next read. A
// single line feed also ends a line (RFC 9112, 2.2).
func (r *Reader) readLine() ([]byte, error) {
	var long []byte // a line that is longer than the buffer
	for {
		part, err := r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		full := errors.Is(err, errBufferFull)
		if err != nil && !full {
			return nil, err
		}
		if full || long != nil {
			long = append(long, part...)
			part = long
		}
		if !full {
			return bytes.TrimSuffix(part[:len(part)-1], []byte{'\r'}), nil
		}
	}
}

// parseStatus parses a status line. The blank after the status may be missing if no reason follows.
func parseStatus(line []byte) (*http.Response, error) {
	const version, status = len("HTTP/1.1"), len("HTTP/1.1 200")
	switch {
	case len(line) < status || !bytes.HasPrefix(line, []byte("HTTP/1.")) || !isDigit(line[version-1]) || line[version] != ' ':
		return nil, invalidHead("status line", line)
	case line[version+1] < '1' || line[version+1] > '5' || !isDigit(line[version+2]) || !isDigit(line[version+3]):
		return nil, invalidHead(reasonStatus, line)
	case len(line) > status && (line[status] != ' ' || !validValue(line[status:])):
		return nil, invalidHead("reason of the status", line)
	}
	code, _ := strconv.Atoi(string(line[version+1 : status])) // digits
	if code == http.StatusSwitchingProtocols {
		return nil, invalidHead("switches to a protocol that was not requested", line)
	}
	return &http.Response{
		Status: string(line[version+1:]), StatusCode: code,
		Proto: string(line[:version]), ProtoMajor: 1, ProtoMinor: int(line[version-1] - '0'),
	}, nil
}

// readFields reads the lines of a head or a trailer up to the blank one.
func (r *Reader) readFields() (http.Header, error) {
	header := make(http.Header)
	for {
		read, err := r.readLine()
		if err != nil || len(read) == 0 {
			return header, err
		}
		line := string(read)
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		switch {
		case line[0] == ' ' || line[0] == '\t':
			return nil, invalidHead("folded line", line)
		case !found:
			return nil, invalidHead("line without a colon", line)
		case !validName(name):
			return nil, invalidHead(reasonName, line)
		case !validValue(value):
			return nil, invalidHead(reasonValue, line)
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		header[key] = append(header[key], value)
	}
}

// validName reports whether the name of a field is a token (RFC 9110, 5.6.2).
func validName(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && !isDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// validValue reports whether a value holds no control byte but tabs.
func validValue[T string | []byte](value T) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// closes reports whether the endpoint closes the connection after an answer.
func closes(response *http.Response) bool {
	keeps := false
	for _, line := range response.Header["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			token = strings.Trim(token, " \t")
			if strings.EqualFold(token, "close") {
				return true
			}
			keeps = keeps || strings.EqualFold(token, "keep-alive")
		}
	}
	return response.ProtoMinor == 0 && !keeps
}

// frame sets the body of an answer by RFC 9112, 6.3. An answer that states both a length and chunks,
// different lengths, or a coding other than chunks is invalid: readers would disagree on its end.
func (r *Reader) frame(response *http.Response) error {
	length, err := statedLength(response.Header)
	if err != nil {
		return err
	}
	codings, chunked := response.Header["Transfer-Encoding"]
	bodiless := !IsFinal(response) || response.StatusCode == http.StatusNoContent
	switch {
	case chunked && (len(codings) > 1 || !strings.EqualFold(codings[0], "chunked")):
		return invalidHead("Transfer-Encoding other than chunked", strings.Join(codings, ","))
	case chunked && (length >= 0 || response.ProtoMinor == 0 || bodiless):
		return invalidHead("Transfer-Encoding beside a length, in HTTP/1.0 or without a body", response.Status)
	case bodiless && length > 0:
		return invalidHead("Content-Length without a body", response.Status)
	case bodiless:
		length = 0
	case chunked:
		response.TransferEncoding = codings
	}
	response.ContentLength = length
	response.Body = r.body(response)
	return nil
}

// body returns the body of an answer whose head is valid.
func (r *Reader) body(response *http.Response) io.ReadCloser {
	head := response.Request != nil && response.Request.Method == http.MethodHead
	switch {
	case head || response.StatusCode == http.StatusNotModified || response.ContentLength == 0:
		return http.NoBody
	case response.TransferEncoding != nil:
		return newChunkedBody(r)
	case response.ContentLength > 0:
		return &fixedBody{from: r.Reader, left: response.ContentLength}
	}
	return io.NopCloser(r.Reader)
}

// statedLength returns the length that the head states, -1 if it states none. A length may be stated
// several times if all are the same (RFC 9110, 8.6).
func statedLength(header http.Header) (int64, error) {
	length := int64(-1)
	for _, line := range header["Content-Length"] {
		for text := range strings.SplitSeq(line, ",") {
			text = strings.Trim(text, " \t")
			stated, err := strconv.ParseInt(text, 10, 64)
			if err != nil || !isDigit(text[0]) || length >= 0 && stated != length {
				return 0, invalidHead("Content-Length", strings.Join(header["Content-Length"], ","))
			}
			length = stated
		}
	}
	return length, nil
}
