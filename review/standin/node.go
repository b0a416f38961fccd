package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// node is a dispatch node that answers each request with the request's own id.
type node struct {
	lab  *lab
	id   string
	addr string
	work time.Duration // until a request has run and is answered

	requests atomic.Int64 // without probes
	// copyOf returns how long after an answer a second copy of it follows; negative is never.
	copyOf func() time.Duration
	copies atomic.Int64
}

// listen starts the node.
func (n *node) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.addr = l.Addr().String()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(nc)
		}
	}()
	return nil
}

// serve serves the requests of one connection, one at a time.
func (n *node) serve(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if q.URL.Path == "/ping" {
			fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong")
			continue
		}
		id := q.Header.Get("X-Request-Id")
		n.requests.Add(1)
		time.Sleep(n.work)
		body := "answer to " + id
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := nc.Write(answer); err != nil {
			return
		}
		if n.copyOf == nil {
			continue
		}
		after := n.copyOf()
		if after < 0 {
			continue
		}
		time.Sleep(after)
		if r.Buffered() > 0 || !silent(nc) { // something else waits on the connection
			continue
		}
		n.copies.Add(1)
		n.lab.note("node %s: a second copy of the answer to %s, %v after it", n.id, id, after)
		if _, err := nc.Write(answer); err != nil {
			return
		}
	}
}

// silent reports whether a connection is open and nothing has arrived on it.
func silent(nc net.Conn) bool {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && empty
}

// link is a way between two machines: what is written at one end arrives at the other after a delay.
func link(to string, delay time.Duration) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp", to)
				if err != nil {
					_ = near.(*net.TCPConn).SetLinger(0)
					near.Close()
					return
				}
				var both sync.WaitGroup
				both.Go(func() { carry(far, near, delay) })
				both.Go(func() { carry(near, far, delay) })
				both.Wait()
				near.Close()
				far.Close()
			}()
		}
	}()
	return l.Addr().String(), nil
}

// carry copies what arrives at one connection to another, each piece after the delay.
func carry(to, from net.Conn, delay time.Duration) {
	type piece struct {
		data []byte
		at   time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			data := make([]byte, 32<<10)
			n, err := from.Read(data)
			if n > 0 {
				pieces <- piece{data[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	time.Sleep(delay)
	if c, ok := to.(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
	for range pieces { // until the other side has ended too
	}
}

// way is a TCP connection's way to an address, which can be reset.
type way struct {
	addr string
	mu   sync.Mutex
	ends []*net.TCPConn
}

func newWay(to string) (*way, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &way{addr: l.Addr().String()}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				continue
			}
			w.mu.Lock()
			w.ends = append(w.ends, near.(*net.TCPConn), far.(*net.TCPConn))
			w.mu.Unlock()
			pass := func(to, from net.Conn) {
				_, _ = io.Copy(to, from)
				to.Close()
			}
			go pass(far, near)
			go pass(near, far)
		}
	}()
	return w, nil
}

// reset resets all connections that are open.
func (w *way) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.ends {
		_ = c.SetLinger(0)
		c.Close()
	}
	w.ends = nil
}
