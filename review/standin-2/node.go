//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// node is a dispatch node, as the protocol page has it.
type node struct {
	world *world
	id    string
	addr  string

	mu     sync.Mutex
	handle func(q *http.Request, id string) (status int, body string) // of one request that was read whole; 0 closes without an answer
	ran    map[string]int                                             // executions by the request's id
	came   map[string]int                                             // requests that were read whole, by id
	deaf   bool                                                       // it takes work and answers nothing, probes too
	hangs  time.Time                                                  // up to then it reads and answers nothing
	server *http.Server
}

func newNode(w *world, id string) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{world: w, id: id, addr: l.Addr().String(), ran: map[string]int{}, came: map[string]int{}}
	n.serve(l)
	return n, nil
}

func (n *node) serve(l net.Listener) {
	server := &http.Server{Handler: n}
	n.mu.Lock()
	n.server = server
	n.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// stop ends the node's process: its connections are reset or closed, what is in work stops, new connections are refused.
func (n *node) stop() {
	n.mu.Lock()
	server := n.server
	n.mu.Unlock()
	_ = server.Close()
}

// again starts the node's process again, at the same address.
func (n *node) again() error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", n.addr); err == nil {
			n.serve(l)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

func (n *node) entry(kind string) entry {
	return entry{ID: n.id, Addr: n.addr, Zone: "nyarugenge", Kind: kind, Cell: 0, Lifecycle: "active", Weight: 1}
}

// run executes a request.
func (n *node) run(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ran[id]++
	return n.ran[id]
}

// hang has the node take connections, and read and answer nothing, for a time. Then it goes on.
func (n *node) hang(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hangs = time.Now().Add(d)
}

// ServeHTTP answers a probe or a request.
func (n *node) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	n.mu.Lock()
	left := time.Until(n.hangs)
	n.mu.Unlock()
	if left > 0 && !rest(q, left) {
		return
	}
	_, err := io.Copy(io.Discard, q.Body)
	if err != nil {
		return
	}
	n.mu.Lock()
	deaf, handle := n.deaf, n.handle
	if q.URL.Path != "/ping" {
		n.came[q.Header.Get("X-Request-Id")]++
	}
	n.mu.Unlock()
	if deaf {
		if q.URL.Path != "/ping" {
			n.world.say("%s: got %s %s, answers nothing", n.id, q.Method, q.Header.Get("X-Request-Id"))
		}
		<-q.Context().Done()
		return
	}
	if q.URL.Path == "/ping" {
		_, _ = io.WriteString(w, "ok")
		return
	}
	id := q.Header.Get("X-Request-Id")
	if id == "" {
		http.NotFound(w, q)
		return
	}
	status, body := handle(q, id)
	switch status {
	case 0:
		panic(http.ErrAbortHandler)
	case http.StatusServiceUnavailable:
		w.Header().Set("X-Not-Processed", "1")
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// rest is a time in which the node waits on others; a cancelled request ends it.
func rest(q *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.Context().Done():
		return false
	}
}

// total sums the executions of a request over all nodes.
func total(nodes []*node, id string) int {
	sum := 0
	for _, n := range nodes {
		n.mu.Lock()
		sum += n.ran[id]
		n.mu.Unlock()
	}
	return sum
}

// newNodes starts so many nodes and a register that lists them.
func newNodes(w *world, count int, kind string) ([]*node, *register, error) {
	var nodes []*node
	var entries []entry
	for i := range count {
		n, err := newNode(w, fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return nil, nil, err
		}
		nodes = append(nodes, n)
		entries = append(entries, n.entry(kind))
	}
	r, err := newRegister(entries...)
	return nodes, r, err
}

// nodeTime is what a node takes for a request: work of 39 ms and 59 ms of wait on others.
const nodeTime = 98 * time.Millisecond

// serveUsually has nodes serve all requests.
func serveUsually(nodes []*node) {
	for _, n := range nodes {
		n.handle = func(q *http.Request, id string) (int, string) {
			if !rest(q, nodeTime) {
				return 0, ""
			}
			n.run(id)
			return http.StatusOK, "done by " + n.id
		}
	}
}
