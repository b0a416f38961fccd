package proxy

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/engine"
	"lapisspread/internal/slowpeer"
)

var (
	errEarlyResponse = errors.New("the backend responded before the end of the request body")
	errClientBody    = errors.New("reading the request body from the client")
	errClientLeft    = errors.New("the client has left")
	errBodyConsumed  = errors.New("the request body was partly consumed by an earlier attempt")
	errAbandoned     = engine.ErrAbandoned
)

// peerSendBuffer is the largest send buffer that a client's system is expected to have: the default limit of Linux. A
// client has written the last byte of its body when that much of it has not arrived yet.
const peerSendBuffer = 4 << 20

// uploadState tells how far the reading of an upload's remainder has come.
type uploadState = int32

const (
	uploadReceiving uploadState = iota
	uploadComplete              // the last byte was read
	uploadCut                   // the last byte was not read and will not be
)

// upload is a long request body that is streamed to a backend. The prefix is buffered and can be sent again by another
// attempt, and so can what is read ahead; the remainder can't, so once some of it has been read by an attempt there is no
// further attempt.
type upload struct {
	prefix          []byte
	length          int64 // Content-Length in bytes; -1 if there is none
	remainder       io.Reader
	setReadDeadline func(time.Time) error // for reads from remainder
	onComplete      func()                // called as the last byte has been read, with the lock held
	failed          chan error            // buffered; receives the error if reading the body from the client fails
	clock           engine.Clock
	arrival         clientState // nil if the client's connection is unknown
	consumed        atomic.Bool // an attempt has read some of the remainder
	sending         atomic.Bool // an attempt has begun and has not failed

	mu        sync.Mutex    // guards the fields below, and the use of remainder and setReadDeadline
	waited    time.Duration // total time spent waiting for the client, including the time for the prefix
	ahead     readAhead     // what follows the prefix
	stopped   bool          // the request has ended: remainder and setReadDeadline must no longer be used
	readBytes atomic.Int64  // bytes read from the client, including the prefix; written under the lock
	arrivedAt time.Time     // incompleteAt of the complete body; set before state changes to uploadComplete

	state atomic.Int32 // an uploadState
}

// clientState shows what has arrived on a client's connection, read or not.
type clientState interface {
	engine.Client
	// incompleteAt returns the latest time at which the connection was known to hold nothing unread, while more of the
	// body was missing.
	incompleteAt() time.Time
	// unread returns the number of bytes that have arrived and were not read from the socket.
	unread() int64
	// hasWholeRequest reports whether the last byte of the request was read from the socket.
	hasWholeRequest() bool
	// foundNothing records that the socket holds nothing unread, while more of the body is missing.
	foundNothing()
}

// isComplete reports whether the whole body has been read from the client.
func (u *upload) isComplete() bool { return u.state.Load() == uploadComplete }

// IncompleteAt implements engine.Upload.
func (u *upload) IncompleteAt() time.Duration { return u.clock.At(u.incompleteAt()) }

// incompleteAt returns the latest time at which the client was known not to have written the last byte.
func (u *upload) incompleteAt() time.Time {
	switch {
	case u.isComplete():
		return u.arrivedAt
	case u.arrival == nil, u.length-u.readBytes.Load() > u.arrival.unread()+peerSendBuffer:
		return time.Now()
	}
	return u.arrival.incompleteAt()
}

// Cut ends the reading of the body from the client's connection, without waiting for a read in progress. It returns
// true if the last byte was not read and will not be passed on.
func (u *upload) Cut() bool {
	if u.state.CompareAndSwap(uploadReceiving, uploadCut) {
		_ = u.setReadDeadline(time.Unix(1, 0)) // a read in progress ends and releases the lock
	}
	return u.state.Load() == uploadCut
}

// isConsumed reports whether there can be no further attempt. u may be nil.
func (u *upload) isConsumed() bool { return u != nil && u.consumed.Load() }

// stop ends the reading of the body from the client's connection, and reports whether the body is complete. No deadline
// is set if it is complete: net/http then reads from the connection, and would treat a timeout as the client's close.
func (u *upload) stop() bool {
	u.Cut()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	return u.isComplete()
}

// readFrom reads the body from an offset on, for an attempt. It blocks until the client has sent something or its deadline
// has passed. Only the time spent waiting for the client counts, not the time that backends take.
func (u *upload) readFrom(offset int64, p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if buffered := u.bufferedFrom(offset); len(buffered) > 0 {
		return copy(p, buffered), nil
	}
	if err := u.checkReadable(); err != nil {
		return 0, err
	}
	u.consumed.Store(true)
	return u.readRemainder(p)
}

// bufferedFrom returns a part of the buffered bytes from an offset on; none at their end. The lock must be held.
func (u *upload) bufferedFrom(offset int64) []byte {
	if offset < int64(len(u.prefix)) {
		return u.prefix[offset:]
	}
	return u.ahead.from(offset - int64(len(u.prefix)))
}

