package liverun

import (
	"bufio"
	"cmp"
	"container/heap"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
)

// front is the front layer and the clients behind it.
type front struct {
	r    *Run
	late *hdrhistogram.Histogram // how late tries were sent, in microseconds; guarded by r.mu

	mu      sync.Mutex
	up      []bool // by proxy: its health said yes
	served  []atomic.Int64
	inRow   []atomic.Int64 // served since the last that was not
	turn    int
	idle    [][]*clientConn // by proxy
	crowd   [][]*clientConn // by proxy and client, where each has a connection of its own; nil where it has none
	taken   [][]bool        // by another request of that client
	endings []*ending       // by proxy: its process was sent SIGTERM; nil is none
	odd     bool            // whether the last request came on a connection to a process that ends
	rude    []net.Conn
	pending model.Queue

	inHand  sync.WaitGroup
	open    atomic.Int64
	retried chan struct{}
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
	slot [2]int // among the crowd's connections: proxy, client
}

// ending is a place whose process was sent SIGTERM and has not ended.
type ending struct {
	newUntil  time.Duration // new connections come until then
	succeeded bool          // another process serves there already, and takes them
	lines     []*clientConn // that stand open; each is used in turn
	turn      int           // likewise among the crowd's
}

// ending has clients send on every connection that they have open to a place, in turn, and the front layer give it new ones for a
// while more.
func (f *front) ending(no int, succeeded bool) {
	f.r.mu.Lock()
	until := f.r.now() + model.NewAfterTerm.DrawMs(f.r.rng)
	f.r.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endings[no] = &ending{newUntil: until, succeeded: succeeded, lines: f.idle[no]}
	f.idle[no] = nil
}

// ended ends that.
func (f *front) ended(no int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endings[no]
	if e == nil {
		return
	}
	f.endings[no] = nil
	f.idle[no] = append(f.idle[no], e.lines...)
	f.up[no] = f.up[no] && e.succeeded
}

// line gives a connection that stands open to a process between SIGTERM and SIGKILL, if there is one. Every second request comes
// on such.
func (f *front) line() (proxy int, c *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.odd = !f.odd; !f.odd {
		return 0, nil
	}
	for no, e := range f.endings {
		if e == nil {
			continue
		}
		if len(e.lines) > 0 {
			c, e.lines = e.lines[0], e.lines[1:]
			return no, c
		}
		for range f.r.opts.Crowd {
			if f.crowd == nil {
				break
			}
			e.turn = (e.turn + 1) % len(f.crowd[no])
			if c := f.crowd[no][e.turn]; c != nil && !f.taken[no][e.turn] {
				f.crowd[no][e.turn], f.taken[no][e.turn] = nil, true
				return no, c
			}
		}
	}
	return 0, nil
}

// isUp tells whether the front layer gives new connections to a proxy. f.mu is held.
func (f *front) isUp(no int, now time.Duration) bool {
	if e := f.endings[no]; e != nil && !e.succeeded {
		return now < e.newUntil
	}
	return f.up[no]
}

// isEnding tells whether a place has a process that was sent SIGTERM, and none beside it.
func (f *front) isEnding(no int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endings[no] != nil && !f.endings[no].succeeded
}

func newFront(r *Run) *front {
	f := &front{r: r, late: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2), up: make([]bool, r.spec.Proxies), served: make([]atomic.Int64, r.spec.Proxies),
		inRow: make([]atomic.Int64, r.spec.Proxies), endings: make([]*ending, r.spec.Proxies),
		idle: make([][]*clientConn, r.spec.Proxies), retried: make(chan struct{}, 1)}
	if r.opts.Clients == "own" || r.opts.Clients == "shared" {
		for range r.spec.Proxies {
			f.crowd = append(f.crowd, make([]*clientConn, r.opts.Crowd))
			f.taken = append(f.taken, make([]bool, r.opts.Crowd))
		}
	}
	return f
}

// ownConnect gives the connection of one of the crowd that has no request in hand: the one that it keeps, or a new one
// from its address.
func (f *front) ownConnect(proxy int, fresh *clientConn) (*clientConn, error) {
	slot := [2]int{proxy, 0}
	if fresh != nil {
		slot = fresh.slot
	} else {
		f.r.mu.Lock()
		at := f.r.rng.IntN(len(f.crowd[proxy]))
		f.r.mu.Unlock()
		f.mu.Lock()
		for range f.crowd[proxy] {
			if !f.taken[proxy][at] {
				break
			}
			at = (at + 1) % len(f.crowd[proxy])
		}
		slot[1] = at
		f.taken[proxy][at] = true
		kept := f.crowd[proxy][at]
		f.crowd[proxy][at] = nil
		f.mu.Unlock()
		if kept != nil {
			return kept, nil
		}
	}
	from := sharedAddr
	if f.r.opts.Clients == "own" {
		from = net.IPv4(127, 98, byte(slot[1]>>8), byte(slot[1]))
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: dialWait}
	c, err := d.Dial("tcp4", f.r.proxies[proxy].listen)
	if err != nil {
		f.mu.Lock()
		f.taken[proxy][slot[1]] = false
		f.mu.Unlock()
		return nil, err
	}
	return &clientConn{Conn: c, in: bufio.NewReaderSize(c, 4096), slot: slot}, nil
}

