// Package diameterpeer is stand-ins for settlement partners: a Diameter server that executes claims and counts them, with faults
// at every step, and a client that sends claims and repeats them. They are written from RFC 6733 and RFC 8506 on the codec
// alone: nothing of the proxy's own peers is used, so that what both have wrong shows.
package diameterpeer

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/diameter"
)

// Commands and applications that are spoken.
const (
	cmdCER        = 257
	cmdDWR        = 280
	cmdDPR        = 282
	cmdClaim      = 272
	creditControl = 4
)

// Act is what a server does with one claim.
type Act uint8

// The acts. Those up to Garbage execute the claim first.
const (
	Serve      Act = iota // executes it and answers
	Slowly                // after 20 ms
	Stall                 // executes it and never answers
	DropAfter             // executes it and closes the connection
	HalfAnswer            // executes it, sends half of the answer and closes
	Twice                 // executes it and answers twice
	Stray                 // executes it, and answers one that nobody has asked for, and then it
	Swap                  // executes it, and answers with the identifiers of another that is out, if there is one
	Garbage               // executes it, and sends what is no Diameter
	HalfHeader            // does not execute it, sends half a header and closes
	DropBefore            // does not execute it and closes
	Busy                  // answers 3004
	Fails                 // executes it and answers 5012
	Goodbye               // executes it, answers, and says goodbye (DPR): answers what is in hand and closes at the DPA
	acts
)

func (a Act) String() string {
	return [acts]string{"serve", "slowly", "stall", "drop-after", "half-answer", "twice", "stray", "swap", "garbage", "half-header", "drop-before", "busy", "fails", "goodbye"}[a]
}

// executes tells whether the claim runs.
func (a Act) executes() bool { return a != Busy && a != DropBefore && a != HalfHeader }

// Name is a claim as a server knows it: who has sent it, and its end-to-end identifier.
type Name struct {
	Origin string
	ID     uint32
}

// Server is a Diameter server. Set the fields before Serve.
type Server struct {
	Host, Realm string
	Act         func(n int64) Act // of the n-th claim that it reads; nil is Serve
	Deaf        bool              // never answers a watchdog
	Late        time.Duration     // before its CEA

	mu       sync.Mutex
	executed map[Name]int
	repeats  int // claims with the T flag
	conns    map[net.Conn]bool
	n        atomic.Int64
	dict     *diameter.Dictionary
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.executed, s.conns, s.dict = map[Name]int{}, map[net.Conn]bool{}, diameter.Base()
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.talk(c)
	}
}

// Executed is how often each claim has run.
func (s *Server) Executed() map[Name]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Name]int, len(s.executed))
	for k, v := range s.executed {
		out[k] = v
	}
	return out
}

// Claims is how many claims it has read, and how many of them had the T flag.
func (s *Server) Claims() (all int64, repeats int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n.Load(), s.repeats
}

// Drop closes all connections.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// SayGoodbye sends a DPR on all connections.
func (s *Server) SayGoodbye() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if m, err := s.dpr(); err == nil {
			c.Write(m)
		}
	}
}

// line is one connection, with the claims that are out on it.
type line struct {
	s   *Server
	c   net.Conn
	mu  sync.Mutex // of writing
	out map[uint32]diameter.Header
}

func (s *Server) talk(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	l := &line{s: s, c: c, out: map[uint32]diameter.Header{}}
	r := diameter.NewReader(c, s.dict)
	for {
		m, h, err := r.Next()
		if err != nil {
			return
		}
		switch {
		case h.Command == cmdCER && h.IsRequest():
			time.Sleep(s.Late)
			l.send(s.cea(h))
		case h.Command == cmdDWR && h.IsRequest():
			if !s.Deaf {
				l.send(s.plain(h, diameter.Success, nil))
			}
		case h.Command == cmdDPR && h.IsRequest():
			l.send(s.plain(h, diameter.Success, nil))
		case h.Command == cmdDPR: // our goodbye is answered
			return
		case h.Command == cmdClaim && h.IsRequest():
			if !l.claim(append(diameter.Message(nil), m...), h) {
				return
			}
		}
	}
}

