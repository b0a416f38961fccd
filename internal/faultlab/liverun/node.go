package liverun

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lapisspread/internal/faultlab/linkfault"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/quotalease"
)

// node is a stand-in node on sockets: the world's node decides, this carries it out. It listens once for each proxy.
type node struct {
	r  *Run
	no int
	w  *model.Node

	mu      sync.Mutex
	addrs   []*net.TCPAddr // by proxy; their ports stay
	listens []*net.TCPListener
	conns   map[*nodeConn]bool
	deaf    *linkfault.Deaf // while it is cut off; else nil
	uncut   func()          // what ends the silence of its links then; nil is none

	fence *quotalease.Fence // nil is a server that knows no tokens; guarded by the run's lock
}

type nodeConn struct {
	*net.TCPConn
	n     *node
	proxy int
}

func newNode(r *Run, no int) *node {
	return &node{r: r, no: no, w: r.fleet.Nodes[no], conns: map[*nodeConn]bool{}, addrs: make([]*net.TCPAddr, r.spec.Proxies)}
}

// listen opens the node's addresses; after a death the same ones. One that was taken meanwhile is replaced by a
// free one, of which the register tells.
func (n *node) listen() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.addrs {
		want := n.addrs[p]
		if want == nil {
			want = &net.TCPAddr{IP: nodeAddr(p, n.no)}
		}
		l, err := net.ListenTCP("tcp4", want)
		if errors.Is(err, syscall.EADDRINUSE) {
			l, err = net.ListenTCP("tcp4", &net.TCPAddr{IP: want.IP})
		}
		if err != nil {
			return fmt.Errorf("node %d: listening for proxy %d: %w", n.no, p, err)
		}
		n.addrs[p] = l.Addr().(*net.TCPAddr)
		n.listens = append(n.listens, l)
		n.r.running.Go(func() { n.accept(l, p) })
	}
	return n.r.paths.nodeDown(n.no, false)
}

func (n *node) addr(proxy int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addrs[proxy].String()
}

func (n *node) accept(l *net.TCPListener, proxy int) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(time.Millisecond) // no descriptors left for a moment
			continue
		}
		n.r.mu.Lock()
		wait := n.w.Accept(n.r.now())
		n.r.mu.Unlock()
		if wait > 0 { // those behind it wait in the kernel's queue
			select {
			case <-time.After(wait):
			case <-n.r.over:
			}
		}
		conn := &nodeConn{c, n, proxy}
		n.mu.Lock()
		if deaf := n.deaf; deaf != nil {
			n.mu.Unlock()
			deaf.Hold(c)
			continue
		}
		n.conns[conn] = true
		n.mu.Unlock()
		n.r.running.Go(func() { n.serve(conn) })
	}
}

// kill is the end of the process: its listeners close, its connections are reset.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listens {
		l.Close()
	}
	n.listens = nil
	n.hearAgain()
	n.reset()
	n.r.paths.nodeDown(n.no, true)
}

// hearAgain ends a cut-off. n.mu is held.
func (n *node) hearAgain() {
	if n.deaf != nil {
		n.deaf.End()
		n.uncut()
		n.deaf = nil
	}
}

// fall is a kill from within the world's own step, which must not wait.
func (n *node) fall() { n.kill() }

// reset resets all connections. n.mu is held.
func (n *node) reset() {
	for c := range n.conns {
		c.SetLinger(0)
		c.Close()
	}
}

func (n *node) close() { n.kill() }

// cutOff makes the node silent: what is open says nothing more, what is new never comes up.
func (n *node) cutOff() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.deaf == nil {
		n.deaf, n.uncut = linkfault.Deafen(n.listens...), n.r.paths.silence(n.no)
	}
}

// reconnect ends that. What was open is reset, for what came meanwhile is lost.
func (n *node) reconnect() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hearAgain()
	n.reset()
}

// incoming is a request as it came from a proxy.
type incoming struct {
	method, path string
	id           string
	first        time.Duration // its first byte
	token        string        // of the budgets that it draws on; see fleetToken
}

// serve answers the requests of one connection.
func (n *node) serve(c *nodeConn) {
	r := n.r
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
		c.Close()
		r.mu.Lock()
		n.w.Conns = max(0, n.w.Conns-1)
		r.mu.Unlock()
	}()
	r.mu.Lock()
	cell := r.fleet.Cells[n.w.CellNo]
	if n.w.Conns >= n.w.ConnCap {
		r.mu.Unlock()
		c.SetLinger(0)
		return
	}
	now := r.now()
	r.advance(now)
	n.w.Conns++
	r.ledger.Opened(now)
	cell.Offer(now, n.w, &model.Job{Kind: model.Shaking, Work: n.w.Shake, Proxy: int32(c.proxy), Told: n.told(c.proxy)})
	r.mu.Unlock()
	r.kick()

	gone := make(chan struct{}) // the proxy has closed, or what it sends cannot be read
	requests := make(chan incoming)
	stop := make(chan struct{})
	defer close(stop)
	r.running.Go(func() {
		defer close(gone)
		in := bufio.NewReaderSize(c, 4096)
		for {
			q, err := readRequest(in, r)
			if err != nil {
				return
			}
			select {
			case requests <- q:
			case <-stop:
				return
			}
		}
	})
	for {
		var q incoming
		select {
		case q = <-requests:
		case <-gone:
			return
		}
		if !n.answer(c, q, gone) {
			return
		}
	}
}

