package proxy

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/engine"
	"lapisspread/internal/metrics"
)

const (
	answerRoom    = 15 * time.Millisecond   // before a client's deadline, for an answer's way back,
	roomPart      = 4                       // or this part of a short one
	maxTimeout    = time.Hour               // a longer X-Timeout-Ms is taken for an error,
	longTimeout   = time.Minute             // and one longer than this for this
	maxHint       = time.Hour               // a longer X-Cost is none
	headerTimeout = 2700 * time.Millisecond // for a request's head, from its first byte or its connection's start
	bodyTimeout   = 2800 * time.Millisecond // for its head and the first byte of its body, likewise
	rejectDrain   = 250 * time.Millisecond  // for the rest of what was turned away, so that the client reads why
	writeTimeout  = 10 * time.Second        // for an answer's way out
	idleTimeout   = 4 * time.Second
	idBytes       = 256     // the longest X-Request-ID
	inHandPart    = 1.0 / 8 // of the memory, for the bodies of all requests in hand
	headerBytes   = 16 << 10

	acceptOn  = 600 * time.Millisecond // after SIGTERM: connections come for up to 400 ms more
	lastCall  = 3 * time.Second        // after SIGTERM: the longest deadline that is waited for,
	drainRoom = 650 * time.Millisecond // and past it
	drainLong = time.Minute            // after SIGTERM: for long answers and bodies that are on their way then
	drainLook = 10 * time.Millisecond
)

// httpFrontend takes clients' requests and gives each its one answer, by the service that it is routed to.
type httpFrontend struct {
	services *services
	cfg      *Config
	clock    engine.Clock
	log      *slog.Logger
	server   *http.Server
	conns    *clientConns

	mu        sync.Mutex
	open      map[string]bool // the ids of requests in hand
	bytes     int64           // of their bodies
	mostBytes int64

	bodyTimeout, writeTimeout time.Duration
}

func newFrontend(s *services, cfg *Config, log *slog.Logger, conns *clientConns) *httpFrontend {
	f := &httpFrontend{services: s, cfg: cfg, clock: engine.NewClock(), log: log, conns: conns, open: map[string]bool{},
		mostBytes: bodyRoom(cfg), bodyTimeout: bodyTimeout, writeTimeout: writeTimeout}
	// Danger: the server's ReadTimeout and WriteTimeout go on while a request is in hand. One that waits for
	// longer than they allow would be taken for gone, or its answer be lost. ServeHTTP sets its own.
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		DisableGeneralOptionsHandler: true, ConnContext: withConn,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn), ConnState: f.conns.state}
	return f
}

// serve takes connections until drain, or until the listener fails.
func (f *httpFrontend) serve(listener net.Listener) error {
	err := f.server.Serve(&clientListener{Listener: listener, conns: f.conns})
	if (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) && f.conns.isDraining() {
		return nil
	}
	return err
}

// drain ends the service in order: answers close their connections from now on; new ones are taken for a
// while yet, unless a later process takes them from the same socket; then the idle ones are closed, and it waits
// for what was taken.
func (f *httpFrontend) drain(listener net.Listener, succeeded bool) {
	began := time.Now()
	most := min(f.services.longest(), lastCall) + drainRoom
	f.conns.setDraining(f.clock.Now(), most)
	if succeeded {
		listener.Close()
	}
	time.Sleep(acceptOn)
	listener.Close()
	// Danger: what is in hand when the process ends by itself is lost. Past the last deadline that can only be long
	// answers and bodies; these go on until they end, or until somebody ends the process.
	for f.conns.closeIdle(time.Now()) > 0 {
		passed := time.Since(began)
		if passed >= drainLong {
			break
		}
		if passed >= most {
			f.conns.closeUnread()
		}
		time.Sleep(drainLook)
	}
	f.server.Close()
}

