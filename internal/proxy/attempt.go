package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// message is a client's request as it goes to a backend, once for each attempt.
type message struct {
	method      string
	host        string
	url         url.URL
	header      http.Header
	policyEpoch string // of the policy that the request was routed by; empty without one
	body        []byte
	upload      *upload // in place of body, for a long one
	healthCheck bool

	// startStream takes a long response, or reports that it is too late; nil takes none.
	startStream func(*download) bool
	// sendAllowed is engine.Attempt's; nil is always.
	sendAllowed func() (deadline time.Time, allowed bool)
}

// sendDeadline returns the time by which the message's last byte must be sent; the zero time is no deadline. It returns
// errSendTooLate if not even the first byte may be sent.
func (m *message) sendDeadline() (time.Time, error) {
	if m.sendAllowed == nil {
		return time.Time{}, nil
	}
	deadline, allowed := m.sendAllowed()
	if !allowed {
		return deadline, errSendTooLate
	}
	return deadline, nil
}

// Consumed reports whether there can be no further attempt.
func (m *message) Consumed() bool { return m.upload.isConsumed() }

// newRequest makes the request of one attempt, on a connection to addr.
func (m *message) newRequest(addr string) *http.Request {
	u := m.url
	u.Scheme = "http"
	u.Host = addr
	req := &http.Request{
		Method:        m.method,
		URL:           &u,
		Host:          m.host,
		Header:        m.header,
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(m.body)),
	}
	if len(m.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(m.body))
	}
	return req
}

// poolBackend is a backend as the engine uses it.
type poolBackend struct {
	pool    *pool
	backend *backend
}

// Exchange sends a request once. It blocks until the attempt has ended or ctx is cancelled. The second result is the
// response's body, unless that was streamed.
func (p poolBackend) Exchange(ctx context.Context, a engine.Attempt) (decision.Result, any) {
	m := *a.Message.(*message)
	m.startStream = func(d *download) bool { return a.StartStream(d) }
	m.sendAllowed = a.SendAllowed
	m.header = m.header.Clone()
	m.header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, a.Timeout.Milliseconds()), 10))
	if p.pool.fleetHeaders { // a client's own would pass for the proxy's
		setOrDelete(m.header, "X-Fleet-Token", a.LeaseToken)
		setOrDelete(m.header, "X-Fleet-Epoch", m.policyEpoch)
	}
	result, body := p.pool.exchange(ctx, p.backend, &m)
	return result, body
}

// setOrDelete sets a header field, or deletes it if the value is empty.
func setOrDelete(h http.Header, name, value string) {
	h.Del(name)
	if value != "" {
		h.Set(name, value)
	}
}

// CheckHealth sends a health check. It blocks for connectTimeout at most.
func (p poolBackend) CheckHealth(ctx context.Context) decision.Result {
	return p.pool.checkHealth(ctx, p.backend)
}

func (p *pool) checkHealth(ctx context.Context, b *backend) decision.Result {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	result, _ := p.exchange(ctx, b, &message{
		method:      http.MethodGet,
		url:         url.URL{Path: "/ping"},
		header:      http.Header{"User-Agent": nil},
		healthCheck: true,
	})
	return result
}

// exchange sends a message once and returns how that ended, with the response's body for OK unless that was streamed.
//
// A backend may close an idle connection just as it is taken, or send more than its response. As long as not one byte
// was written to it nothing was sent, and another connection is tried.
func (p *pool) exchange(ctx context.Context, b *backend, m *message) (decision.Result, []byte) {
	for {
		c, err := p.takeIdle(b)
		reused := c != nil
		if err == nil && !reused {
			c, err = p.dial(ctx, b)
		}
		if err != nil {
			return connectResult(ctx, err), nil
		}
		result, body, untouched := p.roundTrip(ctx, b, c, m)
		if !untouched || !reused || ctx.Err() != nil || m.upload.isConsumed() {
			return result, body
		}
	}
}

// connectResult returns the result of an attempt that got no connection. A lack of sockets here must not count against
// the backend: all backends would seem down.
func connectResult(ctx context.Context, err error) decision.Result {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return decision.Cancelled
	case errors.Is(err, errNoSockets):
		return decision.NotSent
	}
	return decision.ConnectFailed
}

