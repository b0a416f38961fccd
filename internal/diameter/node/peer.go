package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/diameter"
	"lapisspread/internal/diameter/peer"
	"lapisspread/internal/slowpeer"
)

// Why a request to a peer has no answer. All but the last two prove that it never ran.
var (
	ErrClosed  = errors.New("diameter: the node is closed")
	ErrNotOpen = errors.New("diameter: no connection to the peer is open")
	ErrLeaving = errors.New("diameter: the peer is leaving")
	ErrTooMany = errors.New("diameter: too many requests are out to the peer")
	ErrTooLate = errors.New("diameter: the connection came up too late for the request")
	ErrUnsent  = errors.New("diameter: the connection broke before the request was sent")
	ErrBroken  = errors.New("diameter: the connection broke after the request was sent") // it may have run
	ErrSpoilt  = errors.New("diameter: an answer that can't be read")                    // and so may this
)

// Peer is another node, with one connection to it, or none, or two for a moment.
type Peer struct {
	node *Node
	addr string // where we connect to; empty leaves that to it

	mu        sync.Mutex
	host      string // its Origin-Host, once that is known
	realm     string // and its Origin-Realm
	m         *peer.Machine
	timer     *time.Timer
	conns     [2]*conn // by side
	candidate *conn    // whose CER came last
	open      *conn    // requests go out on it
	suspect   bool
	pending   map[uint32]*call // by hop-by-hop identifier, of the open connection and one that is being left
	nextID    uint32
	inHand    int
	goodbye   *farewell
	stopped   bool
	dead      bool          // no timer any more
	guests    int           // connections that its node is handing it; the node's lock guards it
	changed   chan struct{} // closed at each change
	actions   []peer.Action
}

// farewell is a DPR that is not answered yet.
type farewell struct {
	c      *conn
	header diameter.Header
}

// call is a request that is out.
type call struct {
	conn   *conn
	id     uint32        // end to end
	state  atomic.Uint32 // 0 queued, 1 written from, 2 given up before
	answer chan diameter.Message
	broken chan error // holds one
}

// begin notes that bytes of it may go out, unless it was given up.
func (c *call) begin() bool { return c.state.CompareAndSwap(0, 1) }

// giveUp tells whether not a byte of it has gone out, and none will.
func (c *call) giveUp() bool { return c.state.CompareAndSwap(0, 2) || c.state.Load() == 2 }

// Name is the peer's Origin-Host as far as it is known.
func (p *Peer) Name() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.host
}

// Realm is the peer's Origin-Realm as far as it is known.
func (p *Peer) Realm() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.realm
}

// Open tells whether a connection to the peer is open.
func (p *Peer) Open() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open != nil
}

// Refuse has nothing new sent to the peer from now on.
func (p *Peer) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// Status is how a peer stands.
type Status struct {
	Host        string `json:"host"`
	Addr        string `json:"address,omitempty"`
	State       string `json:"state"`
	Well        bool   `json:"well"`
	InHand      int    `json:"in_hand"`     // its requests
	Outstanding int    `json:"outstanding"` // ours to it
}

// Status tells how the peer stands.
func (p *Peer) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{Host: p.host, Addr: p.addr, State: p.m.State().String(), Well: p.m.Well(), InHand: p.inHand, Outstanding: len(p.pending)}
}

// offer has the machine decide on a connection that the peer has made; it tells whether it stays.
func (p *Peer) offer(c *conn, e peer.Event, realm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.candidate = c
	p.stepLocked(e, nil, diameter.Header{})
	if p.candidate == c {
		p.candidate = nil
	}
	stays := p.conns[peer.Responder] == c
	if stays {
		p.realm = realm
	}
	return stays
}

// step hands the machine an event, of the connection where it is one's.
func (p *Peer) step(e peer.Event, c *conn, m diameter.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c != nil && p.conns[e.Side] != c {
		return // of one that was given up
	}
	var h diameter.Header
	if m != nil {
		h = m.Header()
	}
	if e.Kind == peer.Disconnected || e.Kind == peer.Garbage {
		defer p.gone(c)
	}
	p.stepLocked(e, m, h)
}

func (p *Peer) stepLocked(e peer.Event, m diameter.Message, h diameter.Header) {
	p.actions = p.m.Step(p.node.now(), e, p.actions[:0])
	p.do(m, h)
}

