package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/engine"
)

var (
	errEarlyResponse = errors.New("the backend has answered before the body's end")
	errClientBody    = errors.New("reading the body")
	errBodyConsumed  = errors.New("the body has passed by")
	errAbandoned     = engine.ErrAbandoned
)

// upload is a long request body that is streamed to a backend. The prefix is buffered and can be sent again; once some
// of the remainder has been read there can be no further attempt.
type upload struct {
	prefix          []byte
	length          int64 // Content-Length in bytes; -1 if there is none
	startedAt       time.Time
	remainder       io.Reader
	setReadDeadline func(time.Time) error // for reads from remainder
	onComplete      func()                // called as the last byte has been read, with the lock held
	failed          chan error            // buffered; receives why the client did not send the whole body

	mu        sync.Mutex // guards the fields below, and the use of remainder and setReadDeadline
	readBytes int64      // with the prefix
	consumed  bool       // some of the remainder has been read
	stopped   bool       // the request is over: remainder and setReadDeadline must not be used any more

	complete atomic.Bool
	stopping atomic.Bool
}

// isConsumed reports whether there can be no further attempt. u may be nil.
func (u *upload) isConsumed() bool {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.consumed
}

// stop ends the use of the client's connection for the body, and reports whether the body is complete. No deadline is
// set on a complete one: net/http reads from the connection then, and takes a timeout for the client's close.
func (u *upload) stop() bool {
	u.stopping.Store(true)
	if !u.complete.Load() {
		_ = u.setReadDeadline(time.Unix(1, 0)) // a read in progress ends and releases the lock
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	return u.complete.Load()
}

// readRemainder reads from behind the prefix. It blocks until the client has sent something or is too slow.
func (u *upload) readRemainder(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.stopped:
		return 0, errAbandoned
	case u.complete.Load():
		return 0, io.EOF
	}
	u.consumed = true
	_ = u.setReadDeadline(bodyReadDeadline(time.Now(), u.startedAt, u.readBytes))
	if u.stopping.Load() {
		return 0, errAbandoned
	}
	n, err := u.remainder.Read(p)
	u.readBytes += int64(n)
	switch {
	case u.readBytes > maxBodyBytes:
		err = bodyTooLong()
	case errors.Is(err, io.EOF):
		u.complete.Store(true)
		u.onComplete()
		return n, io.EOF
	}
	if err != nil {
		select {
		case u.failed <- err:
		default:
		}
		err = fmt.Errorf("%w: %w", errClientBody, err)
	}
	return n, err
}

// uploadReader reads an upload for one attempt, from the first byte on.
type uploadReader struct {
	*upload
	conn   *conn
	offset int   // in the prefix
	err    error // that ended the reading before the body's end
}

// Read returns errEarlyResponse once the backend has sent something: the rest of the body is of no use then.
func (r *uploadReader) Read(p []byte) (n int, err error) {
	n, err = r.next(p)
	if !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

func (r *uploadReader) next(p []byte) (int, error) {
	// Checked first: the backend may respond as soon as it has the last byte, before the sender has seen the end here.
	if r.complete.Load() {
		return 0, io.EOF
	}
	if !r.conn.isSilent() {
		return 0, errEarlyResponse
	}
	if r.offset < len(r.prefix) {
		n := copy(p, r.prefix[r.offset:])
		r.offset += n
		return n, nil
	}
	return r.readRemainder(p)
}

// deadlineWriter writes to a backend with sendStallTimeout for each chunk, and counts the bytes.
type deadlineWriter struct {
	*conn
	written int
}

// Write sends one chunk.
func (s *deadlineWriter) Write(p []byte) (int, error) {
	s.limitWrite(time.Now().Add(sendStallTimeout))
	n, err := s.conn.Write(p)
	s.written += n
	return n, err
}

// writeStreamedRequest sends a request whose body is an upload. It returns how many bytes were written and whether that
// was the whole request.
func (c *conn) writeStreamedRequest(req *http.Request, u *upload) (int, bool, error) {
	if u.isConsumed() {
		return 0, false, errBodyConsumed
	}
	body := &uploadReader{upload: u, conn: c}
	to := &deadlineWriter{conn: c}
	req.ContentLength = u.length
	req.Body = io.NopCloser(body)
	err := req.Write(to)
	if err != nil {
		// net/http wraps the body's error in a type that errors.Is doesn't look into. A client that fails its body must
		// not count as a backend that can't be reached.
		if body.err != nil {
			err = body.err
		}
		return to.written, false, fmt.Errorf("sending a body: %w", err)
	}
	c.limitWrite(time.Time{})
	return to.written, true, nil
}