// roundTrip sends a message on one connection and waits for the response; untouched says that not a byte of the message
// was written. An exchange that can't be finished, or times out, closes the connection.
func (p *pool) roundTrip(ctx context.Context, b *backend, c *conn, m *message) (
	result decision.Result, body []byte, untouched bool,
) {
	startedAt := time.Now()
	idleSince := c.idleSince
	stopInterrupt := context.AfterFunc(ctx, c.interrupt)
	req := m.newRequest(c.RemoteAddr().String())
	sent, err := p.send(ctx, b, c, m, req)
	if sent.complete && !m.healthCheck {
		p.attempts.Add(1)
	}
	if err == nil || errors.Is(err, errEarlyResponse) {
		if err != nil { // there is no read deadline yet, as the body has not ended
			c.limitRead(time.Now().Add(p.connectTimeout))
		}
		received, failed := p.receive(ctx, c, m, req)
		if failed == nil && (sent.complete || received.status != http.StatusOK) {
			reusable := stopInterrupt() && received.reusable && sent.complete
			if !reusable {
				_ = c.Close()
			} else {
				c.limitRead(time.Time{})
				p.putIdle(b, c)
			}
			return received.result, received.body, false
		}
		if err == nil {
			err = failed
		}
	}
	stopInterrupt()
	_ = c.Close()
	if ctx.Err() == nil && !idleSince.IsZero() && time.Since(startedAt) < p.staleWindow && isBreak(err) {
		p.noteBrokenIdleConn(startedAt.Sub(idleSince))
	}
	result, untouched = failedResult(ctx, err, sent)
	return result, nil, untouched
}

// transmission is how much of a request was written.
type transmission struct {
	bytes    int
	complete bool
}

// send writes a message if it may be written. An upload can't be sent again once bytes behind its prefix were read.
func (p *pool) send(ctx context.Context, b *backend, c *conn, m *message, req *http.Request) (transmission, error) {
	if err := p.checkSendable(ctx, b, c); err != nil {
		return transmission{}, err
	}
	deadline, err := m.sendDeadline()
	if err != nil {
		return transmission{}, err
	}
	var sent transmission
	switch {
	case m.upload != nil:
		sent.bytes, sent.complete, err = c.writeStreamedRequest(req, m.upload)
	case deadline.IsZero():
		sent.bytes, sent.complete, err = c.writeRequest(req)
	default:
		c.limitWrite(deadline)
		sent.bytes, sent.complete, err = c.writeRequest(req)
		c.limitWrite(time.Time{})
	}
	return sent, err
}

// reception is a final response that was received.
type reception struct {
	status   int
	result   decision.Result
	body     []byte
	reusable bool // the connection may carry another request
}

// receive reads the response to a request, and has a long one streamed to its end.
func (p *pool) receive(ctx context.Context, c *conn, m *message, req *http.Request) (reception, error) {
	resp, body, stream, err := c.readResponse(req)
	if err == nil && stream != nil {
		err = deliverStream(ctx, resp, stream, m)
	}
	if err != nil {
		return reception{}, err
	}
	cut := stream != nil && resp.StatusCode != http.StatusOK
	result := responseResult(resp)
	// A body that was not read to its end may be invalid, and an invalid response is no proof that nothing ran.
	if cut && result == decision.Rejected {
		result = decision.Error
	}
	return reception{status: resp.StatusCode, result: result, body: body, reusable: !resp.Close && !cut}, nil
}

// deliverStream gives a long response to the request's client, and blocks until that has read it or ctx ends. Of a
// response that is no success only the status counts.
func deliverStream(ctx context.Context, resp *http.Response, d *download, m *message) error {
	defer d.closeBody()
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	if m.startStream == nil {
		return fmt.Errorf("%w: more than %d bytes", errInvalidResponse, maxBufferedBody)
	}
	if !m.startStream(d) {
		return errAbandoned
	}
	select {
	case err := <-d.result:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// isBreak reports whether an error is one of the connection, rather than a reason not to use it.
func isBreak(err error) bool {
	for _, reason := range []error{errInvalidResponse, errStaleConn, errBackendClosed, errSendTooLate} {
		if errors.Is(err, reason) {
			return false
		}
	}
	return true
}

// failedResult returns the result of an attempt that ended with err, and whether nothing of it was written.
func failedResult(ctx context.Context, err error, sent transmission) (result decision.Result, untouched bool) {
	cause := context.Cause(ctx)
	untouched = sent.bytes == 0
	switch {
	case errors.Is(cause, context.Canceled), errors.Is(err, errClientBody), errors.Is(err, errAbandoned):
		return decision.Cancelled, untouched
	case errors.Is(err, errBodyConsumed), errors.Is(err, errSendTooLate):
		return decision.NotSent, false
	case !sent.complete: // the backend can't have run it
		return decision.ConnectFailed, untouched
	case cause != nil:
		return decision.Timeout, false
	}
	return decision.Reset, false
}