// tick is called when time alone has something to be done.
func (p *Peer) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.actions = p.m.Tick(p.node.now(), p.actions[:0])
	p.do(nil, diameter.Header{})
}

func (p *Peer) stopTimer() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// do carries out what the machine has decided. Nothing here waits. The lock is held.
func (p *Peer) do(m diameter.Message, h diameter.Header) {
	n := p.node
	for _, a := range p.actions {
		c := p.conns[a.Side]
		switch a.Do {
		case peer.Connect:
			if !n.start(p.dial) {
				p.stopped = true
			}
		case peer.Accept:
			p.conns[peer.Responder], p.candidate = p.candidate, nil
		case peer.Reject:
			if p.candidate != nil {
				p.candidate.close()
				p.candidate = nil
			}
		case peer.SendCER:
			if c != nil {
				p.send(c)(n.cer(c.nc.LocalAddr(), p.id()))
			}
		case peer.SendCEA:
			if c != nil {
				p.send(c)(n.cea(c.cer, c.nc.LocalAddr(), a.Code))
			}
		case peer.SendDWR:
			p.send(c)(n.dwr(p.id()))
		case peer.SendDWA:
			p.send(c)(n.plainAnswer(h))
		case peer.SendDPR:
			p.send(c)(n.dpr(p.id(), a.Cause))
		case peer.SendDPA:
			// A server closes at our answer: what it has of ours would be lost.
			p.goodbye = &farewell{c, h}
			p.sayGoodbye()
		case peer.Disconnect:
			if c != nil {
				c.finish()
				p.gone(c)
			}
		case peer.Deliver:
			p.deliver(c, m, h)
		case peer.Up:
			p.open, p.suspect = c, false
		case peer.Suspect:
			p.suspect = true
			n.Counts.Suspects.Add(1)
		case peer.Okay:
			p.suspect = false
		case peer.Down:
			p.open = nil
		}
		switch a.Do {
		case peer.Up, peer.Suspect, peer.Okay, peer.Down, peer.Disconnect:
			n.set.Log.Info("diameter peer", "host", p.host, "addr", p.addr, "now", fmt.Sprint(p.m.State()), "by", fmt.Sprint(a.Do))
		}
	}
	p.signal()
	p.stopTimer()
	if next := p.m.Next(); next < 1<<62 && !p.dead {
		wait := max(0, next-n.now())
		if p.timer == nil {
			p.timer = time.AfterFunc(wait, p.tick)
		} else {
			p.timer.Reset(wait)
		}
	}
}

// signal wakes who waits for a change. The lock is held.
func (p *Peer) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Peer) send(c *conn) func(diameter.Message, error) {
	return func(m diameter.Message, err error) {
		if err != nil {
			p.node.set.Log.Error("a message could not be worded", "err", err)
		} else if c != nil {
			c.send(&outgoing{b: m})
		}
	}
}

// id is the next hop-by-hop identifier that is not out. They wrap around.
func (p *Peer) id() uint32 {
	for {
		p.nextID++
		if _, out := p.pending[p.nextID]; !out && p.nextID != 0 {
			return p.nextID
		}
	}
}

// gone ends what hangs on a connection. The lock is held.
func (p *Peer) gone(c *conn) {
	for side, o := range p.conns {
		if o == c {
			p.conns[side] = nil
		}
	}
	if p.open == c {
		p.open = nil
	}
	if p.goodbye != nil && p.goodbye.c == c {
		p.goodbye = nil
	}
	for id, k := range p.pending {
		if k.conn == c {
			delete(p.pending, id)
			err := ErrBroken
			if k.giveUp() {
				err = ErrUnsent
			}
			k.broken <- err
		}
	}
}

// sayGoodbye answers a DPR once nothing is out on its connection. The lock is held.
func (p *Peer) sayGoodbye() {
	g := p.goodbye
	if g == nil {
		return
	}
	for _, k := range p.pending {
		if k.conn == g.c {
			return
		}
	}
	p.goodbye = nil
	p.send(g.c)(p.node.plainAnswer(g.header))
}

