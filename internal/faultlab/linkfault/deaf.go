package linkfault

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Deaf is listeners to which no connection comes up any more: a queue that holds one connection and is full answers no
// further SYN. Who accepts from them must Hold what the kernel has let in all the same.
type Deaf struct {
	listens []*net.TCPListener

	mu    sync.Mutex
	held  []net.Conn
	over  chan struct{}
	ended bool
}

// Filling a queue: one after the other, for of several at once the kernel lets the first alone in, and tells the
// others' ends so only later.
const (
	fillTries = 5
	fillWait  = 20 * time.Millisecond
	fillRest  = 3 * time.Millisecond
	backlog   = 512
)

// Deafen begins that. Within some 100 ms nothing comes up.
func Deafen(listens ...*net.TCPListener) *Deaf {
	d := &Deaf{listens: listens, over: make(chan struct{})}
	for _, l := range listens {
		setBacklog(l, 0)
		go d.fill(l.Addr().String())
	}
	return d
}

// fill connects until nothing comes up any more.
func (d *Deaf) fill(addr string) {
	for range fillTries {
		c, err := net.DialTimeout("tcp4", addr, fillWait)
		if err == nil {
			d.keep(c)
		}
		select {
		case <-d.over:
			return
		case <-time.After(fillRest):
		}
	}
}

// keep holds a connection until the end, or closes it if that has come.
func (d *Deaf) keep(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		c.Close()
		return
	}
	d.held = append(d.held, c)
}

// Hold takes a connection that was accepted, and waits for the end: nothing more is accepted meanwhile, so the queue stays
// full.
func (d *Deaf) Hold(c net.Conn) {
	d.keep(c)
	<-d.over
}

// End lets connections come up again. Those that were held are closed. It may be called twice.
func (d *Deaf) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	d.ended = true
	close(d.over)
	for _, l := range d.listens {
		setBacklog(l, backlog)
	}
	for _, c := range d.held {
		c.Close()
	}
	d.held = nil
}

// setBacklog changes how many connections may wait for accept; a listener that was closed stays so.
func setBacklog(l *net.TCPListener, size int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), size) })
}