// checkReadable returns an error if nothing more must be read from the client. Nothing more is read once the client has
// left: without its last byte the request does not run. The lock must be held.
func (u *upload) checkReadable() error {
	switch {
	case u.stopped:
		return errAbandoned
	case u.isComplete():
		return io.EOF
	case u.arrival != nil && u.arrival.Left() && u.Cut():
		return u.fail(errClientLeft)
	}
	return nil
}

// readRemainder reads the next part of the body from the client. The lock must be held.
func (u *upload) readRemainder(p []byte) (int, error) {
	startedAt := time.Now()
	_ = u.setReadDeadline(bodyReadDeadline(startedAt, u.waited, u.readBytes.Load()))
	if u.state.Load() == uploadCut {
		return 0, errAbandoned
	}
	n, err := u.remainder.Read(p)
	u.waited += time.Since(startedAt)
	switch {
	case u.readBytes.Add(int64(n)) > maxBodyBytes:
		err = bodyTooLong()
	case errors.Is(err, io.EOF):
		u.arrivedAt = u.incompleteAt()
		if !u.state.CompareAndSwap(uploadReceiving, uploadComplete) {
			return 0, errAbandoned // the request has ended as one that can't have run
		}
		u.onComplete()
		return n, io.EOF
	}
	switch {
	case err == nil:
		return n, nil
	case u.state.Load() == uploadCut: // the read was ended, and the request has a result
		return 0, errAbandoned
	}
	return n, u.fail(err)
}

// fail reports that the client does not send its body, and returns the error for the attempt that reads it.
func (u *upload) fail(err error) error {
	select {
	case u.failed <- err:
	default:
	}
	return fmt.Errorf("%w: %w", errClientBody, err)
}

// uploadReader reads an upload for one attempt, from the first byte on.
type uploadReader struct {
	*upload
	conn   *conn
	offset int64 // number of bytes that were read
	err    error // error that stopped the reading before the body's end; nil if none
}

// Read returns errEarlyResponse once the backend has sent something: the backend doesn't need the rest of the body
// then.
func (r *uploadReader) Read(p []byte) (n int, err error) {
	n, err = r.next(p)
	if !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

func (r *uploadReader) next(p []byte) (int, error) {
	// Checked first: the backend may respond as soon as it has the last byte, before the sender has read io.EOF here.
	if r.atEnd() {
		return 0, io.EOF
	}
	if !r.conn.isSilent() {
		return 0, errEarlyResponse
	}
	n, err := r.readFrom(r.offset, p)
	r.offset += int64(n)
	return n, err
}

// atEnd reports whether the attempt has read the whole body.
func (r *uploadReader) atEnd() bool {
	if !r.isComplete() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.bufferedFrom(r.offset)) == 0
}

// uploadWriter writes a streamed request to a backend within its connection's sendLimit, and counts the bytes.
type uploadWriter struct {
	conn    *conn
	body    *uploadReader
	written int
	err     error // error of the last write
}

// Write sends one chunk. Like uploadReader.Read it returns errEarlyResponse if the backend sends something before the
// end of the body, since such a backend may read no further.
func (w *uploadWriter) Write(p []byte) (int, error) {
	n, err := slowpeer.Write(&uploadSocket{Socket: slowpeer.Socket{Conn: w.conn.Conn}, writer: w}, p, w.conn.sendLimit)
	w.written += n
	w.err = err
	return n, err
}

// uploadSocket is the socket of a backend's connection during the write of one chunk.
type uploadSocket struct {
	slowpeer.Socket
	writer  *uploadWriter
	blocked bool // the write has passed a deadline
}

// SetWriteDeadline sets the deadline of the write. It fails if the connection was interrupted, or if a blocked write
// should not go on because of an early response.
func (s *uploadSocket) SetWriteDeadline(deadline time.Time) error {
	if s.blocked && !s.writer.body.atEnd() && !s.writer.conn.isSilent() {
		return errEarlyResponse
	}
	s.blocked = true
	return s.writer.conn.unlessInterrupted(func() error { return s.Socket.SetWriteDeadline(deadline) })
}

// writeStreamedRequest sends a request whose body is an upload. It returns how many bytes were written and whether that
// was the whole request.
func (c *conn) writeStreamedRequest(req *http.Request, u *upload) (int, bool, error) {
	if u.isConsumed() {
		return 0, false, errBodyConsumed
	}
	u.sending.Store(true)
	defer u.sending.Store(false)
	body := &uploadReader{upload: u, conn: c}
	to := &uploadWriter{conn: c, body: body}
	req.ContentLength = u.length
	req.Body = io.NopCloser(body)
	err := req.Write(to)
	if err != nil {
		// net/http wraps the errors of the body and of the write in a type that errors.Is can't unwrap. A client that
		// fails to send its body must not be counted as a failure of the backend.
		err = cmp.Or(body.err, to.err, err)
		return to.written, false, fmt.Errorf("sending the request body to the backend: %w", err)
	}
	c.limitWrite(time.Time{})
	return to.written, true, nil
}
