package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"lapisspread/internal/proxy/rawsocket"
)

const (
	maxListBytes = 4 << 20 // length of an endpoint list; a longer one is invalid

	probeHold      = time.Millisecond       // hold of a watch that only checks whether discovery answers
	minWatchPause  = 10 * time.Millisecond  // the first pause after an answer that changes nothing
	maxWatchPause  = 160 * time.Millisecond // a watch must be renewed within 200 ms
	maxHedgedCalls = 3                      // calls in flight for one answer, including the first

	invalidListBackoffFactor = 10 // the pause after an invalid list, in multiples of the time it took to read
	maxInvalidListBackoff    = time.Second

	maxIdleDiscoveryConns = 1
	maxDiscoveryConns     = 4
)

// errNoResponse is the cause of a call that got no answer within its timeout, while its connection stayed open.
// "silent" in its text means that discovery sent no answer.
var errNoResponse = errors.New("discovery: silent")

// discoveryClient polls and watches the endpoint list at one address of discovery. It implements engine.Source.
type discoveryClient struct {
	addr          string
	timing        discoveryTiming
	log           *slog.Logger
	client        *http.Client
	ctx           context.Context // parent of all calls; ends with Close
	cancel        context.CancelFunc
	watchHold     func() time.Duration // how long discovery may hold the next watch
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	lateReadGrace time.Duration // extra time to read an answer that arrived within a call's timeout
	onInvalidList func()        // called for each list that can't be used
	answered      atomic.Bool   // the last call was answered
}

