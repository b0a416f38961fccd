package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"lapisspread/internal/membudget"
)

const (
	maxBodyBytes            = 32 << 20  // maximum length of a request's or a response's body
	maxBufferedBody         = 64 << 10  // bytes; longer bodies are streamed instead of buffered
	streamedBodyReservation = 128 << 10 // bytes of memory reserved for a streamed body
	bodyGrowBytes           = 512       // minimum growth of the buffer for a body
	smallBody               = 8 << 10   // bytes; a request or response with such a body counts as a small one

	bodyStallTimeout = 2500 * time.Millisecond // maximum wait for the next byte of a request's body
	bodyGracePeriod  = 5 * time.Second         // added to the time that a body may take at minBodyRate
	minBodyRate      = 16 << 10                // bytes per second: minimum mean rate of a body
)

// bodyReservation returns the bytes of memory to reserve for a body of the given Content-Length; negative is unknown.
func bodyReservation(contentLength int64) int64 {
	if contentLength < 0 || contentLength > maxBufferedBody {
		return streamedBodyReservation
	}
	return contentLength
}

// initialBodyMemory returns the bytes of memory to take before a body is read. For a body of unknown length, readPrefix
// takes more as it arrives.
func initialBodyMemory(contentLength int64) int64 {
	if contentLength < 0 {
		return smallBody
	}
	return bodyReservation(contentLength)
}

// bodyReadDeadline returns the deadline for the next byte of a body: bodyStallTimeout from now, or earlier if the mean
// rate would fall below minBodyRate. waited is the time already spent waiting for the client.
func bodyReadDeadline(now time.Time, waited time.Duration, readBytes int64) time.Time {
	allowed := bodyGracePeriod + time.Duration(float64(readBytes)/minBodyRate*float64(time.Second))
	return now.Add(min(bodyStallTimeout, allowed-waited))
}

// readBody reads a short body completely. Of a body longer than maxBufferedBody it reads only the first maxBufferedBody
// bytes; the attempt that sends the body reads the rest.
func (f *httpFrontend) readBody(w http.ResponseWriter, r *http.Request, req *request) error {
	deadlines := http.NewResponseController(w)
	startedAt := time.Now()
	if c := connOf(r); c != nil {
		startedAt = c.requestStart()
	}
	prefix, complete, err := f.readPrefix(deadlines, r, req.message.memory, startedAt)
	if err != nil {
		return bodyReadError(err)
	}
	if complete {
		_ = deadlines.SetReadDeadline(time.Time{})
		req.message.body = prefix
		return nil
	}
	_ = deadlines.EnableFullDuplex() // the response may come before the body's end
	req.message.upload = newUpload(deadlines, r, req, prefix, startedAt)
	req.Upload = req.message.upload
	return nil
}

// readPrefix reads a body up to its end or to maxBufferedBody bytes, and reports whether that was all of it. It fails if
// there is no memory for a body of unknown length.
func (f *httpFrontend) readPrefix(
	deadlines *http.ResponseController, r *http.Request, memory *membudget.Account, startedAt time.Time,
) (body []byte, complete bool, err error) {
	taken := initialBodyMemory(r.ContentLength)
	deadline := startedAt.Add(f.bodyTimeout)
	body = make([]byte, 0, max(0, min(r.ContentLength, maxBufferedBody)))
	for len(body) < maxBufferedBody {
		if len(body) == cap(body) {
			if r.ContentLength >= 0 && int64(len(body)) == r.ContentLength {
				break
			}
			body = slices.Grow(body, bodyGrowBytes)
		}
		if missing := int64(cap(body)) - taken; r.ContentLength < 0 && missing > 0 {
			if !memory.Take(missing) {
				return nil, false, unavailable("too many bytes are in hand")
			}
			taken += missing
		}
		_ = deadlines.SetReadDeadline(deadline)
		n, err := r.Body.Read(body[len(body):min(cap(body), maxBufferedBody)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if n > 0 {
			deadline = bodyReadDeadline(time.Now(), time.Since(startedAt), int64(len(body)))
		}
	}
	complete = r.ContentLength == int64(len(body))
	if !complete && taken < streamedBodyReservation && !memory.Take(streamedBodyReservation-taken) {
		return nil, false, unavailable("too many bytes are in hand")
	}
	return body, complete, nil
}

// newUpload makes the upload of a body of which prefix has been read. When the body is complete, the engine is notified
// and sets the request's deadline for good.
func newUpload(
	deadlines *http.ResponseController, r *http.Request, req *request, prefix []byte, startedAt time.Time,
) *upload {
	svc := req.service
	u := &upload{
		prefix:          prefix,
		length:          r.ContentLength,
		remainder:       r.Body,
		waited:          time.Since(startedAt),
		clock:           svc.clock,
		setReadDeadline: deadlines.SetReadDeadline,
		failed:          make(chan error, 1),
		onComplete: func() {
			_ = deadlines.SetReadDeadline(time.Time{})
			svc.counters.InFlight.Add(1)
			// In a goroutine: the upload's lock is held here, and the engine may try to take it.
			go svc.engine.Post(func() { svc.engine.BodyComplete(&req.Request) })
		},
	}
	u.readBytes.Store(int64(len(prefix)))
	if c := connOf(r); c != nil {
		u.arrival = c
	}
	return u
}

// bodyReadError returns the rejection for a body that could not be read.
func bodyReadError(err error) error {
	if r := (*rejection)(nil); errors.As(err, &r) {
		return r
	}
	status := http.StatusBadRequest
	if isTimeout(err) {
		status = http.StatusRequestTimeout
	}
	return &rejection{status: status, message: fmt.Sprintf("reading the body: %v", err)}
}
