package capacity

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"lapisspread/internal/controlplane/api"
)

// meter counts what goes over the connections that are dialled through it, both ways, at the socket: HTTP's heads count, those of TCP and
// IP don't. It can cut them.
type meter struct {
	in, out atomic.Int64 // bytes

	mu    sync.Mutex
	conns map[*counted]bool
	cut   bool
}

// counted is one connection.
type counted struct {
	net.Conn
	m *meter
}

var errCut = errors.New("the link is cut")

func newMeter() *meter { return &meter{conns: map[*counted]bool{}} }

// transport leads calls to stewards over connections of its own.
func (m *meter) transport() http.RoundTripper {
	t := api.NewTransport(nil).(*http.Transport) // in the clear it is one
	t.DialContext = m.dial
	return t
}

func (m *meter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	m.mu.Lock()
	cut := m.cut
	m.mu.Unlock()
	if cut {
		return nil, errCut
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &counted{nc, m}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut {
		nc.Close()
		return nil, errCut
	}
	m.conns[c] = true
	return c, nil
}

// set cuts the links, or joins them.
func (m *meter) set(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
	if cut {
		for c := range m.conns {
			c.Conn.Close()
		}
		clear(m.conns)
	}
}

func (m *meter) bytes() int64 { return m.in.Load() + m.out.Load() }

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.out.Add(int64(n))
	return n, err
}

func (c *counted) Close() error {
	c.m.mu.Lock()
	delete(c.m.conns, c)
	c.m.mu.Unlock()
	return c.Conn.Close()
}