func newDiscoveryClient(addr string, timing discoveryTiming, log *slog.Logger) *discoveryClient {
	ctx, cancel := context.WithCancel(context.Background())
	// Without a timeout a connect during a network interruption would wait for the kernel's next SYN, long after the
	// interruption's end.
	dialer := &net.Dialer{Timeout: timing.slack}
	d := &discoveryClient{
		addr:          addr,
		timing:        timing,
		log:           log,
		ctx:           ctx,
		cancel:        cancel,
		watchHold:     func() time.Duration { return timing.watchHold },
		dial:          dialer.DialContext,
		lateReadGrace: timing.slack,
		onInvalidList: func() {},
	}
	d.client = &http.Client{
		Transport: &http.Transport{
			DialContext:         d.dialCounting,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleDiscoveryConns,
			MaxConnsPerHost:     maxDiscoveryConns,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return d
}

// dialCounting dials a connection that counts the bytes read from it.
func (d *discoveryClient) dialCounting(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: nc}, nil
}

// countingConn counts the bytes that were read from it.
type countingConn struct {
	net.Conn
	read atomic.Int64
}

// Read reads from the connection.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Addr returns the address of discovery.
func (d *discoveryClient) Addr() string { return d.addr }

// Fetch returns the whole endpoint list. It blocks for at most timing.fetchTimeout. An answer with only changes is an
// error.
func (d *discoveryClient) Fetch(ctx context.Context) (List, error) {
	list, err := d.callHedged(ctx, "")
	if err == nil && !list.Full {
		// The text means: discovery answered with changes although the whole list was requested.
		err = errors.New("discovery: changes in place of the whole list")
	}
	return list, err
}

// Close ends all calls and connections.
func (d *discoveryClient) Close() {
	d.cancel()
	d.client.CloseIdleConnections()
}

// Watch makes one call after another and calls notify with each answer, until a call fails or ctx ends. A call that
// gets no answer within its timeout is repeated at once on a new connection.
//
// A call made while discovery could not be reached may stay unanswered for long after discovery is reachable again. So
// until a call has been answered, no call requests a hold.
func (d *discoveryClient) Watch(ctx context.Context, from uint32, notify func(List)) error {
	pause := time.Duration(0)
	for {
		hold := d.watchHold()
		probing := !d.answered.Load()
		startedAt := time.Now()
		list, err := d.watchOnce(ctx, from, hold, probing)
		if errors.Is(err, errNoResponse) {
			d.log.Warn("discovery watch timed out, restarting it", "addr", d.addr, "version", from, "held", hold)
			continue
		}
		restarted := err == nil && !list.Full && list.OlderThan(from)
		if restarted {
			// Discovery numbers its versions from the start again. Until they exceed the previous versions,
			// its changes would be ignored as outdated, which may take long.
			d.log.Warn("discovery restarted its versions, fetching the whole list",
				"addr", d.addr, "version", from, "now", list.Version)
			list, err = d.Fetch(ctx)
		}
		if err != nil {
			return err
		}
		needsPause := restarted || list.Version == from || !list.Full && len(list.Endpoints) == 0
		from = list.Version
		notify(list)
		if probing || !needsPause || time.Since(startedAt) >= hold/2 {
			pause = 0
			continue
		}
		// Without this pause, a source that answers at once without a change would be called in a busy loop.
		pause = min(max(2*pause, minWatchPause), maxWatchPause)
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// watchOnce makes one call of a watch: while probing a hedged call with the short probeHold, otherwise a single call
// that discovery may hold for the given time.
func (d *discoveryClient) watchOnce(ctx context.Context, from uint32, hold time.Duration, probing bool) (List, error) {
	if probing {
		return d.callHedged(ctx, watchQuery(from, probeHold))
	}
	list, err := d.call(ctx, watchQuery(from, hold), hold+d.timing.slack)
	d.answered.Store(err == nil)
	return list, err
}

func watchQuery(from uint32, hold time.Duration) string {
	return fmt.Sprintf("?from=%d&hold_ms=%d", from, hold.Milliseconds())
}

// sleep waits for d. If ctx ends first, it returns ctx's cause.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// callHedged makes a call without a hold, and up to two hedged calls if the answer is late: a call may be lost while
// discovery can't be reached, or discovery may be slow. The first answer is used.
func (d *discoveryClient) callHedged(ctx context.Context, query string) (List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		list List
		err  error
	}
	answers := make(chan answer, maxHedgedCalls)
	startedAt := time.Now()
	next := time.NewTicker(d.timing.fetchTimeout / maxHedgedCalls)
	defer next.Stop()
	started := 0
	inFlight := 0
	for {
		if left := d.timing.fetchTimeout - time.Since(startedAt); started < maxHedgedCalls && left > 0 {
			started++
			inFlight++
			go func() {
				list, err := d.call(ctx, query, left)
				answers <- answer{list: list, err: err}
			}()
		}
		select {
		case a := <-answers:
			inFlight--
			if inFlight == 0 || !errors.Is(a.err, errNoResponse) {
				d.answered.Store(a.err == nil)
				return a.list, a.err
			}
			started = maxHedgedCalls // the timeout has passed: no further call
		case <-next.C:
		}
	}
}

// call makes one call. It blocks for at most timeout, or up to lateReadGrace longer if part of the answer has arrived.
func (d *discoveryClient) call(ctx context.Context, query string, timeout time.Duration) (_ List, err error) {
	callerCtx := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(d.ctx, func() { cancel(context.Canceled) })()
	ctx, timer := d.withTimeout(ctx, cancel, timeout)
	defer timer.Stop()
	defer func() { // wrap the cause, so that errors.Is finds it; err alone says "context canceled"
		if err != nil && errors.Is(context.Cause(ctx), errNoResponse) {
			err = fmt.Errorf("%w: %w", errNoResponse, err)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+"/catalog/members"+query, nil)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	startedAt := time.Now()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		if len(text) > 0 && callerCtx.Err() == nil { // a truncated list, or one that did not end within the timeout
			d.onInvalidList()
		}
		return List{}, fmt.Errorf("discovery: reading the list: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return List{}, statusError(resp)
	}
	list, err := parseList(text)
	if err != nil {
		timer.Stop()
		d.onInvalidList()
		// Without a pause, reading invalid lists one after another would use a whole CPU core.
		_ = sleep(callerCtx, min(invalidListBackoffFactor*time.Since(startedAt), maxInvalidListBackoff))
		return List{}, fmt.Errorf("discovery: bad list: %w", err)
	}
	return list, nil
}

// withTimeout cancels a call with errNoResponse once the timeout has passed. If part of the answer has arrived by then,
// the process may have been stopped meanwhile: the answer gets lateReadGrace to be read.
func (d *discoveryClient) withTimeout(ctx context.Context, cancel context.CancelCauseFunc, timeout time.Duration) (
	context.Context, *time.Timer,
) {
	var conn atomic.Pointer[countingConn]
	var readBefore atomic.Int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*countingConn); ok {
			readBefore.Store(c.read.Load())
			conn.Store(c)
		}
	}})
	timer := time.AfterFunc(timeout, func() {
		c := conn.Load()
		if c != nil && (c.read.Load() != readBefore.Load() || !rawsocket.Silent(c.Conn)) {
			time.AfterFunc(d.lateReadGrace, func() { cancel(errNoResponse) })
			return
		}
		cancel(errNoResponse)
	})
	return ctx, timer
}

// statusError returns the error of an answer whose status is not 200, as a retryAfterError if it has a valid
// Retry-After.
func statusError(resp *http.Response) error {
	err := fmt.Errorf("discovery: status %d", resp.StatusCode)
	seconds, malformed := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if malformed != nil || !(seconds > 0) {
		return err
	}
	after := time.Duration(min(seconds, maxEffectiveTimeout.Seconds()) * float64(time.Second))
	return &retryAfterError{error: err, after: after}
}

// retryAfterError is the error of an answer with a Retry-After header.
type retryAfterError struct {
	error
	after time.Duration
}

// RetryAfter returns how long to wait before the next call.
func (e *retryAfterError) RetryAfter() time.Duration { return e.after }