// claim does with a claim what is to be done; false closes the connection.
func (l *line) claim(m diameter.Message, h diameter.Header) bool {
	s := l.s
	n := s.n.Add(1)
	act := Serve
	if s.Act != nil {
		act = s.Act(n)
	}
	origin, _ := m.Find(0, s.dict.Named("Origin-Host").Code)
	s.mu.Lock()
	if act.executes() {
		s.executed[Name{string(origin.Data), h.EndToEnd}]++
	}
	if h.Flags&diameter.Retransmitted != 0 {
		s.repeats++
	}
	s.mu.Unlock()
	l.mu.Lock()
	l.out[h.HopByHop] = h
	var another diameter.Header
	for id, o := range l.out {
		if id != h.HopByHop {
			another = o
		}
	}
	l.mu.Unlock()
	answer, err := s.plain(h, diameter.Success, m)
	switch act {
	case Stall:
		return true
	case DropAfter, DropBefore:
		return false
	case HalfAnswer:
		l.c.Write(answer[:len(answer)/2])
		return false
	case HalfHeader:
		l.c.Write(answer[:diameter.HeaderLen/2])
		return false
	case Garbage:
		l.c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		return true
	case Twice:
		l.send(answer, err)
	case Stray:
		stray := h
		stray.HopByHop += 1 << 20
		l.send(s.plain(stray, diameter.Success, m))
	case Swap:
		if another.HopByHop != 0 {
			swapped := h
			swapped.HopByHop = another.HopByHop
			l.send(s.plain(swapped, diameter.Success, m))
		}
	case Busy:
		answer, err = s.plain(h, diameter.TooBusy, m)
	case Fails:
		answer, err = s.plain(h, diameter.UnableToComply, m)
	case Slowly:
		go func() {
			time.Sleep(20 * time.Millisecond)
			l.done(h, answer, err)
		}()
		return true
	}
	l.done(h, answer, err)
	if act == Goodbye {
		l.send(s.dpr())
	}
	return true
}

func (l *line) done(h diameter.Header, answer diameter.Message, err error) {
	l.mu.Lock()
	delete(l.out, h.HopByHop)
	l.mu.Unlock()
	l.send(answer, err)
}

func (l *line) send(m diameter.Message, err error) {
	if err != nil {
		panic(fmt.Sprintf("a stand-in can't word its answer: %v", err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	l.c.Write(m) // who does not read has no answer
}

func (s *Server) cea(h diameter.Header) (diameter.Message, error) {
	d := s.dict
	return diameter.Answer(nil, h, diameter.Success).Uint32(d.Named("Result-Code"), 2001).Text(d.Named("Origin-Host"), s.Host).
		Text(d.Named("Origin-Realm"), s.Realm).Address(d.Named("Host-IP-Address"), loopback).Uint32(d.Named("Vendor-Id"), 0).
		Text(d.Named("Product-Name"), "partner").Uint32(d.Named("Auth-Application-Id"), creditControl).Message()
}

func (s *Server) dpr() (diameter.Message, error) {
	d := s.dict
	return diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request, Command: cmdDPR, HopByHop: 9, EndToEnd: 9}).
		Text(d.Named("Origin-Host"), s.Host).Text(d.Named("Origin-Realm"), s.Realm).Uint32(d.Named("Disconnect-Cause"), 0).Message()
}

// plain answers with a result and who we are, and of a claim with what its answer must have.
func (s *Server) plain(h diameter.Header, code diameter.ResultCode, claim diameter.Message) (diameter.Message, error) {
	d := s.dict
	w := diameter.Answer(nil, h, code)
	copyOf := func(names ...string) {
		for _, name := range names {
			if a, found := claim.Find(0, d.Named(name).Code); found {
				w.Raw(a.Raw())
			}
		}
	}
	if claim != nil {
		copyOf("Session-Id")
	}
	w.Uint32(d.Named("Result-Code"), uint32(code)).Text(d.Named("Origin-Host"), s.Host).Text(d.Named("Origin-Realm"), s.Realm)
	if claim != nil {
		copyOf("Auth-Application-Id", "CC-Request-Type", "CC-Request-Number", "Requested-Service-Unit")
		w.Begin(d.Named("Service-Parameter-Info")).Uint32(d.Named("Service-Parameter-Type"), 0).Text(d.Named("Service-Parameter-Value"), "the answer").End()
	}
	return w.Message()
}

var loopback = netip.MustParseAddr("127.0.0.1")
