// Package upstream is servers that speak Diameter, as the engine sees them: one connection to each, which many requests
// share.
//
// What an attempt's end says: that it never ran where not a byte of it was written, or the server has answered 3004 (too
// busy); that it may have run where the connection broke, or nothing came in time, or the server answered another error of
// the protocol; everything else is the server's decision and the final answer.
package upstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/diameter"
	"lapisspread/internal/diameter/claim"
	"lapisspread/internal/diameter/node"
	"lapisspread/internal/diameter/peer"
	"lapisspread/internal/engine"
)

// Message is what is sent: a whole request. It is an engine.Message.
type Message struct {
	wire diameter.Message
	sent atomic.Bool // an attempt may have gone out
}

// NewMessage makes one of a request as it is to be handed on.
func NewMessage(wire diameter.Message) *Message { return &Message{wire: wire} }

// Consumed is false: it can always be sent again.
func (m *Message) Consumed() bool { return false }

// next is the request for one attempt. One that goes out again has the T flag (section 6.1.8): the server may have it.
func (m *Message) next() diameter.Message {
	w := append(diameter.Message(nil), m.wire...)
	if m.sent.Load() {
		w.SetFlags(w.Header().Flags | diameter.Retransmitted)
	}
	return w
}

// Upstream holds the connections. It is for any goroutine.
type Upstream struct {
	node    *node.Node
	connect time.Duration // for a connection that is being made
	leave   time.Duration // for what is out to a server that drains

	mu      sync.Mutex
	members map[decision.BackendID]*member
	closed  bool
}

// member is a server. The upstream's lock guards it.
type member struct {
	up       *Upstream
	addr     string
	peer     *node.Peer // nil while it drains, and when it is gone
	draining bool
}

// New makes an upstream of a node, which is its own.
func New(n *node.Node, connect, leave time.Duration) *Upstream {
	return &Upstream{node: n, connect: connect, leave: leave, members: map[decision.BackendID]*member{}}
}

// Update takes in a list: new servers are connected to at once; one that drains or is gone gets nothing new from now on, and
// a goodbye once what is out has come back.
func (u *Upstream) Update(list engine.EndpointList) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return
	}
	named := map[decision.BackendID]bool{}
	for _, l := range list.Endpoints {
		id := engine.BackendID(l.ID)
		named[id] = true
		m := u.members[id]
		if l.State == decision.Removed {
			u.drop(id)
			continue
		}
		if m == nil {
			m = &member{up: u, addr: l.Addr}
			u.members[id] = m
		}
		m.draining = l.State == decision.Draining
		if moved := l.Addr != "" && l.Addr != m.addr; moved || m.draining {
			u.part(m)
			if moved {
				m.addr = l.Addr
			}
		}
		if !m.draining && m.peer == nil && m.addr != "" {
			m.peer, _ = u.node.Connect(m.addr, "") // a node that is closed has no peers
		}
	}
	if list.Full {
		for id := range u.members {
			if !named[id] {
				u.drop(id)
			}
		}
	}
}

// drop forgets a server. The lock is held.
func (u *Upstream) drop(id decision.BackendID) {
	if m := u.members[id]; m != nil {
		m.draining = true // for attempts that still hold it
		u.part(m)
		delete(u.members, id)
	}
}

// part has a server's connection end in order. The lock is held.
func (u *Upstream) part(m *member) {
	if m.peer == nil {
		return
	}
	p := m.peer
	m.peer = nil
	p.Refuse() // before this returns: nothing new goes out
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), u.leave)
		defer cancel()
		p.Leave(ctx, peer.DoNotWantToTalkTo)
	}()
}

// Find is the server of that id, or nil.
func (u *Upstream) Find(id decision.BackendID) engine.Backend {
	u.mu.Lock()
	defer u.mu.Unlock()
	if m := u.members[id]; m != nil {
		return m
	}
	return nil // not a peer without a server
}

// Release has nothing to do: a server has one connection, idle or not.
func (u *Upstream) Release(decision.BackendID) {}

// Close ends all connections.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.closed = true
	u.members = map[decision.BackendID]*member{}
	u.mu.Unlock()
	u.node.Close()
}

func (m *member) now() *node.Peer {
	m.up.mu.Lock()
	defer m.up.mu.Unlock()
	if m.draining {
		return nil
	}
	return m.peer
}

// Exchange sends a request once.
func (m *member) Exchange(ctx context.Context, a engine.Attempt) (decision.Result, any) {
	p := m.now()
	msg, ours := a.Message.(*Message)
	if p == nil || !ours {
		return decision.ConnectFailed, nil
	}
	answer, unsent, err := m.send(ctx, p, msg, func() bool { _, ok := a.SendAllowed(); return ok })
	if err == nil {
		return m.read(answer)
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.Canceled):
		return decision.Cancelled, nil
	case errors.Is(err, node.ErrTooLate):
		return decision.NotSent, nil
	case unsent:
		return decision.ConnectFailed, nil
	case cause != nil:
		return decision.Timeout, nil
	case errors.Is(err, node.ErrSpoilt):
		return decision.Error, nil
	}
	return decision.Reset, nil
}

func (m *member) send(ctx context.Context, p *node.Peer, msg *Message, may func() bool) (diameter.Message, bool, error) {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !p.Open() { // a connection that is being made is waited for no longer than the settings allow
		t := time.AfterFunc(m.up.connect, func() {
			if !p.Open() {
				cancel(context.DeadlineExceeded)
			}
		})
		defer t.Stop()
	}
	answer, unsent, err := p.SendIf(inner, msg.next(), may)
	if !unsent {
		msg.sent.Store(true)
	}
	return answer, unsent, err
}

func (m *member) read(answer diameter.Message) (decision.Result, any) {
	switch claim.FateOf(answer, m.up.node.Dictionary()) {
	case claim.Final:
		return decision.OK, answer
	case claim.NeverRan:
		return decision.Rejected, nil
	}
	return decision.Error, nil
}

// CheckHealth asks the server whether it is well.
func (m *member) CheckHealth(ctx context.Context) decision.Result {
	p := m.now()
	if p == nil {
		return decision.NotSent
	}
	ctx, cancel := context.WithTimeout(ctx, m.up.connect)
	defer cancel()
	switch err := p.Probe(ctx); {
	case err == nil:
		return decision.OK
	case errors.Is(err, context.DeadlineExceeded):
		return decision.Timeout
	case errors.Is(err, context.Canceled):
		return decision.Cancelled
	}
	return decision.ConnectFailed
}
