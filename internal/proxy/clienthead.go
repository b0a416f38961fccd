package proxy

import (
	"fmt"
	"net/http"
	"os"

	"lapisspread/internal/proxy/httpframe"
)

const (
	maxHeaderFields = 128 // of a request's or a response's head
	// headFieldMemory is the memory for one header field in bytes, beside its text: its entries in the maps of the
	// request, of what is forwarded, and of an attempt.
	headFieldMemory = 384
	headByteMemory  = 2 // for each byte of a head: in a buffer and as text
)

// chargeHead takes the memory for what was scanned of the current head. If there is none, or the head has too many
// fields, it sets headRefusal. The lock must be held.
func (c *clientConn) chargeHead() {
	size := c.scanner.HeadSize()
	if size.Bytes < c.headCharged.Bytes { // of the next request
		c.headCharged = httpframe.HeadSize{}
	}
	fields := size.Fields - c.headCharged.Fields
	bytes := size.Bytes - c.headCharged.Bytes
	c.headCharged = size
	switch {
	case size.Fields > maxHeaderFields:
		c.headRefusal = &rejection{
			status:  http.StatusRequestHeaderFieldsTooLarge,
			message: fmt.Sprintf("the head has more than %d fields", maxHeaderFields),
		}
	case bytes > 0 && !c.headMemory.Take(int64(fields*headFieldMemory+bytes*headByteMemory)):
		c.headRefusal = &rejection{status: http.StatusServiceUnavailable, message: "too many bytes are in hand"}
	}
}

// takeRefusal returns why the current head must not be read further, once, or nil.
func (c *clientConn) takeRefusal() *rejection {
	c.mu.Lock()
	defer c.mu.Unlock()
	refusal := c.headRefusal
	c.headRefusal = nil
	c.refused = c.refused || refusal != nil
	return refusal
}

// refuseHead sends the response to a head that must not be read further, and returns the error with which net/http closes
// the connection without a response of its own.
func (c *clientConn) refuseHead(r *rejection) error {
	body := r.message + "\n"
	retryAfter := ""
	if r.status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: 1\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: text/plain; charset=utf-8\r\n"+
		"Content-Length: %d\r\n\r\n%s", r.status, http.StatusText(r.status), retryAfter, len(body), body)
	return readError(os.ErrClosed, c)
}