// keep puts a connection back for its next request, or gives its client free if it has ended.
func (f *front) keep(proxy int, c *clientConn, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crowd != nil {
		f.taken[c.slot[0]][c.slot[1]] = false
		if open {
			f.crowd[c.slot[0]][c.slot[1]] = c
		}
		return
	}
	if e := f.endings[proxy]; open && e != nil {
		e.lines = append(e.lines, c)
	} else if open {
		f.idle[proxy] = append(f.idle[proxy], c)
	}
}

// healthEvery is how often the front layer asks each proxy.
const healthEvery = 100 * time.Millisecond

// watch asks all proxies for their health until ctx ends.
func (f *front) watch(ctx context.Context) {
	var each sync.WaitGroup
	for no, c := range f.r.proxies {
		each.Go(func() {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			tick := time.NewTicker(healthEvery)
			defer tick.Stop()
			for {
				ok := healthy(client, c.listen)
				f.mu.Lock()
				f.up[no] = ok
				f.mu.Unlock()
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		})
	}
	each.Wait()
}

// await waits until all proxies serve.
func (f *front) await(ctx context.Context, most time.Duration) error {
	for until := time.Now().Add(most); f.serving() < len(f.up); {
		if time.Now().After(until) {
			return fmt.Errorf("only %d of %d proxies serve after %v", f.serving(), len(f.up), most)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

func (f *front) serving() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, up := range f.up {
		if up {
			n++
		}
	}
	return n
}

// route gives a proxy of the zone that is up, or of another if there is none.
func (f *front) route(zone int) (int, bool) {
	now := f.r.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, own := range [2]bool{true, false} {
		for i := range f.up {
			no := (f.turn + i) % len(f.up)
			if f.isUp(no, now) && (!own || f.r.spec.ProxyZone(no) == zone) {
				f.turn = no + 1
				return no, true
			}
		}
	}
	return 0, false
}

// load sends all first tries at their times, whatever becomes of them, and retries when they are due. It returns
// when all are answered or given up, or soon after ctx ends.
func (f *front) load(ctx context.Context) {
	r := f.r
	r.mu.Lock()
	next, more := r.gen.Next()
	r.mu.Unlock()
	var longest time.Duration
	for _, c := range r.spec.Classes {
		longest = max(longest, c.GiveUp)
	}
	end := r.spec.Duration + longest
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		now := r.now()
		if now > end {
			break
		}
		for more && next.At <= now {
			a := next
			r.mu.Lock()
			r.ledger.Asked(&a)
			r.wanted(now, &a)
			_ = f.late.RecordValue(max(1, int64((now-a.At)/time.Microsecond)))
			next, more = r.gen.Next()
			r.mu.Unlock()
			f.spawn(a)
		}
		due := end
		if more {
			due = next.At
		}
		f.mu.Lock()
		for len(f.pending) > 0 && f.pending[0].At <= now {
			a := heap.Pop(&f.pending).(model.Arrival)
			f.mu.Unlock()
			f.spawn(a)
			f.mu.Lock()
		}
		if len(f.pending) > 0 {
			due = min(due, f.pending[0].At)
		}
		idle := !more && len(f.pending) == 0 && f.open.Load() == 0
		f.mu.Unlock()
		if idle {
			break
		}
		timer.Reset(min(max(due-r.now(), 0), 20*time.Millisecond))
		select {
		case <-timer.C:
		case <-f.retried:
		case <-ctx.Done():
		}
	}
	f.inHand.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conns := range append(f.idle, f.crowd...) {
		for _, c := range conns {
			if c != nil {
				c.Close()
			}
		}
	}
	for _, e := range f.endings {
		if e == nil {
			continue
		}
		for _, c := range e.lines {
			c.Close()
		}
	}
	for _, c := range f.rude {
		c.Close()
	}
}

func (f *front) spawn(a model.Arrival) {
	f.inHand.Add(1)
	f.open.Add(1)
	go func() {
		defer f.inHand.Done()
		defer f.open.Add(-1)
		f.try(a)
	}()
}

// again lets the client try once more, if it would.
func (f *front) again(a model.Arrival, end model.End, retryAfter time.Duration) {
	f.r.mu.Lock()
	next, ok := f.r.spec.Retry(f.r.now(), a, end, retryAfter, f.r.rng)
	f.r.mu.Unlock()
	if !ok {
		return
	}
	f.mu.Lock()
	heap.Push(&f.pending, next)
	f.mu.Unlock()
	select {
	case f.retried <- struct{}{}:
	default:
	}
}

// dialWait is how long a client waits for a connection.
const dialWait = time.Second

// connect gives a connection to a proxy: one that stands idle, or a new one; in place of one before that has ended, a new
// one.
func (f *front) connect(proxy int, before *clientConn) (*clientConn, error) {
	if f.crowd != nil {
		return f.ownConnect(proxy, before)
	}
	if before == nil {
		f.mu.Lock()
		if e := f.endings[proxy]; e != nil && e.succeeded && len(e.lines) > 0 {
			c := e.lines[0]
			e.lines = e.lines[1:]
			f.mu.Unlock()
			return c, nil
		}
		if n := len(f.idle[proxy]); n > 0 {
			c := f.idle[proxy][n-1]
			f.idle[proxy] = f.idle[proxy][:n-1]
			f.mu.Unlock()
			return c, nil
		}
		f.mu.Unlock()
	}
	c, err := net.DialTimeout("tcp4", f.r.proxies[proxy].listen, dialWait)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, in: bufio.NewReaderSize(c, 4096)}, nil
}

// lateWatch is how long after all grace an answer is still waited for, to be written down as late.
const lateWatch = 300 * time.Millisecond

// crossing is how long after a request was sent its connection's end may be one that has crossed it. One that ends later had it in
// hand.
const crossing = socketSlack

// errUnread says that a connection ended before anything came on it.
var errUnread = errors.New("the connection ended before an answer began")

// try carries out one try of a client and writes down what came of it.
func (f *front) try(a model.Arrival) {
	r := f.r
	patience := a.Deadline - a.At
	var err error
	proxy, c := f.line()
	if c == nil {
		var ok bool
		if proxy, ok = f.route(a.Zone); !ok { // nobody to send it to: it comes again
			f.again(a, model.Rejected, 0)
			return
		}
	}
	lives, dying := r.proxies[proxy].lives() // before the connection is taken: it may be one to a process that dies
	if c == nil {
		if c, err = f.connect(proxy, nil); err != nil {
			if f.isEnding(proxy) { // it had to take new ones
				r.mu.Lock()
				r.ledger.Unanswered(r.now(), r.ledger.Take(checker.Try{Proxy: proxy, Arrival: a}), err.Error())
				r.mu.Unlock()
			}
			f.again(a, model.Rejected, 0)
			return
		}
	}
	class := &r.spec.Classes[a.Class]
	r.mu.Lock()
	now := r.now()
	if a.Leaves > 0 {
		a.Leaves += now - a.At
	}
	a.At, a.Deadline = now, now+patience
	account := r.ledger.Take(checker.Try{Proxy: proxy, Arrival: a})
	r.mu.Unlock()
	text := requestText(a, class, r.spec, account, patience)
	var gaveUp atomic.Bool
	giveUp := time.AfterFunc(patience, func() { // the client's patience ends; the answer is still watched for
		gaveUp.Store(true)
		f.again(a, model.TimedOut, 0)
	})
	defer giveUp.Stop()
	for fresh := false; ; fresh = true {
		if fresh {
			if c, err = f.connect(proxy, c); err != nil {
				if f.isEnding(proxy) {
					f.broke(account, proxy, r.now(), err, true)
				} else {
					f.excuse(account)
				}
				return
			}
		}
		used := c.used
		c.SetDeadline(time.Now().Add(a.Deadline + checker.DefaultLateGrace + socketSlack + lateWatch - r.now()))
		if a.Leaves > 0 {
			c.SetDeadline(time.Now().Add(a.Leaves - r.now()))
		}
		sent := time.Now()
		status, body, header, err := c.ask(text)
		now = r.now()
		if err == nil {
			f.answered(account, proxy, a, now, status, body, header, gaveUp.Load())
			c.used = true
			open := header.Get("Connection") != "close"
			if !open {
				c.Close()
			}
			f.keep(proxy, c, open)
			return
		}
		c.Close()
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
			if a.Leaves > 0 {
				giveUp.Stop()
				r.mu.Lock()
				r.ledger.Departed(r.now(), account)
				r.mu.Unlock()
			}
			f.keep(proxy, c, false)
			f.inRow[proxy].Store(0)
			return // the ledger sees that nothing has come
		case errors.Is(err, errUnread) && used && !fresh && !dying && r.proxies[proxy].livesStill(lives) &&
			time.Since(sent) < crossing && !r.proxies[proxy].killedSince(sent.Add(crossing/2)):
			continue // a close between requests has crossed it; one by a death may have had it in hand
		}
		f.keep(proxy, c, false)
		f.broke(account, proxy, now, err, !used && errors.Is(err, errUnread))
		if giveUp.Stop() {
			f.again(a, model.Errored, 0)
		}
		return
	}
}

