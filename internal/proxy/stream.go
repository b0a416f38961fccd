package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/engine"
)

const (
	mostBytes   = 32 << 20  // the longest body of a request or an answer
	copyBytes   = 32 << 10  // what passes through at a time
	streamBytes = 128 << 10 // what a streamed body counts for among the bytes in hand

	bodyStall  = 2500 * time.Millisecond // without a byte of a body, after which it is given up
	bodyGrace  = 5 * time.Second         // before a body's mean rate counts,
	bodyRate   = 16 << 10                // which must be so many bytes a second
	sendStall  = 10 * time.Second        // for a backend to take a piece of a body
	readStall  = 10 * time.Second        // without a byte of a long answer
	holdAnswer = 25 * time.Millisecond   // for an answer of unknown length to end before it is passed on
)

var (
	errEarly  = errors.New("the backend has answered before the body's end")
	errClient = errors.New("reading the body")
	errSpent  = errors.New("the body has passed by")
	errGone   = engine.ErrAbandoned
)

// upload is a long body on its way: what was read ahead of it can be sent again, the rest only once.
type upload struct {
	ahead  []byte
	length int64 // -1 if the head does not tell
	began  time.Time
	rest   io.Reader
	limit  func(time.Time) error // sets the time until which rest may be read
	whole  func()                // the last byte has been read
	failed chan error            // holds one: the client has not sent it all

	mu      sync.Mutex // guards what follows, and rest and limit
	read    int64      // bytes, with those ahead
	spent   bool       // some of the rest has been read
	stopped bool       // the request is over, and rest and limit are no longer to be used

	ended, stopping atomic.Bool
}

// isSpent tells whether there can be no further attempt.
func (u *upload) isSpent() bool {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.spent
}

// stop ends the use of the client's connection for the body, and tells whether the body was whole. Danger: once
// it is, the server itself reads from the connection, and takes a time-out there for the client's leave.
func (u *upload) stop() bool {
	if u.stopping.Store(true); !u.ended.Load() {
		u.limit(time.Unix(1, 0)) // a read under way ends, and gives the lock back
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	return u.ended.Load()
}

func (u *upload) readRest(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.stopped:
		return 0, errGone
	case u.ended.Load():
		return 0, io.EOF
	}
	u.spent = true
	u.limit(bodyLimit(time.Now(), u.began, u.read))
	if u.stopping.Load() {
		return 0, errGone
	}
	n, err := u.rest.Read(p)
	u.read += int64(n)
	switch {
	case u.read > mostBytes:
		err = &rejection{status: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("the body is longer than %d bytes", mostBytes)}
	case err == io.EOF:
		u.ended.Store(true)
		u.whole()
		return n, io.EOF
	}
	if err != nil {
		select {
		case u.failed <- err:
		default:
		}
		err = fmt.Errorf("%w: %w", errClient, err)
	}
	return n, err
}

// bodyLimit is how long the next byte of a body may take: no stall is long, and the mean rate is not low.
func bodyLimit(now, began time.Time, read int64) time.Time {
	slowest := began.Add(bodyGrace + time.Duration(float64(read)/bodyRate*float64(time.Second)))
	if stall := now.Add(bodyStall); stall.Before(slowest) {
		return stall
	}
	return slowest
}

// uploadReader reads an upload for one attempt, from the first byte on.
type uploadReader struct {
	*upload
	to  *conn
	at  int   // in what was read ahead
	err error // that ended it short of the body's end
}

func (r *uploadReader) Read(p []byte) (n int, err error) {
	if n, err = r.next(p); err != io.EOF {
		r.err = err
	}
	return n, err
}

func (r *uploadReader) next(p []byte) (int, error) {
	// Danger: the backend may answer as soon as it has the last byte, before whoever writes has seen the end here.
	if r.ended.Load() {
		return 0, io.EOF
	}
	if !r.to.quiet() { // an answer, or its end: the rest is of no use
		return 0, errEarly
	}
	if r.at < len(r.ahead) {
		n := copy(p, r.ahead[r.at:])
		r.at += n
		return n, nil
	}
	return r.readRest(p)
}

// sender writes to a backend within a time for each piece, and counts.
type sender struct {
	*conn
	n int
}

func (s *sender) Write(p []byte) (int, error) {
	s.limitWrite(time.Now().Add(sendStall))
	n, err := s.conn.Conn.Write(p)
	s.n += n
	return n, err
}

// writeStreamed sends a request whose body is on its way.
func (c *conn) writeStreamed(req *http.Request, u *upload) (int, bool, error) {
	if u.isSpent() {
		return 0, false, errSpent
	}
	body, to := &uploadReader{upload: u, to: c}, &sender{conn: c}
	req.ContentLength, req.Body = u.length, io.NopCloser(body)
	err := req.Write(to)
	if err != nil {
		// Danger: net/http tells what the body's reader has said by a type that errors.Is does not look into; a client
		// that fails its body would count as a backend that can't be reached.
		if body.err != nil {
			err = body.err
		}
		return to.n, false, fmt.Errorf("sending a body: %w", err)
	}
	c.limitWrite(time.Time{})
	return to.n, true, nil
}

