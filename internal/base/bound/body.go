package bound

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// errBufferFull is returned for a line that is longer than the buffer.
var errBufferFull = bufio.ErrBufferFull

// fixedBody is a body of a stated length.
type fixedBody struct {
	from *bufio.Reader
	left int64
}

// Read implements io.Reader. The last bytes come with io.EOF, so that a caller who has read the whole
// body knows it.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.from.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Close implements io.Closer.
func (b *fixedBody) Close() error { return nil }

// chunkedBody is a body in chunks with its trailer, which is checked and dropped.
type chunkedBody struct {
	reader *Reader
	chunks io.Reader
	err    error
}

func newChunkedBody(r *Reader) *chunkedBody {
	return &chunkedBody{reader: r, chunks: httputil.NewChunkedReader(r.Reader)}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		b.reader.Limit()
		defer b.reader.Unlimit()
		if _, invalid := b.reader.readFields(); invalid != nil {
			err = invalid
		}
	}
	b.err = err
	return n, err
}

// Close implements io.Closer.
func (b *chunkedBody) Close() error { return nil }
