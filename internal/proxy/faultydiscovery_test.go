package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// discoveryFault is the way in which calls for the endpoint list fail.
type discoveryFault string

const (
	noFault     discoveryFault = "well"
	refused     discoveryFault = "refused"       // no connection
	unreachable discoveryFault = "no connection" // a connect gets no reply
	hung        discoveryFault = "hung"          // connections are accepted, and calls get no answer
	rejecting   discoveryFault = "rejected"      // status 503 with a Retry-After of a minute
	reset       discoveryFault = "reset"
	truncated   discoveryFault = "half a list"
	garbled     discoveryFault = "garbled"
	outdated    discoveryFault = "past changes"
	slow        discoveryFault = "slow" // each answer takes 3 s
	endless     discoveryFault = "endless"
)

// faultyDiscovery simulates a discovery service with faults. It runs within the process, so that it can be used in a
// synctest bubble.
type faultyDiscovery struct {
	mu      sync.Mutex
	fault   discoveryFault
	version int
	state   string // lifecycle of the backend "a" in the list
	changed chan struct{}
	conns   map[net.Conn]bool
	calls   int

	addr string   // address of the backend "a"
	more []string // further entries of the list, which never change
}

func newFaultyDiscovery() *faultyDiscovery {
	return &faultyDiscovery{addr: "127.0.0.1:1", fault: noFault, version: 7, state: "active", changed: make(chan struct{}),
		conns: map[net.Conn]bool{}}
}

// setFault switches to another fault. Calls in flight are closed, or stay unanswered if either fault is hung or
// unreachable.
func (d *faultyDiscovery) setFault(fault discoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.fault
	if d.fault = fault; fault == hung || fault == unreachable || previous == hung && fault == noFault {
		return
	}
	for c := range d.conns {
		_ = c.Close()
	}
}

// callCount returns the number of calls so far, including refused connects.
func (d *faultyDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// drain lists the backend as draining under the given version, and answers the watches that are held.
func (d *faultyDiscovery) drain(version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.state = version, "leaving"
	close(d.changed)
	d.changed = make(chan struct{})
}

// dial returns a dial function that connects to d, or fails by its fault; an unreachable connect times out after slack.
func (d *faultyDiscovery) dial(slack time.Duration) func(ctx context.Context, _, _ string) (net.Conn, error) {
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		switch d.fault {
		case refused:
			d.calls++
			return nil, syscall.ECONNREFUSED
		case unreachable:
			d.calls++
			d.mu.Unlock()
			defer d.mu.Lock()
			return nil, errors.Join(sleep(ctx, slack), errors.New("i/o timeout"))
		}
		near, far := net.Pipe()
		d.conns[far] = true
		go d.serve(far)
		return near, nil
	}
}

// listen serves on a loopback socket until the test ends and returns its address.
func (d *faultyDiscovery) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening for the faulty discovery: %v", err)
	}
	t.Cleanup(func() { _ = l.Close(); d.setFault(reset) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			if d.fault == refused {
				d.calls++
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			} else {
				d.conns[c] = true
				go d.serve(c)
			}
			d.mu.Unlock()
		}
	}()
	return l.Addr().String()
}

// serve answers the calls on one connection according to the fault at the time of each.
func (d *faultyDiscovery) serve(c net.Conn) {
	defer func() {
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.calls++
		fault, version, state, changed := d.fault, d.version, d.state, d.changed
		d.mu.Unlock()
		query := req.URL.Query()
		member := func() string {
			return strings.Join(append([]string{memberText("a", d.addr, state)}, d.more...),
				",")
		}
		ok := func(text string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
		switch fault {
		case hung, unreachable:
			_, _ = in.Peek(1) // until the proxy closes the connection
			return
		case rejecting:
			_, _ = io.WriteString(c, "HTTP/1.1 503 Later\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")
			continue
		case reset:
			return
		case truncated:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"generation\":9,")
			return
		case garbled:
			ok("<html>")
			continue
		case outdated:
			ok(listText(3, false))
			continue
		case endless:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for err == nil {
				_, err = fmt.Fprintf(c, "1000\r\n%4096s\r\n", "")
			}
			return
		case slow:
			time.Sleep(3 * time.Second)
		}
		if query.Get("from") == strconv.Itoa(version) {
			hold, _ := strconv.Atoi(query.Get("hold_ms"))
			received := make(chan struct{}) // closed with the next call or the connection's close
			go func() { _, _ = in.Peek(1); close(received) }()
			var changes []string
			select {
			case <-time.After(time.Duration(hold) * time.Millisecond):
			case <-received:
				return
			case <-changed:
				changes = append(changes, "") // filled in below with the state at that time
			}
			d.mu.Lock()
			silent := d.fault == hung || d.fault == unreachable
			version, state = d.version, d.state
			d.mu.Unlock()
			if changes != nil {
				changes[0] = member()
			}
			if !silent {
				ok(listText(version, false, changes...))
			}
			<-received // the next call, or the connection's close
			if silent {
				return
			}
			continue
		}
		ok(listText(version, !query.Has("from"), member()))
	}
}

// startDraining starts two backends and a discovery that lists both, the first one as draining once drain is called. It
// returns the discovery, its first list, and the requests that each backend gets.
func startDraining(t *testing.T) (server *faultyDiscovery, known string, onA, onB chan *http.Request) {
	onA, onB = make(chan *http.Request, 1024), make(chan *http.Request, 1024)
	server = newFaultyDiscovery()
	server.addr = countingBackend(t, onA)
	server.more = []string{memberText("b", countingBackend(t, onB), "active")}
	return server, listText(7, true, memberText("a", server.addr, "active"), server.more[0]), onA, onB
}

// awaitSecondCall waits until discovery has got two calls, for patience at most.
func awaitSecondCall(r *faultyDiscovery) {
	for start := time.Now(); r.callCount() < 2 && time.Since(start) < patience; {
		time.Sleep(time.Millisecond)
	}
}