func readRequest(in *bufio.Reader, r *Run) (incoming, error) {
	if _, err := in.Peek(1); err != nil {
		return incoming{}, err
	}
	first := r.now()
	req, err := http.ReadRequest(in)
	if err != nil {
		return incoming{}, err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return incoming{}, err
	}
	return incoming{req.Method, req.URL.Path, req.Header.Get("X-Request-ID"), first, req.Header.Get(fleetToken)}, nil
}

// told tells whether a proxy knows of the node's last start. r.mu is held.
func (n *node) told(proxy int) bool {
	return n.w.StartedAt > 0 && n.r.ledger.ToldOfStart(proxy, n.no, n.w.StartedAt)
}

// answer carries out one request; false ends the connection.
func (n *node) answer(c *nodeConn, q incoming, gone <-chan struct{}) bool {
	r := n.r
	job := &model.Job{Proxy: int32(c.proxy)}
	attempt := 0
	r.mu.Lock()
	now := r.now()
	if n.w.Cut {
		r.mu.Unlock()
		<-gone
		return false
	}
	var account uint64
	switch {
	case q.path == "/ping":
		job.Kind, job.Work = model.Probing, r.spec.Probe.Draw(r.rng)
		r.ledger.Probed(now, 1)
	case strings.HasPrefix(q.path, "/_"):
		r.mu.Unlock()
		return c.write("404 Not Found", "", "")
	default:
		id, err := strconv.ParseUint(q.id, 16, 64)
		work, known := r.ledger.Find(id)
		if err != nil || !known {
			if q.id == "" {
				r.mu.Unlock()
				return c.write("404 Not Found", "", "")
			}
			if r.ledger.Forgot(id) {
				r.straggler = fmt.Sprintf("node %d: the request with the id %q has come long after its client had left", n.no, q.id)
			} else {
				r.problem("node %d: a request with the id %q, which no client has sent", n.no, q.id)
			}
			r.mu.Unlock()
			return c.write("400 Bad Request", "", "")
		}
		account = id
		if !n.admits(q, work, r.tries[id]) {
			r.mu.Unlock()
			return c.write("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
		}
		attempt = r.tries[id]
		r.tries[id]++
		if attempt == 0 {
			time.AfterFunc(10*time.Second, func() {
				r.mu.Lock()
				delete(r.tries, id)
				r.mu.Unlock()
			})
		}
		job.Request, job.Attempt, job.Class = id, int32(attempt), int32(work.Class)
		job.Work, job.Wait = work.Work, work.Wait
		r.ledger.Sent(q.first, id, c.proxy, n.no, attempt)
		r.sentTo[c.proxy][n.no]++
		if at, any := r.proved[c.proxy][n.no]; !r.spec.Classes[work.Class].Safe && (!any || at != n.w.StartedAt) {
			r.unproved = append(r.unproved, work.At)
		}
		if n.w.Zone != r.spec.ProxyZone(c.proxy) {
			r.ledger.Crossed()
		}
	}
	job.Told = n.told(c.proxy)
	r.advance(now)
	cell := r.fleet.Cells[n.w.CellNo]
	got := cell.Offer(now, n.w, job)
	var wait chan model.Answer
	if got == model.Taken {
		wait = make(chan model.Answer, 1)
		r.waiting[job] = wait
	} else if job.Kind == model.Request && got == model.TurnedAway {
		r.ledger.Proved(account, attempt)
	}
	r.mu.Unlock()
	r.kick()
	if wait != nil {
		select {
		case got = <-wait:
		case <-gone: // given up: its connection is closed
			r.mu.Lock()
			now := r.now()
			r.advance(now)
			if r.waiting[job] != nil {
				delete(r.waiting, job)
				if job.Kind == model.Request && job.Began > 0 {
					r.ledger.Wasted(job.Work)
				}
				cell.Cancel(now, job)
			} else if job.Kind == model.Request {
				r.ledger.Wasted(job.Work)
			}
			r.mu.Unlock()
			r.kick()
			return false
		}
	}
	r.mu.Lock()
	cut, startedAt := n.w.Cut, n.w.StartedAt
	r.mu.Unlock()
	if !cut && got == model.OK { // ahead of the answer: what follows it may come at once
		n.answered(c.proxy, startedAt)
	}
	if cut || got == model.Silence {
		<-gone
		return false
	}
	switch got {
	case model.OK:
		body := "pong\n"
		if job.Kind == model.Request {
			body = r.mark(account, n.no, attempt)
		}
		written := c.write("200 OK", "", body)
		if written {
			n.answered(c.proxy, startedAt)
		}
		return written
	case model.Failed:
		return c.write("500 Internal Server Error", "", "")
	case model.TurnedAway:
		return c.write("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
	default:
		c.SetLinger(0)
		return false
	}
}

// answered records that the node's process that started at a time has answered a proxy. It is called ahead of the answer
// and once more behind it: a call of Doubt between the two does not make an answer one of before it.
func (n *node) answered(proxy int, startedAt time.Duration) {
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	n.r.proved[proxy][n.no] = startedAt
}

func (c *nodeConn) write(status, headers, body string) bool {
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return err == nil
}
