package linkfault

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link is a relay between two processes.
type Link struct {
	From, To string

	fabric *Fabric
	target func() string
	addr   *net.TCPAddr
	opened atomic.Int64

	mu      sync.Mutex
	ways    [2]Trouble // there, back
	listen  *net.TCPListener
	deaf    *Deaf
	down    bool // the target's process is dead
	closed  bool
	pairs   map[*pair]bool
	resets  int           // times that all connections were reset
	changed chan struct{} // closes at the next change of ways
}

// Addr is where to connect to. It stays.
func (l *Link) Addr() string { return l.addr.String() }

// Opened is how many connections have come up so far.
func (l *Link) Opened() int64 { return l.opened.Load() }

// Cut tells whether nothing passes now in one direction at least, or nobody can connect.
func (l *Link) Cut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down || l.ways[0].Silent || l.ways[1].Silent || l.ways[0].Refused || l.ways[1].Refused
}

// set brings the link to its troubles.
func (l *Link) set(there, back Trouble) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ways = [2]Trouble{there, back}
	close(l.changed)
	l.changed = make(chan struct{})
	return l.bring()
}

// Down tells the link that the process at its end is dead, or there again: a dead one refuses connections, and those that are
// open are reset.
func (l *Link) Down(down bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	if down {
		l.reset()
	}
	return l.bring()
}

// bring has the listener as the link's state wants it. The lock is held.
func (l *Link) bring() error {
	refuses := l.closed || l.down || l.ways[0].Refused || l.ways[1].Refused
	silent := !refuses && (l.ways[0].Silent || l.ways[1].Silent)
	if l.deaf != nil && !silent {
		l.deaf.End()
		l.deaf = nil
	}
	if refuses {
		if l.listen != nil {
			l.listen.Close()
			l.listen = nil
		}
		return nil
	}
	if l.listen == nil {
		ln, err := net.ListenTCP("tcp4", l.addr)
		if err != nil {
			return fmt.Errorf("link from %s to %s: %w", l.From, l.To, err)
		}
		l.listen, l.addr = ln, ln.Addr().(*net.TCPAddr)
		l.fabric.running.Go(func() { l.accept(ln) })
	}
	if silent && l.deaf == nil {
		l.deaf = Deafen(l.listen)
	}
	return nil
}

func (l *Link) accept(ln *net.TCPListener) {
	for {
		c, err := ln.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // no descriptors left for a moment
			continue
		}
		l.mu.Lock()
		deaf := l.deaf
		l.mu.Unlock()
		if deaf != nil {
			deaf.Hold(c)
			continue
		}
		l.fabric.running.Go(func() { l.carry(c) })
	}
}

// pair is a connection through the link.
type pair struct {
	near, far *net.TCPConn
	ended     chan struct{}
	once      sync.Once
}

// end closes both sides, by a reset if the way was cut.
func (p *pair) end(reset bool) {
	p.once.Do(func() {
		for _, c := range []*net.TCPConn{p.near, p.far} {
			if reset {
				c.SetLinger(0)
			}
			c.Close()
		}
		close(p.ended)
	})
}

const dialWait = 5 * time.Second

func (l *Link) carry(near *net.TCPConn) {
	l.mu.Lock()
	resets := l.resets
	l.mu.Unlock()
	nc, err := net.DialTimeout("tcp4", l.target(), dialWait)
	if err != nil {
		near.SetLinger(0)
		near.Close()
		return
	}
	p := &pair{near: near, far: nc.(*net.TCPConn), ended: make(chan struct{})}
	l.mu.Lock()
	if l.closed || l.down || l.resets != resets { // a reset means the connections that are coming up too
		l.mu.Unlock()
		p.end(true)
		return
	}
	l.pairs[p] = true
	l.mu.Unlock()
	l.opened.Add(1)
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, 0, p.near, p.far) })
	both.Go(func() { l.pump(p, 1, p.far, p.near) })
	both.Wait()
	p.end(false)
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// chunk is bytes on their way, or what ends them.
type chunk struct {
	bytes []byte
	came  time.Time
	err   error
}

const (
	chunkBytes = 4 << 10
	mostChunks = 256 // on their way in one direction; who sends more waits, as with a full window
)

// pump carries one direction until it ends.
func (l *Link) pump(p *pair, way int, from, to *net.TCPConn) {
	chunks := make(chan chunk, mostChunks)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(chunks)
		for {
			b := make([]byte, chunkBytes)
			n, err := from.Read(b)
			for _, c := range []chunk{{bytes: b[:n], came: time.Now()}, {came: time.Now(), err: err}} {
				if len(c.bytes) == 0 && c.err == nil {
					continue
				}
				select {
				case chunks <- c:
				case <-p.ended:
					return
				}
			}
			if err != nil {
				return
			}
		}
	})
	defer reading.Wait()
	var passed int64
	var free time.Time // by its rate, from when on the way takes more
	for c := range chunks {
		t, ok := l.await(p, way, c, &free)
		if !ok {
			return
		}
		if c.err == io.EOF {
			to.CloseWrite()
			return
		}
		if c.err != nil {
			p.end(true)
			return
		}
		b := c.bytes
		cut := t.Cut > 0 && passed+int64(len(b)) >= t.Cut
		if cut {
			b = b[:max(0, t.Cut-passed)]
		}
		_, err := to.Write(b)
		if passed += int64(len(b)); cut || err != nil {
			p.end(true)
			return
		}
	}
}

// await waits until a chunk may pass, and tells by what trouble it does; false if the connection ended meanwhile.
func (l *Link) await(p *pair, way int, c chunk, free *time.Time) (Trouble, bool) {
	for {
		l.mu.Lock()
		t, changed := l.ways[way], l.changed
		l.mu.Unlock()
		due := c.came.Add(t.Delay)
		if t.Rate > 0 {
			if due.Before(*free) {
				due = *free
			}
			due = due.Add(time.Duration(float64(len(c.bytes)) / t.Rate * float64(time.Second)))
		}
		var timer <-chan time.Time
		if !t.Silent {
			wait := time.Until(due)
			if wait <= 0 {
				*free = due
				return t, true
			}
			timer = time.After(wait)
		}
		select {
		case <-changed:
		case <-timer:
		case <-p.ended:
			return t, false
		}
	}
}

// Reset resets all connections of the link.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

// reset does so; the lock is held.
func (l *Link) reset() {
	l.resets++
	for p := range l.pairs {
		p.end(true)
	}
}

func (l *Link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.reset()
	_ = l.bring() // it opens nothing
}