// deliver hands on what a peer has sent. The lock is held.
func (p *Peer) deliver(c *conn, m diameter.Message, h diameter.Header) {
	n := p.node
	if !h.IsRequest() {
		k := p.pending[h.HopByHop]
		// Danger: a peer that mixes up its hop-by-hop identifiers would else give one client another's answer.
		if k == nil || k.conn != c || k.id != h.EndToEnd {
			n.Counts.Unknown.Add(1)
			return
		}
		delete(p.pending, h.HopByHop)
		n.Counts.Answered.Add(1)
		k.answer <- append(diameter.Message(nil), m...)
		p.sayGoodbye()
		return
	}
	n.Counts.Requests.Add(1)
	r := &Request{From: p, Header: h, conn: c, Message: m}
	busy := ""
	switch size := int64(len(m)); {
	case p.inHand >= n.set.InHand:
		busy = "too many requests of this peer are in hand"
	case n.bytes.Add(size) > n.set.Bytes:
		n.bytes.Add(-size)
		busy = "too many bytes are in hand"
	case !n.enter():
		n.bytes.Add(-size)
		busy = "the node is ending"
	}
	if busy != "" {
		n.Counts.Busy.Add(1)
		r.over.Store(true) // nothing of it is counted
		answer, err := n.set.Dict.Refusal(m, h, p.busyError(m, busy), n.set.Host, n.set.Realm)
		p.send(c)(answer, err)
		return
	}
	p.inHand++
	r.Message = append(diameter.Message(nil), m...)
	go r.handle()
}

// busyError is the answer to a request for which there is no room, for a reason. The lock is held.
func (p *Peer) busyError(m diameter.Message, reason string) *diameter.Error {
	if p.node.set.MayReject(m, p.host, p.realm) {
		return &diameter.Error{Code: diameter.TooBusy, What: reason}
	}
	return &diameter.Error{Code: diameter.UnableToComply, What: reason + ", and an earlier copy may have run"}
}

// enter counts a request in hand, unless the node ends.
func (n *Node) enter() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.draining || n.closed {
		return false
	}
	n.inHand.Add(1)
	return true
}

// Request is one that a peer has sent.
type Request struct {
	From    *Peer
	Message diameter.Message // its own
	Header  diameter.Header

	conn *conn
	over atomic.Bool
}

// handle has the request handled. Danger: a panic would take all other requests with it; the peer of this one learns nothing.
func (r *Request) handle() {
	defer func() {
		if v := recover(); v != nil {
			r.From.node.set.Log.Error("a Diameter request failed", "panic", v, "stack", string(debug.Stack()))
			r.Drop()
		}
	}()
	r.From.node.set.Handle(r)
}

// Answer sends the answer, once; it goes back on the connection that the request came on, with its identifiers.
func (r *Request) Answer(m diameter.Message) {
	if r.over.Swap(true) {
		return
	}
	m.SetHopByHop(r.Header.HopByHop)
	r.conn.send(&outgoing{b: m})
	// Danger: as soon as nothing is in hand a node that ends says goodbye, and an answer behind that is lost.
	r.leave()
}

// Drop ends a request without an answer.
func (r *Request) Drop() {
	if !r.over.Swap(true) {
		r.leave()
	}
}

// Gone is closed when the connection that the request came on is.
func (r *Request) Gone() <-chan struct{} { return r.conn.done }

// leave takes the request off the books.
func (r *Request) leave() {
	p := r.From
	p.mu.Lock()
	p.inHand--
	p.mu.Unlock()
	p.node.bytes.Add(-int64(len(r.Message)))
	p.node.inHand.Done()
}

// dial makes our connection.
func (p *Peer) dial() {
	n := p.node
	ctx, cancel := context.WithTimeout(context.Background(), n.set.Handshake)
	defer cancel()
	nc, err := n.set.Dial(ctx, p.addr)
	if err == nil {
		nc = slowpeer.NewConn(nc, n.WriteLimit())
	}
	if err == nil && n.set.TLS != nil {
		t := tls.Client(nc, n.set.TLS())
		if err = t.HandshakeContext(ctx); err != nil {
			nc.Close()
			err = fmt.Errorf("TLS: %w", err)
		}
		nc = t
	}
	if err != nil {
		n.set.Log.Warn("diameter: connecting", "addr", p.addr, "err", err)
		p.step(peer.Event{Kind: peer.ConnectFailed, Side: peer.Initiator}, nil, nil)
		return
	}
	n.Counts.Connected.Add(1)
	c := newConn(nc, n)
	defer c.close()
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		return
	}
	p.conns[peer.Initiator] = c
	p.mu.Unlock()
	p.step(peer.Event{Kind: peer.Connected, Side: peer.Initiator}, c, nil)
	p.read(c, diameter.NewReader(nc, n.set.Dict), peer.Initiator)
}

