package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"lapisspread/internal/engine"
	"lapisspread/internal/metrics"
)

const (
	copyChunkBytes      = 32 << 10 // size of the chunks in which a streamed body is copied
	smallCopyChunkBytes = 4 << 10  // the same where there is no memory for more
)

// response is the complete final response to a request.
type response struct {
	status     int
	retryAfter time.Duration
	body       []byte
}

// responseFor returns the HTTP response for an engine's result.
func responseFor(r engine.Result) response {
	switch {
	case r.Outcome == engine.Served:
		body, _ := r.Response.([]byte)
		return response{status: http.StatusOK, body: body}
	case r.Outcome == engine.Rejected:
		return response{status: http.StatusServiceUnavailable, retryAfter: r.RetryAfter}
	case r.TimedOut:
		return response{status: http.StatusGatewayTimeout}
	}
	return response{status: http.StatusBadGateway}
}

// outcomeForStatus returns the outcome that a response with the given status counts as.
func outcomeForStatus(status int) metrics.Outcome {
	switch status {
	case http.StatusOK:
		return metrics.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return metrics.Rejected
	}
	return metrics.Failed
}

// writeResult sends a request's result to its client. It panics with http.ErrAbortHandler if a streamed response fails
// midway, so that net/http closes the connection and the client detects that the response is incomplete.
func (f *httpFrontend) writeResult(w http.ResponseWriter, req *request, result engine.Result) {
	f.closeIfDraining(w)
	if upload := req.message.upload; upload != nil && !upload.stop() { // the rest of the body is not needed
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rejectReadTimeout))
	}
	stream, streamed := result.Stream.(*download)
	if !streamed {
		resp := responseFor(result)
		req.countOutcome(outcomeForStatus(resp.status))
		if result.Outcome == engine.Failed {
			f.log.Warn("request failed", req.identity(), "status", resp.status, "may_have_run", result.MayHaveRun)
		}
		writeResponse(w, resp)
		return
	}
	// A long response to a late request is not started: the end of the drain could cut it off.
	if f.conns.isLate(req.service.clock.Time(req.ReceivedAt())) {
		stream.End(errAbandoned)
		req.countOutcome(metrics.Failed)
		writeResponse(w, response{status: http.StatusBadGateway})
		return
	}
	chunk := smallCopyChunkBytes
	if req.message.memory.Take(copyChunkBytes) {
		chunk = copyChunkBytes
	}
	err := streamResponse(w, stream, make([]byte, chunk))
	stream.End(err)
	if err != nil {
		req.countOutcome(metrics.Failed)
		req.service.counters.BrokenResponses.Add(1)
		f.log.Warn("streamed response broke off", "err", err, req.identity())
		if req.http10 && stream.length < 0 {
			resetClientConn(w)
		}
		panic(http.ErrAbortHandler)
	}
	req.countOutcome(metrics.Served)
}

// rejectRequest rejects a request whose class is known, and counts it.
func (f *httpFrontend) rejectRequest(w http.ResponseWriter, req *request, err error) {
	req.countOutcome(outcomeForStatus(f.reject(w, err, req.identity())))
}

// reject sends an error response at once and closes the connection, since the bytes
// after the request's head can't be trusted to start another request.
// It returns the status. By default net/http reads the body to its end before it sends the response; full duplex
// prevents that. The log shows the attributes.
func (f *httpFrontend) reject(w http.ResponseWriter, err error, attributes ...any) int {
	status := http.StatusBadRequest
	retryAfter := time.Second
	if r := (*rejection)(nil); errors.As(err, &r) {
		status = r.status
		retryAfter = max(retryAfter, r.retryAfter)
	}
	f.log.Warn("request rejected", append([]any{"status", status, "err", err}, attributes...)...)
	c := http.NewResponseController(w)
	_ = c.EnableFullDuplex()
	_ = c.SetReadDeadline(time.Now().Add(rejectReadTimeout))
	if caps := &f.cfg.Decision.Capabilities; status == http.StatusServiceUnavailable && caps.RetryAfter {
		setRetryAfter(w.Header(), min(retryAfter, caps.MaxRetryAfter))
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
	return status
}

// setRetryAfter sets the Retry-After header in seconds, unless after is 0 or less.
func setRetryAfter(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

// writeResponse sends a response. Write errors are ignored: they mean that the client's connection is gone.
func writeResponse(w http.ResponseWriter, resp response) {
	h := w.Header()
	switch resp.status {
	case http.StatusOK:
		h.Set("Content-Type", "application/octet-stream")
	default:
		resp.body = []byte(http.StatusText(resp.status) + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
		setRetryAfter(h, resp.retryAfter)
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body)
}

// streamResponse copies a long response to the client as it arrives, by a buffer. An error means that the client did not
// get the complete response.
func streamResponse(w http.ResponseWriter, d *download, chunk []byte) error {
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	if d.length >= 0 {
		h.Set("Content-Length", fmt.Sprint(d.length))
	}
	c := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	for left := d.length; ; {
		n, err := d.body.Read(chunk)
		if n > 0 {
			if _, writeErr := w.Write(chunk[:n]); writeErr != nil {
				return fmt.Errorf("writing the response to the client: %w", writeErr)
			}
		}
		left -= int64(n)
		switch {
		case errors.Is(err, io.EOF) && (d.length < 0 || left == 0):
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return fmt.Errorf("reading the response from the backend: %w", err)
		}
		if err := c.Flush(); err != nil {
			return fmt.Errorf("writing the response to the client: %w", err)
		}
	}
}

// resetClientConn resets a client's connection. A response that ends with the connection would look complete if an
// ordinary close cut it off.
func resetClientConn(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	socket := nc
	if c, ok := nc.(*clientConn); ok {
		socket = c.Conn
	}
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
