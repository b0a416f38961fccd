// Package node is a Diameter node on the network (RFC 6733): it accepts and makes connections, carries out what package
// peer decides for each, hands the peers' requests on, and sends requests to them, many on one connection.
//
// What it keeps, whatever a peer does:
//
//   - The hop-by-hop identifiers of what it sends are its own. An answer with one that is not out on that connection, or
//     came already, reaches nobody and is counted.
//   - Of a request that it sends it tells whether a byte of it can have gone out: what stood in the queue only never ran.
//   - Nothing new goes to a peer after it has said goodbye. The goodbye is answered once what is out has come back, or the
//     time for that is over, so that a server which closes at our answer loses nothing.
//   - A peer that does not read is closed when what waits for it exceeds a bound; nobody else waits for it.
package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/diameter"
	"lapisspread/internal/diameter/peer"
	"lapisspread/internal/slowpeer"
)

// Settings are what a node goes by. What is left out of the times and limits is as Fill has it.
type Settings struct {
	Host, Realm string   // our Origin-Host and Origin-Realm
	Product     string   // Product-Name
	Vendor      uint32   // Vendor-Id
	Apps        []uint32 // Auth-Application-Ids that we take part in
	Relay       bool     // and the relay's, which stands for all
	StateID     uint32   // Origin-State-Id: greater after each start; 0 is not sent
	Dict        *diameter.Dictionary

	Watchdog, Handshake, Goodbye, Reconnect, Reopen time.Duration // see peer.Settings
	WriteTimeout                                    time.Duration // in which a peer must take minTaken of what is written to it

	Peers       int   // connections of peers at most, ours to them besides
	Handshakes  int   // connections at most that have not said who they are
	InHand      int   // requests in hand of one peer; what is more is answered with 3004, or 5012 without MayReject
	Bytes       int64 // of the requests in hand of all peers
	Queue       int   // bytes that wait to be written to one peer
	Outstanding int   // requests that one peer has not answered

	// Allow tells whether a peer may connect to us, or we stay with one that we have connected to. Cert is what it has
	// shown, nil without TLS.
	Allow func(host, realm string, cert *x509.Certificate) error
	// MayReject tells whether a request of the peer host in realm may be answered with 3004, which says that it has not
	// run, without its being handled. It must not block; nil allows it always.
	MayReject func(m diameter.Message, host, realm string) bool
	// Handle takes a request of a peer, in a goroutine of its own. It must call Answer or Drop.
	Handle func(*Request)
	TLS    func() *tls.Config // for a connection that we make; nil is plain TCP. A listener brings its own
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Log    *slog.Logger
	Seed   uint64
}