// excuse closes the account of a request that no proxy has taken.
func (f *front) excuse(account uint64) {
	f.r.mu.Lock()
	f.r.ledger.Excuse(account)
	f.r.mu.Unlock()
}

// broke writes down a connection that ended in the midst, or a new one that ended with no answer, unless its proxy was killed.
// The news of that death may come a little later than the reset.
func (f *front) broke(account uint64, proxy int, at time.Duration, err error, unanswered bool) {
	f.inRow[proxy].Store(0)
	time.Sleep(20 * time.Millisecond)
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if unanswered {
		f.r.ledger.Unanswered(at, account, err.Error())
		return
	}
	f.r.ledger.Broke(at, account, err.Error())
}

func (f *front) answered(account uint64, proxy int, a model.Arrival, at time.Duration, status int, body []byte, header http.Header, gaveUp bool) {
	end := model.Errored
	var retryAfter time.Duration
	switch status {
	case http.StatusOK:
		end = model.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		end = model.Rejected
		if s, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil && s > 0 {
			retryAfter = time.Duration(min(s, 60) * float64(time.Second))
		}
	}
	f.r.mu.Lock()
	f.r.ledger.Answered(at, account, end, end == model.Served && f.r.genuine(account, body))
	f.r.mu.Unlock()
	if end == model.Served {
		f.served[proxy].Add(1)
		f.inRow[proxy].Add(1)
	} else {
		f.inRow[proxy].Store(0)
	}
	if !gaveUp {
		f.again(a, end, retryAfter)
	}
}