// read takes what comes on a connection until its end.
func (p *Peer) read(c *conn, r *diameter.Reader, side peer.Side) {
	n := p.node
	for {
		m, h, err := r.Next()
		if e, ok := diameter.AsError(err); ok && !e.Framing {
			if h.IsRequest() {
				n.Counts.Wrong.Add(1)
				answer, err := n.set.Dict.Refusal(m, h, e, n.set.Host, n.set.Realm)
				p.send(c)(answer, err)
			} else {
				p.spoilt(c, h, e)
			}
			continue
		}
		if err != nil {
			kind := peer.Disconnected
			if _, wrong := diameter.AsError(err); wrong {
				kind = peer.Garbage
				n.Counts.Garbage.Add(1)
				n.set.Log.Warn("a Diameter stream can't be followed", "host", p.Name(), "err", err)
			}
			c.close()
			p.step(peer.Event{Kind: kind, Side: side}, c, nil)
			return
		}
		p.step(p.eventOf(c, side, m, h), c, m)
	}
}

// spoilt ends the request to which an answer came that cannot be read.
func (p *Peer) spoilt(c *conn, h diameter.Header, e *diameter.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.pending[h.HopByHop]
	if k == nil || k.conn != c {
		p.node.Counts.Unknown.Add(1)
		return
	}
	delete(p.pending, h.HopByHop)
	k.broken <- fmt.Errorf("%w: %w", ErrSpoilt, e)
	p.sayGoodbye()
	p.signal()
}

// eventOf is what a message is to the machine.
func (p *Peer) eventOf(c *conn, side peer.Side, m diameter.Message, h diameter.Header) peer.Event {
	e := peer.Event{Kind: peer.Message, Side: side}
	if h.App != 0 {
		return e
	}
	d := p.node.set.Dict
	switch h.Command {
	case cmdCER:
		if e.Kind = peer.CER; h.IsRequest() { // a second one
			e.Kind = peer.Garbage
			return e
		}
		e.Kind = peer.CEA
		cap := capabilities{header: h, message: m}
		if err := cap.fill(d); err != nil {
			p.node.set.Log.Warn("a CEA makes no sense", "addr", p.addr, "err", err)
			e.Code = uint32(diameter.UnableToComply)
			return e
		}
		e.Host, e.Code = cap.host, uint32(cap.code)
		if err := p.meet(c, &cap); err != nil {
			p.node.set.Log.Warn("not the peer that was meant", "addr", p.addr, "err", err)
			e.Code = uint32(diameter.UnknownPeer)
		}
	case cmdDWR:
		e.Kind = peer.DWR
		if !h.IsRequest() {
			e.Kind = peer.DWA
			p.mu.Lock()
			if k := p.pending[h.HopByHop]; k != nil && k.conn == c { // a probe's
				e.Kind = peer.Message
			}
			p.mu.Unlock()
		}
	case cmdDPR:
		e.Kind = peer.DPR
		if !h.IsRequest() {
			e.Kind = peer.DPA
		} else if a, found := m.Find(0, d.Named("Disconnect-Cause").Code); found {
			e.Cause, _ = a.Uint32()
		}
	}
	return e
}

// meet checks who has answered, and keeps its name.
func (p *Peer) meet(c *conn, cap *capabilities) error {
	var cert *x509.Certificate
	if t, ok := c.nc.(*tls.Conn); ok {
		cert = leaf(t)
	}
	p.mu.Lock()
	want := p.host
	p.mu.Unlock()
	if want != "" && want != cap.host {
		return fmt.Errorf("%q has answered in place of %q", cap.host, want)
	}
	if err := p.node.set.Allow(cap.host, cap.realm, cert); err != nil {
		return err
	}
	if cap.code == diameter.Success && !p.node.common(cap) {
		return errors.New("no application in common")
	}
	p.mu.Lock()
	p.host, p.realm = cap.host, cap.realm
	p.mu.Unlock()
	return nil
}

