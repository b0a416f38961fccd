package proxy

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	"lapisspread/internal/membudget"
)

const (
	headerTimeout     = 2700 * time.Millisecond // for a request's head, from its first byte or a new connection's start
	bodyTimeout       = 2800 * time.Millisecond // for the head and the first byte of the body, from the same start
	idleTimeout       = 4 * time.Second         // after which the server closes an idle client connection
	rejectReadTimeout = 250 * time.Millisecond  // for the rest of a rejected request, so that its client gets the response
	writeStallTimeout = 10 * time.Second        // in which a client must take copyChunkBytes of a response
	maxHeaderBytes    = 16 << 10                // limit on a request's head

	drainAcceptPeriod = 600 * time.Millisecond // after SIGTERM: new connections still arrive for up to 400 ms
	maxDrainDeadline  = 3 * time.Second        // after SIGTERM: maximum request timeout that the drain waits for
	drainMargin       = 650 * time.Millisecond // added to the longest request timeout that the drain waits for
	longDrainTimeout  = time.Minute            // maximum duration of the drain, while long bodies are transferred
	drainPollInterval = 10 * time.Millisecond  // between two searches for idle connections

	healthPath = "/_health"
)

// httpFrontend is the client side of the proxy for HTTP: it receives requests and sends each one response, which the
// service that the request is routed to produces.
type httpFrontend struct {
	services *serviceSet
	cfg      *Config
	log      *slog.Logger
	server   *http.Server
	conns    *clientConns

	ids *requestIDs

	memory *membudget.Budget // for the bodies and responses of the requests in flight

	bodyTimeout time.Duration // the constant of that name; tests set less
}

// newFrontend returns a front end for the services of s. It accepts no connections before serve.
func newFrontend(s *serviceSet, cfg *Config, log *slog.Logger, conns *clientConns) *httpFrontend {
	f := &httpFrontend{
		services:    s,
		cfg:         cfg,
		log:         log,
		conns:       conns,
		ids:         newRequestIDs(s.proxy.sharedIDs),
		memory:      s.proxy.memory,
		bodyTimeout: bodyTimeout,
	}
	// ReadTimeout and WriteTimeout are not set: they would also run while a request waits for its backend, and end it
	// as if its client had closed the connection. ServeHTTP sets its own read deadlines, and clientConn limits writes.
	f.server = &http.Server{
		Handler:                      f,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnContext:                  withConn,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:                    conns.state,
	}
	return f
}

// serve accepts connections until the front end drains (nil), or until the listener fails.
func (f *httpFrontend) serve(listener net.Listener) error {
	err := f.server.Serve(&clientListener{Listener: listener, conns: f.conns})
	if (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) && f.conns.isDraining() {
		return nil
	}
	return err
}

// drain shuts the front end down without losing a request, and blocks until that is done. From its start on, responses
// close their connections. New connections are accepted for drainAcceptPeriod, unless a later process accepts from the
// same socket (superseded). Then idle connections are closed, and drain waits for the requests in flight.
func (f *httpFrontend) drain(listener net.Listener, superseded bool) {
	startedAt := time.Now()
	timeout := min(f.services.maxClientTimeout(), maxDrainDeadline) + drainMargin
	f.conns.setDraining(startedAt, timeout)
	if superseded {
		_ = listener.Close()
	}
	time.Sleep(drainAcceptPeriod)
	_ = listener.Close()
	// After the longest deadline only long bodies can be in flight. drain waits for them, because the end of the
	// process would cut them off.
	for f.conns.closeIdle(time.Now()) > 0 {
		elapsed := time.Since(startedAt)
		if elapsed >= longDrainTimeout {
			break
		}
		if elapsed >= timeout {
			f.conns.closeWithoutRequest()
		}
		time.Sleep(drainPollInterval)
	}
	_ = f.server.Close()
}

