package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"lapisspread/decision"
)

const (
	maxInterimResponses = 8                     // 1xx responses ahead of the final one
	readStallTimeout    = 10 * time.Second      // without a byte of a long response
	responseHoldback    = 25 * time.Millisecond // for a response of unknown length to end before it is passed on
)

// errInvalidResponse says that a backend sent something that can't be used as a response.
var errInvalidResponse = errors.New("a spoilt answer")

// readResponse reads the final response to a request. A short body is returned whole, a long one as a download.
func (c *conn) readResponse(req *http.Request) (*http.Response, []byte, *download, error) {
	for range maxInterimResponses + 1 {
		if err := c.awaitHead(); err != nil {
			return nil, nil, nil, err
		}
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, nil, nil, fmt.Errorf("%w: %w", errInvalidResponse, err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, nil, fmt.Errorf("%w: other protocols were not asked for", errInvalidResponse)
		}
		if resp.ProtoMajor != 1 || resp.StatusCode < http.StatusContinue {
			return nil, nil, nil, fmt.Errorf("%w: %s with status %q", errInvalidResponse, resp.Proto, resp.Status)
		}
		if resp.StatusCode >= http.StatusOK {
			body, stream, err := c.readResponseBody(resp)
			return resp, body, stream, err
		}
	}
	return nil, nil, nil, fmt.Errorf("%w: more than %d ahead of the answer", errInvalidResponse, maxInterimResponses)
}

// awaitHead blocks until a whole head is buffered, and checks its length headers. A head must fit into the buffer.
func (c *conn) awaitHead() error {
	lineStart := 0
	for {
		head, err := c.reader.Peek(c.reader.Buffered())
		for err == nil {
			end := bytes.IndexByte(head[lineStart:], '\n')
			if end < 0 {
				break
			}
			line := head[lineStart : lineStart+end+1]
			lineStart += len(line)
			if len(bytes.TrimRight(line, "\r\n")) == 0 {
				return validateLengthHeaders(head[:lineStart])
			}
		}
		if _, err = c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			return fmt.Errorf("reading an answer's head: %w", err)
		}
	}
}

// validateLengthHeaders rejects heads that don't give the body's length in exactly one way. net/http ignores a length
// beside an encoding, and an encoding in HTTP/1.0, whose chunk headers would be taken for the body.
func validateLengthHeaders(head []byte) error {
	lengths := 0
	encodings := 0
	for line := range bytes.Lines(head) {
		rawName, _, _ := bytes.Cut(line, []byte(":"))
		name := bytes.TrimSpace(rawName)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		default:
			continue
		}
		// net/http takes a name with spaces for another header, and would read up to the connection's end.
		if len(name) < len(rawName) {
			return fmt.Errorf("%w: there are spaces beside the name %s", errInvalidResponse, name)
		}
	}
	if lengths > 1 || lengths > 0 && encodings > 0 {
		return fmt.Errorf("%w: its length is told more than once", errInvalidResponse)
	}
	if encodings > 0 && bytes.HasPrefix(head, []byte("HTTP/1.0")) {
		return fmt.Errorf("%w: HTTP/1.0 has no encodings", errInvalidResponse)
	}
	return nil
}

// readResponseBody returns a short body whole, and a download for one that is long or of unknown length.
func (c *conn) readResponseBody(resp *http.Response) ([]byte, *download, error) {
	if resp.Request.Method == http.MethodHead {
		return nil, nil, nil
	}
	n := resp.ContentLength
	switch {
	case n > maxBodyBytes:
		return nil, nil, fmt.Errorf("%w: %d bytes are too many", errInvalidResponse, n)
	case n > maxBufferedBody:
		return nil, newDownload(n, &boundedReader{source: resp.Body, conn: c}), nil
	case n >= 0:
		body := make([]byte, n)
		if _, err := io.ReadFull(resp.Body, body); err != nil && (n != 0 || !errors.Is(err, io.EOF)) {
			return nil, nil, fmt.Errorf("reading an answer: %w", err)
		}
		return body, nil, nil
	}
	return c.readUnknownLength(resp)
}

// readUnknownLength waits for responseHoldback whether the body ends soon, and streams it otherwise. A rejection is
// waited for longer: it is never passed on, and only a complete one proves that the request did not run.
func (c *conn) readUnknownLength(resp *http.Response) ([]byte, *download, error) {
	holdback := time.Duration(responseHoldback)
	if responseResult(resp) == decision.Rejected {
		holdback = readStallTimeout
	}
	source := startPrefetch(&boundedReader{source: resp.Body, conn: c})
	body, complete, err := source.waitForEnd(holdback)
	switch {
	case err != nil:
		source.close()
		return nil, nil, fmt.Errorf("reading an answer: %w", err)
	case complete:
		c.limitRead(time.Time{})
		return body, nil, nil
	}
	stream := newDownload(-1, source)
	stream.closeBody = source.close
	return nil, stream, nil
}

// responseResult returns the result of an attempt that got this response, if its body is complete.
func responseResult(resp *http.Response) decision.Result {
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		return decision.OK
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		return decision.Rejected
	}
	return decision.Error
}