// limitWrite and limitRead set a time for a piece, unless the attempt was interrupted.
func (c *conn) limitWrite(t time.Time) { c.unlessInterrupted(func() { c.SetWriteDeadline(t) }) }
func (c *conn) limitRead(t time.Time)  { c.unlessInterrupted(func() { c.SetReadDeadline(t) }) }

func (c *conn) unlessInterrupted(set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		set()
	}
}

// download is a long answer on its way: whoever takes it reads it, and says by end how that went.
type download struct {
	length int64 // -1 if the head does not tell
	rest   io.Reader
	close  func()
	ended  chan error // holds one
}

func newDownload(length int64, rest io.Reader) *download {
	return &download{length: length, rest: rest, close: func() {}, ended: make(chan error, 1)}
}

// Read reads the answer.
func (d *download) Read(p []byte) (int, error) { return d.rest.Read(p) }

// End says how the reading of the answer went.
func (d *download) End(err error) {
	select {
	case d.ended <- err:
	default:
	}
}

// limited reads an answer's body with a time for each piece and for all of them, and no more than an answer may be long.
// Danger: one that trickles would else never end. What counts is the time that is waited here, not the client's.
type limited struct {
	from   io.Reader
	c      *conn
	read   int64
	waited time.Duration
}

func (l *limited) Read(p []byte) (int, error) {
	began := time.Now()
	most := readStall + time.Duration(float64(l.read)/bodyRate*float64(time.Second)) - l.waited
	l.c.limitRead(began.Add(min(most, readStall)))
	n, err := l.from.Read(p)
	l.waited += time.Since(began)
	if l.read += int64(n); l.read > mostBytes {
		return n, fmt.Errorf("%w: more than %d bytes", errSpoilt, mostBytes)
	}
	return n, err
}

// pump reads ahead of whoever reads from it, up to a limit, so that it can be seen whether an answer of
// unknown length ends soon.
type pump struct {
	mu     sync.Mutex
	change sync.Cond
	buf    []byte
	err    error // the end
	closed bool
}

func startPump(from io.Reader) *pump {
	p := &pump{}
	p.change.L = &p.mu
	go func() {
		piece := make([]byte, copyBytes)
		for {
			n, err := from.Read(piece)
			p.mu.Lock()
			p.buf = append(p.buf, piece[:n]...)
			p.err = err
			p.change.Broadcast()
			for err == nil && len(p.buf) > bodyBytes && !p.closed {
				p.change.Wait()
			}
			closed := p.closed
			p.mu.Unlock()
			if err != nil || closed {
				return
			}
		}
	}()
	return p
}

// wait returns once the end is there, or more than may be held, or the time is up; it gives the whole if
// that is what is there.
func (p *pump) wait(most time.Duration) (body []byte, whole bool, err error) {
	late := false
	timer := time.AfterFunc(most, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		late = true
		p.change.Broadcast()
	})
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.err == nil && len(p.buf) <= bodyBytes && !late {
		p.change.Wait()
	}
	switch {
	case p.err != nil && p.err != io.EOF:
		return nil, false, p.err
	case p.err == io.EOF && len(p.buf) <= bodyBytes:
		return p.buf, true, nil
	}
	return nil, false, nil
}

// Read gives what is there.
func (p *pump) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.buf) == 0 && p.err == nil {
		p.change.Wait()
	}
	if len(p.buf) == 0 {
		return 0, p.err
	}
	n := copy(b, p.buf)
	p.buf = append(p.buf[:0], p.buf[n:]...)
	p.change.Broadcast()
	return n, nil
}

// close has the pump end; a read under way ends with the connection.
func (p *pump) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.change.Broadcast()
}

// pass writes a long answer to the client as it comes. An error says that the client has not got all of it.
func pass(w http.ResponseWriter, d *download, timeout time.Duration) error {
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	if d.length >= 0 {
		h.Set("Content-Length", fmt.Sprint(d.length))
	}
	c := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	piece := make([]byte, copyBytes)
	for left := d.length; ; {
		n, err := d.rest.Read(piece)
		c.SetWriteDeadline(time.Now().Add(timeout))
		if n > 0 {
			if _, failed := w.Write(piece[:n]); failed != nil {
				return fmt.Errorf("writing an answer: %w", failed)
			}
		}
		left -= int64(n)
		switch {
		case err == io.EOF && (d.length < 0 || left == 0):
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return fmt.Errorf("reading an answer: %w", err)
		}
		if err := c.Flush(); err != nil {
			return fmt.Errorf("writing an answer: %w", err)
		}
	}
}

// resetClient ends a client's connection by a reset. Danger: where an answer ends with the connection, a close would make what
// has come of it seem whole.
func resetClient(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	socket := nc
	if c, ours := nc.(*clientConn); ours {
		socket = c.Conn
	}
	if tcp, is := socket.(*net.TCPConn); is {
		tcp.SetLinger(0)
	}
}

// timedOut tells whether an error is a limit on time that ran out.
func timedOut(err error) bool {
	ne := net.Error(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