func (f *httpFrontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	taken := time.Now()
	guest := f.conns.guest(r)
	guest.begin()
	defer guest.end()
	if err := checkFraming(r); err != nil {
		f.reject(w, err)
		return
	}
	if r.URL.Path == "/_health" {
		if f.closing(w) {
			http.Error(w, "the proxy is ending", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ok\n")
		return
	}
	svc, policy, err := f.services.route(r)
	if err != nil {
		policy.CountRequest(false) // one that leads nowhere must not look well
		f.reject(w, err)
		return
	}
	defer svc.leave()
	req, err := f.parse(r, svc)
	if err != nil {
		f.reject(w, err)
		return
	}
	req.policy = policy
	if policy != nil {
		req.message.epoch = policy.Epoch
	}
	id, bytes := r.Header.Get("X-Request-Id"), r.ContentLength
	if bytes < 0 || bytes > bodyBytes {
		bytes = streamBytes
	}
	if err := f.enter(id, bytes); err != nil {
		f.turnAway(w, req, err)
		return
	}
	defer f.leave(id, bytes)
	if !guest.hold(bytes) {
		f.turnAway(w, req, &rejection{status: http.StatusServiceUnavailable, text: "too many bytes of this address are in hand"})
		return
	}
	ticket, why, after := f.services.admit(svc, req.Class, req.Tenant, bytes)
	if why != "" {
		f.turnAway(w, req, &rejection{status: http.StatusServiceUnavailable, text: why, after: after})
		return
	}
	defer func() { ticket.end(req.took) }()
	if err := f.readAhead(w, r, req); err != nil {
		f.turnAway(w, req, err)
		return
	}
	// Danger: what comes late in a drain, on a connection that was open yet, is lost if the process's end finds it unanswered.
	if left, late := f.conns.left(f.clock.Now()); late && left <= 0 {
		f.turnAway(w, req, &rejection{status: http.StatusServiceUnavailable, text: "the proxy is ending"})
		return
	} else if late {
		req.Timeout = min(req.Timeout, left)
	}
	u := req.message.upload
	if u != nil {
		defer func() {
			if u.stop() {
				svc.figures.InFlight.Add(-1)
			}
		}()
	} else {
		req.Deadline = svc.clock.Now() + req.Timeout
		if r.ContentLength == 0 {
			req.Deadline -= time.Since(taken)
		}
		svc.figures.InFlight.Add(1)
		defer svc.figures.InFlight.Add(-1)
	}
	svc.engine.Post(func() { svc.engine.Submit(&req.Request) })
	var failed chan error
	if u != nil {
		failed = u.failed
	}
	select {
	case a := <-req.Result():
		if a.Outcome == engine.Served {
			guest.noteServed()
			req.took = time.Since(taken)
		}
		f.answer(w, req, u, a)
	case err := <-failed:
		req.Abandon()
		svc.engine.Post(func() { svc.engine.ClientGone(&req.Request) })
		u.stop()
		f.turnAway(w, req, unread(err))
	case <-r.Context().Done():
		req.Abandon()
		svc.engine.Post(func() { svc.engine.ClientGone(&req.Request) })
		// Danger: the server words a handler's silence as an empty 200, and who has closed only its sending would read that.
		w.Header().Set("Connection", "close")
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.writeTimeout))
		write(w, answer{status: http.StatusBadGateway})
	}
}

// readAhead reads a short body whole. Of a long one it reads what can be held, and has the rest read by an attempt.
func (f *httpFrontend) readAhead(w http.ResponseWriter, r *http.Request, req *request) error {
	deadlines := http.NewResponseController(w)
	began := time.Now()
	if c, ours := r.Context().Value(connKey{}).(*clientConn); ours {
		began = c.begun()
	}
	limit := began.Add(f.bodyTimeout)
	body := make([]byte, 0, max(0, min(r.ContentLength, bodyBytes)))
	for len(body) < bodyBytes {
		if len(body) == cap(body) {
			if r.ContentLength >= 0 && int64(len(body)) == r.ContentLength {
				break
			}
			body = slices.Grow(body, 512)
		}
		deadlines.SetReadDeadline(limit)
		n, err := r.Body.Read(body[len(body):min(cap(body), bodyBytes)])
		body = body[:len(body)+n]
		if err == io.EOF {
			deadlines.SetReadDeadline(time.Time{})
			req.message.body = body
			return nil
		}
		if err != nil {
			return unread(err)
		}
		if n > 0 {
			limit = bodyLimit(time.Now(), began, int64(len(body)))
		}
	}
	if r.ContentLength == int64(len(body)) {
		deadlines.SetReadDeadline(time.Time{})
		req.message.body = body
		return nil
	}
	deadlines.EnableFullDuplex() // an answer may come before the body's end
	u := &upload{ahead: body, length: r.ContentLength, began: began, rest: r.Body, read: int64(len(body)),
		limit: deadlines.SetReadDeadline, failed: make(chan error, 1)}
	svc := req.service
	u.whole = func() {
		deadlines.SetReadDeadline(time.Time{})
		now := svc.clock.Now()
		svc.figures.InFlight.Add(1)
		go svc.engine.Post(func() { svc.engine.BodyComplete(&req.Request, now) }) // Danger: the engine may ask for the lock that is held here
	}
	req.message.upload = u
	return nil
}