// Fill gives what is left out.
func (s *Settings) Fill() {
	for _, d := range []struct {
		at *time.Duration
		to time.Duration
	}{{&s.Watchdog, 30 * time.Second}, {&s.Handshake, 3 * time.Second}, {&s.Goodbye, time.Second}, {&s.Reconnect, time.Second}, {&s.WriteTimeout, 5 * time.Second}} {
		if *d.at == 0 {
			*d.at = d.to
		}
	}
	for _, d := range []struct {
		at *int
		to int
	}{{&s.Peers, 1024}, {&s.Handshakes, 64}, {&s.InHand, 1024}, {&s.Queue, 1 << 20}, {&s.Outstanding, 16384}} {
		if *d.at == 0 {
			*d.at = d.to
		}
	}
	if s.Bytes == 0 {
		s.Bytes = 4 << 20
	}
	if s.Product == "" {
		s.Product = "lapisspread"
	}
	if s.Dict == nil {
		s.Dict = diameter.Base()
	}
	if s.Allow == nil {
		s.Allow = func(string, string, *x509.Certificate) error { return nil }
	}
	if s.MayReject == nil {
		s.MayReject = func(diameter.Message, string, string) bool { return true }
	}
	if s.Handle == nil {
		s.Handle = func(r *Request) { r.Drop() }
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	if s.Dial == nil {
		d := &net.Dialer{}
		s.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
}

// Counts are what a node has done, from 0 on.
type Counts struct {
	Accepted, Rejected atomic.Int64 // connections that came
	Connected          atomic.Int64 // connections that were made
	Requests           atomic.Int64 // that peers have sent
	Busy               atomic.Int64 // of them answered with 3004, since too many were in hand
	Wrong              atomic.Int64 // of them answered with what the RFC has for what is wrong with them
	Sent, Answered     atomic.Int64 // requests to peers, and answers to them
	Unknown            atomic.Int64 // answers with a hop-by-hop identifier that is not out
	Garbage            atomic.Int64 // connections closed since their stream could not be followed
	Slow               atomic.Int64 // connections closed since the peer did not read
	Suspects           atomic.Int64 // times that a watchdog had no answer
}

// Node is one Diameter node. It is for any goroutine.
type Node struct {
	Counts Counts

	set   Settings
	began time.Time
	bytes atomic.Int64 // of requests in hand

	mu       sync.Mutex
	byHost   map[string]*Peer // those with a name
	all      map[*Peer]bool
	inbound  int // connections that peers have made
	shaking  int
	draining bool
	closed   bool
	inHand   sync.WaitGroup // requests of peers
	running  sync.WaitGroup
}

// New makes a node that has no peers yet. An error names the setting.
func New(s Settings) (*Node, error) {
	s.Fill()
	var errs []error
	if s.Host == "" || s.Realm == "" {
		errs = append(errs, fmt.Errorf("host %q and realm %q must be given", s.Host, s.Realm))
	}
	probe := peer.Settings{Host: s.Host, Watchdog: s.Watchdog, Handshake: s.Handshake, Goodbye: s.Goodbye, Reconnect: s.Reconnect, Reopen: s.Reopen}
	if s.Host != "" {
		errs = append(errs, probe.Check())
	}
	if s.WriteTimeout < 0 || s.Peers < 1 || s.Handshakes < 1 || s.InHand < 1 || s.Bytes < 1 || s.Queue < diameter.HeaderLen || s.Outstanding < 1 {
		errs = append(errs, errors.New("limits and times must be above 0"))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("diameter node: %w", err)
	}
	return &Node{set: s, began: time.Now(), byHost: map[string]*Peer{}, all: map[*Peer]bool{}}, nil
}

func (n *Node) now() time.Duration { return time.Since(n.began) }

// Dictionary is what AVPs and commands the node knows.
func (n *Node) Dictionary() *diameter.Dictionary { return n.set.Dict }

// newPeer enters a peer. The lock is held.
func (n *Node) newPeer(addr, host string) *Peer {
	s := peer.Settings{Host: n.set.Host, Watchdog: n.set.Watchdog, Handshake: n.set.Handshake, Goodbye: n.set.Goodbye, Persistent: true}
	s.Reopen = n.set.Reopen
	if addr != "" {
		s.Reconnect = n.set.Reconnect
	}
	p := &Peer{node: n, addr: addr, host: host, pending: map[uint32]*call{}, changed: make(chan struct{})}
	seed := n.set.Seed ^ uint64(len(n.all)+1)*0x9e3779b97f4a7c15 ^ nameSeed(addr+"|"+host)
	p.m, _ = peer.New(s, seed) // New has checked them
	p.nextID = uint32(seed>>16) | 1
	n.all[p] = true
	if host != "" {
		n.byHost[host] = p
	}
	return p
}

// Connect has a connection made to a peer and kept. Host is the name that it must have, empty is any.
func (n *Node) Connect(addr, host string) (*Peer, error) {
	n.mu.Lock()
	if n.closed || n.draining {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	p := n.byHost[host]
	if p == nil || host == "" {
		p = n.newPeer(addr, host)
	}
	n.mu.Unlock()
	p.step(peer.Event{Kind: peer.Start}, nil, nil)
	return p, nil
}

// minTaken is how many bytes a peer must take within Settings.WriteTimeout.
const minTaken = 32 << 10

// WriteLimit is the least that a peer must take of what is written to it.
func (n *Node) WriteLimit() slowpeer.Limit {
	return slowpeer.Limit{Interval: n.set.WriteTimeout, Bytes: minTaken}
}

// Serve takes connections until the listener is closed. A TLS listener must be one over a slowpeer.Listener with
// WriteLimit: writes can't be limited above TLS.
func (n *Node) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("diameter: accepting: %w", err)
		}
		n.ServeConn(nc)
	}
}

// ServeConn takes a connection that a peer has made.
func (n *Node) ServeConn(nc net.Conn) {
	n.mu.Lock()
	ok := !n.closed && !n.draining && n.shaking < n.set.Handshakes && n.inbound < n.set.Peers
	if ok {
		n.shaking++
		n.inbound++
		n.running.Add(1)
	}
	n.mu.Unlock()
	if !ok {
		n.Counts.Rejected.Add(1)
		nc.Close()
		return
	}
	go func() {
		defer n.running.Done()
		n.welcome(nc)
		n.mu.Lock()
		n.inbound--
		n.mu.Unlock()
	}()
}