// Stop says goodbye to the peer, and connects to it no more. Cause is a Disconnect-Cause.
func (p *Peer) Stop(cause uint32) {
	p.Refuse()
	p.step(peer.Event{Kind: peer.Stop, Cause: cause}, nil, nil)
}

// Leave stops the peer once nothing is out to it, or ctx ends, and has the node forget it.
func (p *Peer) Leave(ctx context.Context, cause uint32) {
	p.Refuse()
	p.wait(ctx, func() bool { return len(p.pending) == 0 })
	p.Stop(cause)
	p.waitClosed(ctx)
	p.kill()
}

// kill ends its connections without a word.
func (p *Peer) kill() {
	p.Stop(peer.Rebooting)
	p.mu.Lock()
	p.dead = true
	p.stopTimer()
	for _, c := range p.conns {
		if c != nil {
			c.close()
			p.gone(c)
		}
	}
	p.mu.Unlock()
	p.node.mu.Lock()
	delete(p.node.all, p)
	if p.node.byHost[p.host] == p {
		delete(p.node.byHost, p.host)
	}
	p.node.mu.Unlock()
}

// wait waits until something holds of the peer, or ctx ends. What is asked under the lock.
func (p *Peer) wait(ctx context.Context, what func() bool) bool {
	for {
		p.mu.Lock()
		if what() {
			p.mu.Unlock()
			return true
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (p *Peer) waitClosed(ctx context.Context) {
	p.wait(ctx, func() bool { return p.conns == [2]*conn{} })
}

// Send sends a request and waits for its answer, or until ctx ends. While a connection is being made it waits for that.
// The message is the caller's again when it returns; its hop-by-hop identifier is changed. Unsent tells that not a byte
// of it has gone out nor will: whatever the error, it never ran.
func (p *Peer) Send(ctx context.Context, m diameter.Message) (answer diameter.Message, unsent bool, err error) {
	return p.SendIf(ctx, m, func() bool { return true })
}

// SendIf is Send, unless may says no once the connection is there. May must not call the peer.
func (p *Peer) SendIf(ctx context.Context, m diameter.Message, may func() bool) (answer diameter.Message, unsent bool, err error) {
	k, err := p.out(ctx, m, may)
	if err != nil {
		return nil, true, err
	}
	select {
	case a := <-k.answer:
		return a, false, nil
	case err := <-k.broken:
		return nil, err == ErrUnsent, err
	case <-ctx.Done():
	}
	p.mu.Lock()
	for id, o := range p.pending {
		if o == k {
			delete(p.pending, id)
			p.sayGoodbye()
			p.signal()
			break
		}
	}
	p.mu.Unlock()
	return nil, k.giveUp(), context.Cause(ctx)
}

// out puts a request on its way.
func (p *Peer) out(ctx context.Context, m diameter.Message, may func() bool) (*call, error) {
	for {
		p.mu.Lock()
		switch {
		case p.stopped:
			p.mu.Unlock()
			return nil, ErrLeaving
		case p.open != nil && len(p.pending) >= p.node.set.Outstanding:
			p.mu.Unlock()
			return nil, ErrTooMany
		case p.open != nil && p.suspect:
			p.mu.Unlock()
			return nil, ErrNotOpen
		case p.open != nil && !may():
			p.mu.Unlock()
			return nil, ErrTooLate
		case p.open != nil:
			id := p.id()
			m.SetHopByHop(id)
			k := &call{conn: p.open, id: m.Header().EndToEnd, answer: make(chan diameter.Message, 1), broken: make(chan error, 1)}
			p.pending[id] = k
			c := p.open
			p.mu.Unlock()
			p.node.Counts.Sent.Add(1)
			if err := c.send(&outgoing{b: append([]byte(nil), m...), call: k}); err != nil {
				p.mu.Lock()
				if p.pending[id] == k {
					delete(p.pending, id)
				}
				p.mu.Unlock()
				return nil, err
			}
			return k, nil
		}
		state, changed := p.m.State(), p.changed
		p.mu.Unlock()
		if state == peer.Closed || state == peer.Closing {
			return nil, ErrNotOpen
		}
		select { // a connection is being made
		case <-changed:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// Probe asks the peer whether it is well, by a watchdog of its own.
func (p *Peer) Probe(ctx context.Context) error {
	m, err := p.node.dwr(0)
	if err != nil {
		return err
	}
	_, _, err = p.Send(ctx, m)
	return err
}
