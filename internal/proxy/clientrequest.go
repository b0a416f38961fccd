package proxy

import (
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/engine"
	"lapisspread/internal/metrics"
)

const (
	responseMargin        = 15 * time.Millisecond // subtracted from a client's timeout, for sending the response
	responseMarginDivisor = 4                     // the margin is at most the timeout divided by this
	maxAcceptedTimeout    = time.Hour             // a longer X-Timeout-Ms is an error
	maxEffectiveTimeout   = time.Minute           // a longer X-Timeout-Ms or Retry-After counts as this
	maxCostHint           = time.Hour             // a longer X-Cost is ignored
	maxRequestIDBytes     = 256
)

// request is a client's request: the part that the engine uses, and the message that is sent to a backend.
type request struct {
	engine.Request
	message  *message
	service  *service
	policy   *client.InstalledPolicy // the policy that routed the request; nil without a control plane
	http10   bool                    // the client uses HTTP/1.0: a response of unknown length ends with the connection
	servedIn time.Duration           // time from receipt to a successful result; 0 without one
}

// countOutcome counts the request's outcome for its service and for the policy that routed it.
func (r *request) countOutcome(o metrics.Outcome) {
	r.service.counters.CountRequest(r.Class, o)
	r.policy.CountRequest(o == metrics.Served)
}

// identity returns what the log shows of a request.
func (r *request) identity() slog.Attr {
	class := r.service.module.Classes[r.Class].Name
	return slog.Group("", "id", r.message.header.Get("X-Request-Id"), "class", class)
}

// rejection is an error that is sent to the client as a response. The message becomes the response's body; existing
// messages stay unchanged, since clients may match them.
type rejection struct {
	status     int
	message    string
	retryAfter time.Duration // 0 if unknown
}

// Error returns the text that the client reads.
func (r *rejection) Error() string { return r.message }

// malformed returns a rejection of an invalid request, with status 400.
func malformed(format string, args ...any) error {
	return &rejection{status: http.StatusBadRequest, message: fmt.Sprintf(format, args...)}
}

// unavailable returns a rejection of a valid request that can't be served at the moment, with status 503.
func unavailable(message string) error {
	return &rejection{status: http.StatusServiceUnavailable, message: message}
}

// bodyTooLong returns a rejection of a body of more than maxBodyBytes, with status 413.
func bodyTooLong() error {
	return &rejection{
		status:  http.StatusRequestEntityTooLarge,
		message: fmt.Sprintf("the body is longer than %d bytes", maxBodyBytes),
	}
}

// checkFraming rejects requests whose body's end is ambiguous. net/http ignores Content-Length beside
// Transfer-Encoding, and ignores Transfer-Encoding in HTTP/1.0. A backend that uses the other one would find a second
// request inside the body (request smuggling).
func checkFraming(r *http.Request) error {
	if c := connOf(r); c != nil {
		framing, known := c.nextFraming()
		if !known || framing.Ambiguous || framing.Chunked != (len(r.TransferEncoding) > 0) ||
			!framing.Chunked && max(framing.Length, 0) != r.ContentLength {
			// The scanner found the framing ambiguous, or net/http reads it differently.
			return malformed("the body's end is not plainly told")
		}
	}
	switch {
	case r.ContentLength > maxBodyBytes:
		return bodyTooLong()
	case !r.ProtoAtLeast(1, 1) && r.ContentLength != 0:
		return &rejection{status: http.StatusHTTPVersionNotSupported, message: "bodies are taken by HTTP/1.1 only"}
	}
	return nil
}

// parseRequest makes a request from its head. An error is a rejection. The body is read later.
func (f *httpFrontend) parseRequest(r *http.Request, svc *service) (*request, error) {
	h := r.Header
	for _, name := range []string{"X-Request-Id", "X-Priority-Class", "X-Timeout-Ms"} {
		if len(h[name]) != 1 {
			return nil, malformed("%s must be given once", name)
		}
	}
	if id := h.Get("X-Request-Id"); id == "" || len(id) > maxRequestIDBytes {
		return nil, malformed("no X-Request-ID, or a very long one")
	}
	class, known := lookupName(svc.classes, h.Get("X-Priority-Class"))
	if !known {
		return nil, malformed("unknown X-Priority-Class %q", h.Get("X-Priority-Class"))
	}
	ms, err := strconv.ParseInt(h.Get("X-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxAcceptedTimeout.Milliseconds() {
		return nil, malformed("X-Timeout-Ms %q is no whole number of milliseconds in range", h.Get("X-Timeout-Ms"))
	}
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.URL.Path, "/") {
		// CONNECT, or a request target that is not a path.
		return nil, malformed("%s %q is not for a proxy of this kind", r.Method, r.RequestURI)
	}
	timeout := min(time.Duration(ms)*time.Millisecond, maxEffectiveTimeout)
	tenant, _ := lookupName(svc.tenants, h.Get("X-Tenant-Id"))
	m := &message{method: r.Method, host: r.Host, url: *r.URL, header: forwardedHeader(h)}
	req := &request{
		message: m,
		service: svc,
		http10:  !r.ProtoAtLeast(1, 1),
		Request: engine.Request{
			Message:      m,
			Class:        class,
			Tenant:       tenant,
			Key:          keyHash(r.URL.Query().Get("key")),
			ExpectedWork: parseCostHint(h.Get("X-Cost")),
			MarkedRetry:  h.Get("X-Retried") == "1",
			Timeout:      timeout - min(responseMargin, timeout/responseMarginDivisor),
		},
	}
	req.Init()
	return req, nil
}

// lookupName returns the number of a name, looked up as it is given and else in its normalized form, and whether the
// name is known.
func lookupName(numbers map[string]int, name string) (int, bool) {
	if i, known := numbers[name]; known {
		return i, true
	}
	i, known := numbers[normalizeName(name)]
	return i, known
}

// parseCostHint parses X-Cost, the expected work in microseconds. It returns 0 for invalid values.
func parseCostHint(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0 && us < float64(maxCostHint/time.Microsecond)) {
		return 0
	}
	return time.Duration(us * float64(time.Microsecond))
}

// keyHash hashes a request's key; 0 is no key. The hash depends only on the key's text, so that all proxies send
// requests of a key to the same backends.
func keyHash(key string) uint64 {
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, key)
	return max(h.Sum64(), 1)
}

// forwardedHeader returns the part of a client's header that is forwarded to the backend: all but hop-by-hop fields.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range []string{"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		out.Del(name)
	}
	// Forwarded even if the client's Connection header names them: the backend can't recognize a retry without them.
	for _, name := range []string{"X-Request-Id", "Idempotency-Key"} {
		if v, found := h[name]; found {
			out[name] = v
		}
	}
	if _, found := out["User-Agent"]; !found {
		out["User-Agent"] = nil // otherwise net/http would send its own
	}
	return out
}
