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
	"lapisspread/internal/membudget"
)

// message is a client's request as it is sent to backends, once for each attempt.
type message struct {
	method      string
	host        string
	url         url.URL
	header      http.Header
	policyEpoch string // epoch of the policy that routed the request; empty if no policy did
	body        []byte
	upload      *upload            // a long body, streamed; body is empty then
	memory      *membudget.Account // for the body and the responses; nil is not limited
	healthCheck bool

	// startStream starts to stream a long response to the client, and reports false if it is too late. If it is nil, a
	// long response is invalid.
	startStream func(*download) bool
	// sendAllowed is engine.Attempt.SendAllowed; nil always allows the send, without a deadline.
	sendAllowed func() (deadline time.Time, allowed bool)
	// timeLeft is engine.Attempt.TimeLeft; nil sends no X-Timeout-Ms.
	timeLeft func() time.Duration
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

// Consumed reports whether a streamed body was read beyond its prefix, so that there can be no further attempt.
func (m *message) Consumed() bool { return m.upload.isConsumed() }

// newRequest returns the request of one attempt on a connection to addr.
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

// poolBackend implements engine.Backend for a backend of a pool.
type poolBackend struct {
	pool    *pool
	backend *backend
}

// Exchange sends a request once. It blocks until the attempt has ended or ctx is cancelled. The second result is the
// response's body as []byte, empty if the body was streamed.
func (p poolBackend) Exchange(ctx context.Context, a engine.Attempt) (decision.Result, any) {
	m := *a.Message.(*message)
	m.startStream = func(d *download) bool { return a.StartStream(d) }
	m.sendAllowed = a.SendAllowed
	m.timeLeft = a.TimeLeft
	m.header = m.header.Clone()
	if p.pool.fleetHeaders { // a client's own headers must not be taken for the proxy's
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

// CheckHealth sends a health check. It blocks for at most connectTimeout.
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

// exchange sends a message once and returns the result, and for OK the response's body unless that was streamed.
//
// A backend may close an idle connection just as it is taken, or send bytes after its response. As long as no byte of
// the request was written to the connection, another connection is tried.
func (p *pool) exchange(ctx context.Context, b *backend, m *message) (decision.Result, []byte) {
	for {
		c, err := p.takeIdle(b)
		reused := c != nil
		if err == nil && !reused {
			c, err = p.dial(ctx, b)
		}
		if err == nil && reused {
			if err = c.awaitSettled(ctx); err != nil {
				p.putIdle(b, c)
			}
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

// connectResult returns the result of an attempt that got no connection. A lack of sockets in this process, or of time
// to reuse a connection, must not count against the backend, or all backends would appear to be down.
func connectResult(ctx context.Context, err error) decision.Result {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return decision.Cancelled
	case errors.Is(err, errNoSockets), errors.Is(err, errNotSettled):
		return decision.NotSent
	}
	return decision.ConnectFailed
}

// roundTrip sends a message on one connection and waits for the response; untouched reports that no byte of the
// message was written. If the exchange fails or times out, the connection is closed.
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
		if err != nil { // no read deadline is set yet, since the request's body was not sent completely
			c.limitRead(time.Now().Add(p.connectTimeout))
		}
		received, receiveErr := p.receive(ctx, c, m, req, sent.complete)
		if receiveErr == nil && (sent.complete || received.status != http.StatusOK) {
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
			err = receiveErr
		}
	}
	stopInterrupt()
	_ = c.Close()
	if ctx.Err() == nil && !idleSince.IsZero() && time.Since(startedAt) < p.staleWindow && isConnError(err) {
		p.noteBrokenIdleConn(startedAt.Sub(idleSince))
	}
	result, untouched = failedResult(ctx, err, sent)
	return result, nil, untouched
}

// transmission records how much of a request was written.
type transmission struct {
	bytes    int
	complete bool // the last byte was written
}

// send writes a message if it may still be sent. An upload can't be sent again once bytes beyond its prefix were read.
func (p *pool) send(ctx context.Context, b *backend, c *conn, m *message, req *http.Request) (transmission, error) {
	if err := p.checkSendable(ctx, b, c); err != nil {
		return transmission{}, err
	}
	deadline, err := m.sendDeadline()
	if err != nil {
		return transmission{}, err
	}
	if m.timeLeft != nil {
		req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, m.timeLeft().Milliseconds()), 10))
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

// reception is the final response to a request.
type reception struct {
	status   int
	result   decision.Result
	body     []byte
	reusable bool // the connection may carry another request
}

// receive reads the response to a request. A long response is streamed to the client until its end, but not if the
// request was not sent completely.
func (p *pool) receive(ctx context.Context, c *conn, m *message, req *http.Request, sent bool) (reception, error) {
	resp, body, stream, err := c.readResponse(req, m.memory)
	if err == nil && stream != nil {
		defer stream.closeBody()
		if sent && resp.StatusCode == http.StatusOK {
			err = deliverStream(ctx, stream, m)
		}
	}
	if err != nil {
		return reception{}, err
	}
	bodyNotRead := stream != nil && resp.StatusCode != http.StatusOK
	result := responseResult(resp)
	// A body that was not read completely may be invalid, and an invalid response doesn't prove that the request did
	// not run.
	if bodyNotRead && result == decision.Rejected {
		result = decision.Error
	}
	return reception{status: resp.StatusCode, result: result, body: body, reusable: !resp.Close && !bodyNotRead}, nil
}

// deliverStream streams a long response to the request's client, and blocks until the client has read it or ctx ends.
//
// It starts with the first byte of the body. A backend may fall silent after its response's head: until there is something
// to write to the client, the request is not answered and has its deadline.
func deliverStream(ctx context.Context, d *download, m *message) error {
	if m.startStream == nil {
		return fmt.Errorf("%w: more than %d bytes", errInvalidResponse, maxBufferedBody)
	}
	err := d.awaitFirstByte()
	if errors.Is(err, io.EOF) { // an empty body, which needs no stream
		return nil
	}
	if err != nil {
		return err
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

// isConnError reports whether an attempt failed because its connection broke. Other errors are an invalid response or a
// reason not to use the connection.
func isConnError(err error) bool {
	for _, reason := range []error{errInvalidResponse, errStaleConn, errBackendClosed, errSendTooLate} {
		if errors.Is(err, reason) {
			return false
		}
	}
	return true
}

// failedResult returns the result of an attempt that failed with err, and whether no byte of its request was written.
func failedResult(ctx context.Context, err error, sent transmission) (result decision.Result, untouched bool) {
	cause := context.Cause(ctx)
	untouched = sent.bytes == 0
	switch {
	case errors.Is(cause, context.Canceled), errors.Is(err, errClientBody), errors.Is(err, errAbandoned):
		return decision.Cancelled, untouched
	case errors.Is(err, errBodyConsumed), errors.Is(err, errSendTooLate):
		return decision.NotSent, false
	case !sent.complete: // the backend can't have run an incomplete request
		return decision.ConnectFailed, untouched
	case cause != nil:
		return decision.Timeout, false
	}
	return decision.Reset, false
}