// ServeHTTP serves one request and blocks until its response is written. net/http calls it in the goroutine of the
// request's connection.
func (f *httpFrontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	conn := f.conns.admittedConn(r)
	conn.requestStarted()
	defer conn.requestEnded()
	if err := checkFraming(r); err != nil {
		f.reject(w, err)
		return
	}
	if r.URL.Path == healthPath {
		f.serveHealth(w)
		return
	}
	svc, policy, err := f.services.route(r)
	if err != nil {
		policy.CountRequest(false) // counted as failed: a policy with broken routes must not look healthy
		f.reject(w, err)
		return
	}
	defer svc.release()
	req, err := f.parseRequest(r, svc)
	if err != nil {
		f.reject(w, err)
		return
	}
	req.policy = policy
	if policy != nil {
		req.message.policyEpoch = policy.Epoch
	}
	f.serveRequest(w, r, req, requestOrigin{conn: conn, receivedAt: receivedAt})
}

// serveHealth answers a health check of the proxy itself.
func (f *httpFrontend) serveHealth(w http.ResponseWriter) {
	if f.closeIfDraining(w) {
		http.Error(w, "the proxy is ending", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// requestOrigin is where and when a request arrived.
type requestOrigin struct {
	conn       *clientConn // nil without admission control
	receivedAt time.Time
}

// serveRequest admits a request, reads its body, submits it to its service's engine and writes the result.
func (f *httpFrontend) serveRequest(w http.ResponseWriter, r *http.Request, req *request, origin requestOrigin) {
	id := r.Header.Get("X-Request-Id")
	bytes := bodyReservation(r.ContentLength)
	memory, err := f.reserve(id, requestMemory+initialBodyMemory(r.ContentLength))
	if err != nil {
		f.rejectRequest(w, req, err)
		return
	}
	defer f.release(id, memory)
	if err := f.claimID(id, req); err != nil {
		f.rejectRequest(w, req, err)
		return
	}
	req.message.memory = memory
	if c := connOf(r); c != nil {
		req.Client = c
	}
	if !origin.conn.reserveBytes(bytes) {
		f.rejectRequest(w, req, unavailable("too many bytes of this address are in hand"))
		return
	}
	ticket, rejected := f.services.admit(req.service, req.Class, req.Tenant, bytes)
	if rejected != nil {
		f.rejectRequest(w, req, rejected)
		return
	}
	defer func() { ticket.release(req.servedIn) }()
	if err := f.readBody(w, r, req); err != nil {
		f.rejectRequest(w, req, err)
		return
	}
	// A late request has until the end of the drain, see clientConns.answerBy.
	if f.conns.drainEnded(time.Now()) {
		f.rejectRequest(w, req, unavailable("the proxy is ending"))
		return
	}
	defer f.startRequest(r, req, origin.receivedAt)()
	svc := req.service
	svc.engine.Post(func() { svc.engine.Submit(&req.Request) })
	f.awaitResult(w, r, req, origin)
}

// startRequest counts a request as in flight and sets its deadline. For a streamed body, both happen once the body is
// complete. The caller must call the returned function at the request's end, which ends the counting and the upload.
func (f *httpFrontend) startRequest(r *http.Request, req *request, receivedAt time.Time) (end func()) {
	svc := req.service
	upload := req.message.upload
	if upload != nil {
		upload.startReadAhead(req.message.memory)
		return func() {
			if upload.stop() {
				svc.counters.InFlight.Add(-1)
			}
		}
	}
	req.Deadline = svc.clock.Now() + req.Timeout
	if r.ContentLength == 0 {
		req.Deadline -= time.Since(receivedAt)
	}
	svc.counters.InFlight.Add(1)
	return func() { svc.counters.InFlight.Add(-1) }
}

// awaitResult waits for a request's result and writes it. If reading the body fails or the client leaves first, it
// abandons the request.
func (f *httpFrontend) awaitResult(w http.ResponseWriter, r *http.Request, req *request, origin requestOrigin) {
	upload := req.message.upload
	var bodyFailed chan error
	if upload != nil {
		bodyFailed = upload.failed
	}
	left := r.Context().Done()
	for {
		select {
		case result := <-req.Result():
			f.resultReceived(w, r, req, origin, result)
			return
		case err := <-bodyFailed:
			f.bodyFailed(w, r, req, err)
			return
		case <-left:
			// net/http also cancels the context at an error of the body, which comes by one of the other channels.
			if upload != nil && !upload.isComplete() {
				left = nil
				continue
			}
			req.Abandon()
			f.rememberAbandoned(r, req)
			engine := req.service.engine
			engine.Post(func() {
				engine.ClientGone(&req.Request)
				f.forgetIfNotRun(r, req)
			})
			f.answerClientThatLeft(w, req)
			return
		}
	}
}

// resultReceived writes the result of a request.
func (f *httpFrontend) resultReceived(
	w http.ResponseWriter, r *http.Request, req *request, origin requestOrigin, result engine.Result,
) {
	if result.ClientGone {
		f.clientLeft(w, r, req, result.MayHaveRun)
		return
	}
	if result.Outcome == engine.Served {
		origin.conn.markServed()
		req.servedIn = time.Since(origin.receivedAt)
	}
	f.writeResult(w, req, result)
	if r.Context().Err() != nil && (result.Outcome == engine.Served || result.MayHaveRun) {
		f.rememberAbandoned(r, req)
	}
}

// bodyFailed ends a request whose streamed body could not be read to its end. No backend has its last byte.
func (f *httpFrontend) bodyFailed(w http.ResponseWriter, r *http.Request, req *request, err error) {
	req.Abandon()
	engine := req.service.engine
	engine.Post(func() { engine.ClientGone(&req.Request) })
	req.message.upload.stop()
	if errors.Is(err, errClientLeft) {
		f.clientLeft(w, r, req, false)
		return
	}
	f.rejectRequest(w, req, bodyReadError(err))
}

// clientLeft ends the handling of a request whose client has left.
func (f *httpFrontend) clientLeft(w http.ResponseWriter, r *http.Request, req *request, mayHaveRun bool) {
	if mayHaveRun {
		f.rememberAbandoned(r, req)
	}
	f.answerClientThatLeft(w, req)
}

// answerClientThatLeft writes a final response and closes the connection. net/http sends an empty 200 for a handler that
// writes nothing, and a client that closed only its write side would read it.
func (f *httpFrontend) answerClientThatLeft(w http.ResponseWriter, req *request) {
	req.service.counters.ClientsLeft.Add(1)
	f.log.Info("client left", req.identity())
	w.Header().Set("Connection", "close")
	writeResponse(w, response{status: http.StatusBadGateway})
}

// mustRunOnce reports whether a request must not run twice.
func (r *request) mustRunOnce() bool {
	return r.service.module.Classes[r.Class].Idempotency != decision.Idempotent
}

// claimID claims the ID of a request that must not run twice among the processes of this proxy.
func (f *httpFrontend) claimID(id string, req *request) error {
	if !req.mustRunOnce() {
		return nil
	}
	return f.ids.claim(id, req.Timeout)
}

// rememberAbandoned records that the client of a request has left, if the request must not run twice.
func (f *httpFrontend) rememberAbandoned(r *http.Request, req *request) {
	if req.mustRunOnce() {
		f.ids.abandon(r.Header.Get("X-Request-Id"))
	}
}

// forgetIfNotRun undoes rememberAbandoned if the request's result shows that it has not run.
func (f *httpFrontend) forgetIfNotRun(r *http.Request, req *request) {
	select {
	case result := <-req.Result():
		if result.Outcome != engine.Served && !result.MayHaveRun {
			f.ids.forgetAbandoned(r.Header.Get("X-Request-Id"))
		}
	default: // the engine has no result yet
	}
}

// closeIfDraining reports whether the proxy is draining, and if so makes this response close its connection.
func (f *httpFrontend) closeIfDraining(w http.ResponseWriter) bool {
	draining := f.conns.isDraining()
	if draining {
		w.Header().Set("Connection", "close")
	}
	return draining
}

// reserve registers a request's ID and takes the memory for its body. It returns a rejection if the ID must not come
// again or the memory is used up.
func (f *httpFrontend) reserve(id string, bytes int64) (*membudget.Account, error) {
	if err := f.ids.begin(id); err != nil {
		return nil, err
	}
	memory := f.memory.Open()
	if !memory.Take(bytes) {
		f.ids.end(id)
		return nil, unavailable("too many bytes are in hand")
	}
	return memory, nil
}

// release undoes reserve, and gives back all memory that the request has taken since.
func (f *httpFrontend) release(id string, memory *membudget.Account) {
	f.ids.end(id)
	memory.Close()
}
