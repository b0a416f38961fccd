package peerfaults

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	usualTimeout   = time.Second             // X-Timeout-Ms of a request
	lateTimeout    = 1600 * time.Millisecond // the same where the connection to the server comes up late
	clientPatience = 25 * time.Second        // after which a client gives up reading, so that late answers are seen
)

// clientRecord is what a client has done and seen.
type clientRecord struct {
	whole     time.Time // the request's last byte was written; zero if it was not
	left      time.Time // the client has left; zero if it stayed
	stopped   time.Time // the client began to misbehave; zero if it did not
	firstByte time.Time // of the answer; zero if there was none
	closed    time.Time // the connection's end was seen; zero if it was not
	status    int
	body      string
	bodyErr   error // of a body that is known not to be complete
}

// timeout returns the X-Timeout-Ms of the case's request.
func (c Case) timeout() time.Duration {
	if c.LateConnection {
		return lateTimeout
	}
	return usualTimeout
}

// newRequest returns the request of a case.
func newRequest(c Case) wireMessage {
	method, class := "POST", "trip-close"
	if c.requestFraming() == NoBody {
		method, class = "GET", "driver-position"
	}
	lines := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 5c1f03aa5c01c0de\r\n"+
		"X-Priority-Class: %s\r\nX-Tenant-Id: umurava-taxi\r\nX-Timeout-Ms: %d\r\n", method, class, c.timeout().Milliseconds())
	return newMessage(lines, c.requestFraming())
}

// send writes the case's request to a connection and reads its answer.
func send(c net.Conn, testCase Case, stop <-chan struct{}) clientRecord {
	m := newRequest(testCase)
	var r clientRecord
	answered := make(chan struct{})
	if testCase.Peer == Server {
		_, err := io.WriteString(c, m.text)
		if err == nil {
			r.whole = time.Now()
		}
		r.readAnswer(c)
		return r
	}
	point := m.points[testCase.Point]
	leaves := testCase.Fault == Closes || testCase.Fault == Resets || testCase.Fault == HalfCloses
	if leaves { // also in the middle of a body that is not taken
		_ = c.SetWriteDeadline(time.Now().Add(leaveAfter))
	}
	_, err := io.WriteString(c, m.text[:point])
	if err != nil && (!leaves || !isTimeout(err)) {
		r.readAnswer(c)
		return r
	}
	if err == nil && point == len(m.text) {
		r.whole = time.Now()
	}
	switch testCase.Fault {
	case Closes, Resets, HalfCloses:
		time.Sleep(leaveAfter)
		r.left = time.Now()
		m.misbehave(c, testCase.Point, testCase.Fault, clientDribbleBodyBytes, stop)
	case Dribbles:
		written := make(chan time.Time, 1)
		go func() {
			whole := time.Time{}
			if m.misbehave(c, testCase.Point, testCase.Fault, clientDribbleBodyBytes, answered) {
				whole = time.Now()
			}
			written <- whole
		}()
		r.stopped = time.Now()
		r.readAnswer(c)
		close(answered)
		r.whole = <-written
		return r
	case Silent:
		r.stopped = time.Now()
	}
	if testCase.Fault == Closes || testCase.Fault == Resets {
		return r
	}
	r.readAnswer(c)
	return r
}

// readAnswer reads the answer to its end.
func (r *clientRecord) readAnswer(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(clientPatience))
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		if !isTimeout(err) {
			r.closed = time.Now()
		}
		return
	}
	r.firstByte = time.Now()
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		r.bodyErr = err
		return
	}
	r.status = response.StatusCode
	text, err := io.ReadAll(response.Body)
	r.body, r.bodyErr = string(text), err
	r.closed = time.Now()
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