func requestText(a model.Arrival, c *model.Class, s *model.Spec, account uint64, patience time.Duration) string {
	method, length := "POST", "Content-Length: 32\r\n"
	body := "faultlab request body, 32 bytes."
	if c.Safe {
		method, length, body = "GET", "", ""
	}
	tenant := ""
	if a.Tenant >= 0 {
		tenant = "X-Tenant-Id: " + s.Tenants[a.Tenant].Name + "\r\n"
	}
	if a.Try > 0 {
		tenant += "X-Retried: 1\r\n"
	}
	host := c.Host
	if host == "" {
		host = "service.internal"
	}
	return fmt.Sprintf("%s /api HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %016x\r\nX-Priority-Class: %s\r\n%sX-Timeout-Ms: %d\r\n%s\r\n%s",
		method, host, account, c.Name, tenant, patience.Milliseconds(), length, body)
}

// mostBody is the longest answer that is read.
const mostBody = 64 << 10

// ask sends a request and reads its answer whole.
func (c *clientConn) ask(text string) (int, []byte, http.Header, error) {
	_, sent := io.WriteString(c, text) // who turns us away may have said so and closed before
	if _, err := c.in.Peek(1); err != nil {
		return 0, nil, nil, asUnread(cmp.Or(sent, err))
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("reading the answer: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("reading the answer's body: %w", err)
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, body, resp.Header, nil
}

// asUnread marks an error of a connection on which nothing has come, but for time-outs.
func asUnread(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	return fmt.Errorf("%w: %w", errUnread, err)
}

// nuisance opens connections that say nothing, and others that take their time over a head. They are owed nothing
// but that the others are served.
func (f *front) nuisance(ctx context.Context) {
	for i := range f.r.opts.HalfOpen {
		c, err := net.DialTimeout("tcp4", f.r.proxies[i%len(f.r.proxies)].listen, dialWait)
		if err != nil {
			continue
		}
		f.mu.Lock()
		f.rude = append(f.rude, c)
		f.mu.Unlock()
	}
	var all sync.WaitGroup
	for i := range f.r.opts.Slow {
		all.Go(func() {
			for ctx.Err() == nil {
				f.slow(ctx, i%len(f.r.proxies))
			}
		})
	}
	all.Wait()
}

// slow sends a head in pieces over two seconds, one that the proxy must answer with an error.
func (f *front) slow(ctx context.Context, proxy int) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	c, err := net.DialTimeout("tcp4", f.r.proxies[proxy].listen, dialWait)
	if err == nil {
		defer c.Close()
	}
	for _, piece := range strings.SplitAfter("GET /api HTTP/1.1\r\nHost: x\r\nX-Priority-Class: none\r\n\r\n", "\n") {
		pause.Reset(400 * time.Millisecond)
		select {
		case <-pause.C:
		case <-ctx.Done():
			return
		}
		if err == nil {
			if _, err = io.WriteString(c, piece); err != nil {
				return
			}
		}
	}
	if err == nil {
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		io.Copy(io.Discard, io.LimitReader(c, 512))
	}
}