// unread says why a body could not be read.
func unread(err error) error {
	if r := (*rejection)(nil); errors.As(err, &r) {
		return r
	}
	status := http.StatusBadRequest
	if timedOut(err) {
		status = http.StatusRequestTimeout
	}
	return &rejection{status: status, text: fmt.Sprintf("reading the body: %v", err)}
}

// answer gives the client the final answer.
func (f *httpFrontend) answer(w http.ResponseWriter, req *request, u *upload, a engine.Result) {
	f.closing(w)
	c := http.NewResponseController(w)
	if u != nil {
		if !u.stop() { // the rest of the body is not wanted
			w.Header().Set("Connection", "close")
			c.SetReadDeadline(time.Now().Add(rejectDrain))
		}
	}
	stream, long := a.Stream.(*download)
	if !long {
		plain := worded(a)
		req.ended(outcomeOf(plain.status))
		c.SetWriteDeadline(time.Now().Add(f.writeTimeout))
		write(w, plain)
		return
	}
	// Danger: of what comes late in a drain a long answer may be cut off by the process's end, and be lost.
	if f.conns.isLate(f.clock.Now() - req.service.clock.Now() + req.ReceivedAt()) {
		stream.End(errGone)
		req.ended(metrics.Failed)
		write(w, answer{status: http.StatusBadGateway})
		return
	}
	err := pass(w, stream, f.writeTimeout)
	stream.End(err)
	if err != nil {
		req.ended(metrics.Failed)
		f.log.Warn("a long answer broke off", "err", err)
		if req.old && stream.length < 0 {
			resetClient(w)
		}
		panic(http.ErrAbortHandler) // the client must be able to tell
	}
	req.ended(metrics.Served)
}

// turnAway rejects a request whose class is known.
func (f *httpFrontend) turnAway(w http.ResponseWriter, req *request, err error) {
	req.ended(outcomeOf(f.reject(w, err)))
}

// closing has the connection closed after this answer while the proxy ends, which it tells.
func (f *httpFrontend) closing(w http.ResponseWriter) bool {
	draining := f.conns.isDraining()
	if draining {
		w.Header().Set("Connection", "close")
	}
	return draining
}

// outcomeOf is what an answer of that status counts as.
func outcomeOf(status int) metrics.Outcome {
	switch status {
	case http.StatusOK:
		return metrics.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return metrics.Rejected
	}
	return metrics.Failed
}

// rejection says why a request is not taken.
type rejection struct {
	status int
	text   string
	after  time.Duration // when it is worth to come again; 0 is not known
}

func (r *rejection) Error() string { return r.text }

