package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/membudget"
	"lapisspread/internal/proxy/httpframe"
)

const (
	prefetchMemory      = maxBufferedBody + 2*copyChunkBytes // of a prefetcher
	maxInterimResponses = 8                                  // 1xx responses before the final one
	readStallTimeout    = 10 * time.Second                   // longest wait for the next byte of a long response
	responseHoldback    = 25 * time.Millisecond              // wait for the end of a body of unknown length before it is streamed
)

// errInvalidResponse is the error of a response that is malformed or exceeds a limit.
var errInvalidResponse = errors.New("invalid response")

// readResponse reads the final response to a request. A short body is returned as bytes if there is memory for it; a long
// one, or one without memory, is returned as a download.
func (c *conn) readResponse(req *http.Request, memory *membudget.Account) (*http.Response, []byte, *download, error) {
	for range maxInterimResponses + 1 {
		if err := c.awaitHead(); err != nil {
			return nil, nil, nil, err
		}
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, nil, nil, fmt.Errorf("%w: %w", errInvalidResponse, err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, nil, fmt.Errorf("%w: protocol switch that was not requested", errInvalidResponse)
		}
		if resp.ProtoMajor != 1 || resp.StatusCode < http.StatusContinue {
			return nil, nil, nil, fmt.Errorf("%w: %s with status %q", errInvalidResponse, resp.Proto, resp.Status)
		}
		if resp.StatusCode >= http.StatusOK {
			body, stream, err := c.readResponseBody(resp, memory)
			return resp, body, stream, err
		}
	}
	return nil, nil, nil, fmt.Errorf("%w: more than %d interim responses", errInvalidResponse, maxInterimResponses)
}

// awaitHead blocks until a complete head is buffered, and checks its length headers. A head must fit into the buffer.
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
			return fmt.Errorf("reading the response's head: %w", err)
		}
	}
}

// validateLengthHeaders rejects heads that give the body's length in more than one way. net/http ignores a
// Content-Length beside a Transfer-Encoding, and a Transfer-Encoding in HTTP/1.0, where the chunk headers would be
// taken for the body.
func validateLengthHeaders(head []byte) error {
	if bytes.Count(head, []byte("\n")) > maxHeaderFields+2 { // and the first and the last line
		return fmt.Errorf("%w: more than %d header fields", errInvalidResponse, maxHeaderFields)
	}
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
			return fmt.Errorf("%w: spaces around the header name %s", errInvalidResponse, name)
		}
	}
	if lengths > 1 || lengths > 0 && encodings > 0 {
		return fmt.Errorf("%w: body length given more than once", errInvalidResponse)
	}
	if encodings > 0 && bytes.HasPrefix(head, []byte("HTTP/1.0")) {
		return fmt.Errorf("%w: Transfer-Encoding in HTTP/1.0", errInvalidResponse)
	}
	return nil
}

// readResponseBody returns a short body as bytes if there is memory for it, and any other as a download. A body of unknown
// length is either.
func (c *conn) readResponseBody(resp *http.Response, memory *membudget.Account) ([]byte, *download, error) {
	if resp.Request.Method == http.MethodHead {
		return nil, nil, nil
	}
	n := resp.ContentLength
	source := &boundedReader{source: c.bodyReader(resp), conn: c}
	switch {
	case n > maxBodyBytes:
		return nil, nil, fmt.Errorf("%w: body of %d bytes is too long", errInvalidResponse, n)
	case n > maxBufferedBody, n > smallBody && !memory.Take(n):
		return nil, newDownload(n, source), nil
	case n >= 0:
		body := make([]byte, n)
		if _, err := io.ReadFull(resp.Body, body); err != nil && (n != 0 || !errors.Is(err, io.EOF)) {
			return nil, nil, fmt.Errorf("reading the response's body: %w", err)
		}
		return body, nil, nil
	}
	if !memory.Take(prefetchMemory) {
		return nil, newDownload(-1, source), nil
	}
	return c.readUnknownLength(resp, source)
}

// bodyReader returns the reader of a response's body. For chunks it is not that of net/http, which waits until a chunk or
// the buffer is complete: the first bytes of a large chunk would reach the client late.
func (c *conn) bodyReader(resp *http.Response) io.Reader {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) > 0 {
		return httpframe.NewChunkReader(c.reader)
	}
	return resp.Body
}

// readUnknownLength waits up to responseHoldback for the end of the body, and streams the body if it has not ended by
// then. For a rejection it waits up to readStallTimeout: a rejection is never streamed, and only a complete one proves
// that the request did not run.
func (c *conn) readUnknownLength(resp *http.Response, source io.Reader) ([]byte, *download, error) {
	holdback := time.Duration(responseHoldback)
	if responseResult(resp) == decision.Rejected {
		holdback = readStallTimeout
	}
	prefetched := startPrefetch(source)
	body, complete, err := prefetched.waitForEnd(holdback)
	switch {
	case err != nil:
		prefetched.close()
		return nil, nil, fmt.Errorf("reading the response's body: %w", err)
	case complete:
		c.limitRead(time.Time{})
		return body, nil, nil
	}
	stream := newDownload(-1, prefetched)
	stream.closeBody = prefetched.close
	return nil, stream, nil
}

// responseResult returns the result of an attempt that got this response with a complete body.
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
