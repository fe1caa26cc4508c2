package bound

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
)

// Transport sends requests with the transport of net/http and applies the rules of ReadHead to what it
// reads. That transport has unfolded folded lines and has dropped Transfer-Encoding in HTTP/1.0.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport.
func NewTransport(t *http.Transport) *Transport { return &Transport{Transport: t} }

// RoundTrip implements http.RoundTripper. It fails with an InvalidHeadError for a head that is not
// allowed. The body of an answer that only the end of the connection ends fails with an UnfinishedError if
// that comes before the request was written.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var written chan error
	if request.Body != nil && request.Body != http.NoBody {
		written = make(chan error, 1)
		trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case written <- info.Err:
			default: // an earlier try has failed, too
			}
		}}
		request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	}
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if written != nil && !IsFramed(response) {
		response.Body = &uploadBody{ReadCloser: response.Body, request: request, written: written}
	}
	return response, nil
}

// CheckResponse returns an InvalidHeadError for an answer, read by net/http, that ReadHead refuses.
func CheckResponse(response *http.Response) error {
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
		return invalidHead(reasonStatus, response.Status)
	}
	for name, values := range response.Header {
		if !validName(name) {
			return invalidHead(reasonName, name)
		}
		for _, value := range values {
			if !validValue(value) {
				return invalidHead(reasonValue, name+": "+value)
			}
		}
	}
	return nil
}

// IsFramed reports whether something else than the end of the connection ends an answer.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody ||
		response.Uncompressed || response.ProtoMajor > 1
}

// UnfinishedError is returned instead of the end of an answer that only the end of the connection
// ends, if the request was not written before.
type UnfinishedError struct {
	Cause error
}

// Error implements error.
func (e *UnfinishedError) Error() string {
	return fmt.Sprintf("the connection ended before the request was written, and no length shows that the answer is whole: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnfinishedError) Unwrap() error { return e.Cause }

// uploadBody is the body of an answer to a request with a body.
type uploadBody struct {
	io.ReadCloser
	request *http.Request
	written chan error
	err     error
}

// Read implements io.Reader.
func (b *uploadBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.Close() // closes the connection, which ends the write
		select {
		case cause := <-b.written:
			if cause != nil {
				err = &UnfinishedError{Cause: cause}
			}
		case <-b.request.Context().Done():
			err = b.request.Context().Err()
		}
	}
	b.err = err
	return n, err
}