func malformed(format string, args ...any) error {
	return &rejection{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// reject turns a request away at once and closes its connection: what comes behind it can't be trusted. The
// server would read a body to its end before it writes an error, so it is told not to.
func (f *httpFrontend) reject(w http.ResponseWriter, err error) int {
	status, after := http.StatusBadRequest, time.Second
	if r := (*rejection)(nil); errors.As(err, &r) {
		status, after = r.status, max(after, r.after)
	}
	f.log.Warn("a request was turned away", "status", status, "err", err)
	c := http.NewResponseController(w)
	c.EnableFullDuplex()
	c.SetReadDeadline(time.Now().Add(rejectDrain))
	c.SetWriteDeadline(time.Now().Add(f.writeTimeout))
	if caps := &f.cfg.Module.Capabilities; status == http.StatusServiceUnavailable && caps.RetryAfter {
		setRetryAfter(w.Header(), min(after, caps.MaxRetryAfter))
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
	return status
}

// checkFraming refuses bodies whose end is not plainly told. Danger: where a length and an encoding stand
// side by side, who goes by the other one finds a request inside the body. net/http drops the length then, and
// in HTTP/1.0 the encoding, without a word.
func checkFraming(r *http.Request) error {
	if c, ours := r.Context().Value(connKey{}).(*clientConn); ours {
		h, known := c.framing()
		if !known || h.odd || h.chunked != (len(r.TransferEncoding) > 0) ||
			!h.chunked && max(h.length, 0) != r.ContentLength {
			return malformed("the body's end is not plainly told")
		}
	}
	switch {
	case r.ContentLength > mostBytes:
		return &rejection{status: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("the body is longer than %d bytes", mostBytes)}
	case !r.ProtoAtLeast(1, 1) && r.ContentLength != 0:
		return &rejection{status: http.StatusHTTPVersionNotSupported, text: "bodies are taken by HTTP/1.1 only"}
	}
	return nil
}

// enter takes a request in hand, if no other of its id is and there is room for its body.
func (f *httpFrontend) enter(id string, bytes int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[id] {
		return &rejection{status: http.StatusConflict, text: "a request with this X-Request-ID is open"}
	}
	if f.bytes+bytes > f.mostBytes {
		return &rejection{status: http.StatusServiceUnavailable, text: "too many bytes are in hand"}
	}
	f.open[id] = true
	f.bytes += bytes
	return nil
}

// leave ends what enter began.
func (f *httpFrontend) leave(id string, bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, id)
	f.bytes -= bytes
}

// parse makes a request of a head, or says what is wrong with it. The body is yet to be read.
func (f *httpFrontend) parse(r *http.Request, svc *service) (*request, error) {
	h := r.Header
	for _, name := range []string{"X-Request-Id", "X-Priority-Class", "X-Timeout-Ms"} {
		if len(h[name]) != 1 {
			return nil, malformed("%s must be given once", name)
		}
	}
	if id := h.Get("X-Request-Id"); id == "" || len(id) > idBytes {
		return nil, malformed("no X-Request-ID, or a very long one")
	}
	class, known := named(svc.classes, h.Get("X-Priority-Class"))
	if !known {
		return nil, malformed("unknown X-Priority-Class %q", h.Get("X-Priority-Class"))
	}
	ms, err := strconv.ParseInt(h.Get("X-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return nil, malformed("X-Timeout-Ms %q is no whole number of milliseconds in range", h.Get("X-Timeout-Ms"))
	}
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.URL.Path, "/") {
		return nil, malformed("%s %q is not for a proxy of this kind", r.Method, r.RequestURI)
	}
	timeout := min(time.Duration(ms)*time.Millisecond, longTimeout)
	tenant, _ := named(svc.tenants, h.Get("X-Tenant-Id"))
	m := &message{method: r.Method, host: r.Host, url: *r.URL, header: forwarded(h)}
	req := &request{message: m, service: svc, old: !r.ProtoAtLeast(1, 1), Request: engine.Request{Message: m, Class: class, Tenant: tenant,
		Key: keyHash(r.URL.Query().Get("key")), ExpectedWork: hint(h.Get("X-Cost")), MarkedRetry: h.Get("X-Retried") == "1",
		Timeout: timeout - min(answerRoom, timeout/roomPart)}}
	req.Init()
	return req, nil
}

// named gives the number of a name, as it is told or else in its plain form.
func named(numbers map[string]int, name string) (int, bool) {
	if i, known := numbers[name]; known {
		return i, true
	}
	i, known := numbers[plain(name)]
	return i, known
}

// hint is the guess at a request's work; one that makes no sense counts as none.
func hint(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0 && us < float64(maxHint/time.Microsecond)) {
		return 0
	}
	return time.Duration(us * float64(time.Microsecond))
}

// keyHash comes from the key's text alone, so that all proxies send it to the same backends; 0 is no key.
func keyHash(key string) uint64 {
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	io.WriteString(h, key)
	return max(h.Sum64(), 1)
}

// forwarded is what of a request's head concerns the backend too.
func forwarded(h http.Header) http.Header {
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
	// Danger: a client may name these in its Connection header; without them a backend knows no request.
	for _, name := range []string{"X-Request-Id", "Idempotency-Key"} {
		if v, found := h[name]; found {
			out[name] = v
		}
	}
	if _, found := out["User-Agent"]; !found {
		out["User-Agent"] = nil // none of the library's own
	}
	return out
}

// request is an exchange with the message that it carries.
type request struct {
	policy *client.InstalledPolicy // that it is decided under; nil without a fleet
	engine.Request
	message *message
	service *service
	old     bool          // its client has HTTP/1.0: an answer of no told length ends with the connection
	took    time.Duration // to its answer, if that served
}

// answer is a request's final answer in HTTP.
type answer struct {
	status     int
	retryAfter time.Duration
	body       []byte
}

// worded puts a result into HTTP.
func worded(r engine.Result) answer {
	switch {
	case r.Outcome == engine.Served:
		body, _ := r.Response.([]byte)
		return answer{status: http.StatusOK, body: body}
	case r.Outcome == engine.Rejected:
		return answer{status: http.StatusServiceUnavailable, retryAfter: r.RetryAfter}
	case r.TimedOut:
		return answer{status: http.StatusGatewayTimeout}
	}
	return answer{status: http.StatusBadGateway}
}

// setRetryAfter says when to come back, if there is anything to say.
func setRetryAfter(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

// write gives the answer. What goes wrong here is the client's end of the connection.
func write(w http.ResponseWriter, a answer) {
	h := w.Header()
	switch a.status {
	case http.StatusOK:
		h.Set("Content-Type", "application/octet-stream")
	default:
		a.body = []byte(http.StatusText(a.status) + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
		setRetryAfter(h, a.retryAfter)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}