// welcome reads who comes, and serves it if it may stay.
func (n *Node) welcome(nc net.Conn) {
	if _, isTLS := nc.(*tls.Conn); !isTLS {
		nc = slowpeer.NewConn(nc, n.WriteLimit())
	}
	c := newConn(nc, n)
	defer c.close()
	r, cer, err := n.greet(nc)
	n.mu.Lock()
	n.shaking--
	n.mu.Unlock()
	if err != nil {
		n.Counts.Rejected.Add(1)
		n.set.Log.Warn("a Diameter connection was turned away", "from", nc.RemoteAddr(), "err", err)
		if cer != nil {
			if answer, werr := n.refuseCER(cer, err); werr == nil {
				c.send(&outgoing{b: answer})
				c.finish()
				c.wait()
			}
		}
		return
	}
	c.cer = cer.header
	n.mu.Lock()
	p := n.byHost[cer.host]
	if p == nil && !n.closed {
		p = n.newPeer("", cer.host)
	}
	if p != nil {
		p.guests++
	}
	n.mu.Unlock()
	if p == nil {
		return
	}
	defer n.forget(p)
	code := uint32(diameter.Success)
	if !n.common(cer) {
		code = uint32(diameter.NoCommonApplication)
	}
	if !p.offer(c, peer.Event{Kind: peer.CER, Side: peer.Responder, Host: cer.host, Code: code}, cer.realm) {
		n.Counts.Rejected.Add(1)
		c.finish()
		c.wait()
		return
	}
	n.Counts.Accepted.Add(1)
	p.read(c, r, peer.Responder)
}

// greet reads the first message of a connection, which must be a CER.
func (n *Node) greet(nc net.Conn) (*diameter.Reader, *capabilities, error) {
	nc.SetReadDeadline(time.Now().Add(n.set.Handshake))
	var cert *x509.Certificate
	if t, ok := nc.(*tls.Conn); ok {
		ctx, cancel := context.WithTimeout(context.Background(), n.set.Handshake)
		defer cancel()
		if err := t.HandshakeContext(ctx); err != nil {
			return nil, nil, fmt.Errorf("TLS: %w", err)
		}
		cert = leaf(t)
	}
	r := diameter.NewReader(nc, n.set.Dict)
	m, h, err := r.Next()
	if err != nil && (m == nil || !h.IsRequest() || h.Command != cmdCER) {
		return nil, nil, err
	}
	if h.Command != cmdCER || !h.IsRequest() || h.App != 0 {
		return nil, nil, fmt.Errorf("command %d ahead of the capabilities exchange", h.Command)
	}
	c := &capabilities{header: h, message: append(diameter.Message(nil), m...)}
	if err == nil {
		err = c.fill(n.set.Dict)
	}
	if err != nil {
		return nil, c, err
	}
	if err := n.set.Allow(c.host, c.realm, cert); err != nil {
		return nil, c, &diameter.Error{Code: diameter.UnknownPeer, What: err.Error()}
	}
	nc.SetReadDeadline(time.Time{})
	return r, c, nil
}

func leaf(t *tls.Conn) *x509.Certificate {
	if certs := t.ConnectionState().PeerCertificates; len(certs) > 0 {
		return certs[0]
	}
	return nil
}

// forget drops a peer that only connects to us and has no connection.
func (n *Node) forget(p *Peer) {
	p.mu.Lock() // ahead of the node's, as everywhere
	defer p.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	p.guests--
	if p.guests == 0 && p.addr == "" && p.conns == [2]*conn{} {
		p.dead = true
		p.stopTimer()
		delete(n.all, p)
		if n.byHost[p.host] == p {
			delete(n.byHost, p.host)
		}
	}
}

// Peers are all that the node has now.
func (n *Node) Peers() []*Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*Peer, 0, len(n.all))
	for p := range n.all {
		out = append(out, p)
	}
	return out
}

// Drain ends the service in order: new connections and requests are turned away, what is in hand is answered, and then
// each peer is told goodbye. When ctx ends it closes all the same.
func (n *Node) Drain(ctx context.Context) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	answered := make(chan struct{})
	go func() { n.inHand.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-ctx.Done():
	}
	peers := n.Peers()
	for _, p := range peers {
		p.Stop(peer.Rebooting)
	}
	for _, p := range peers {
		p.waitClosed(ctx)
	}
	n.Close()
}

// Close ends all connections at once and waits for what it has started.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	for _, p := range n.Peers() {
		p.kill()
	}
	n.running.Wait()
}

// isDraining tells whether new requests are turned away.
func (n *Node) isDraining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining || n.closed
}

// start runs work that Close waits for, unless the node is closed.
func (n *Node) start(work func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.running.Go(work)
	return true
}

func nameSeed(s string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
