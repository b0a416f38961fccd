package node_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lapisspread/internal/consensus"
	"lapisspread/internal/consensus/node"
	"lapisspread/internal/consensus/storage"
	"lapisspread/internal/faultlab/loopbackaddr"
	"lapisspread/internal/tlskeys"
)

func TestMain(m *testing.M) {
	// net/http waits half a second before it closes on a body that was too long.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// textMachine is a Machine that appends the commands.
type textMachine struct {
	mu           sync.Mutex
	text         []byte
	paddingBytes int // that its snapshots have besides
}

func (m *textMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !bytes.HasSuffix(m.text, command) { // propose sends again what it could not learn the end of
		m.text = append(m.text, command...)
	}
	return fmt.Append(nil, len(m.text))
}

func (m *textMachine) Snapshot() ([]byte, error) {
	return append(m.copy(), make([]byte, m.paddingBytes)...), nil
}

func (m *textMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.text = bytes.Clone(snapshot[:len(snapshot)-m.paddingBytes])
	return nil
}

func (m *textMachine) copy() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return bytes.Clone(m.text)
}

// linkFaults fails requests over links that are cut.
type linkFaults struct {
	mu        sync.Mutex
	cut       map[string]bool // by linkName
	transport *http.Transport
}

func linkName(from uint64, address string) string { return fmt.Sprint(from, " ", address) }

// link is the transport of one server.
type link struct {
	*linkFaults
	from uint64
}

func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	cut := l.cut[linkName(l.from, r.URL.Host)]
	l.mu.Unlock()
	if cut {
		return nil, errors.New("the link is cut")
	}
	return l.transport.RoundTrip(r)
}

type member struct {
	*node.Node // nil while it is down
	id         uint64
	storePath  string
	machine    *textMachine
	server     *http.Server
	address    string
}

// cluster is three servers on loopback.
type cluster struct {
	t            testing.TB
	links        *linkFaults
	urls         map[uint64]string
	members      []*member
	limits       consensus.Config
	silence      time.Duration
	tick         time.Duration
	paddingBytes int                      // of the machines that are started
	keys         map[uint64]*tlskeys.Keys // nil is without TLS
}

func newCluster(t testing.TB, limits consensus.Config) *cluster { return newTLSCluster(t, limits, nil) }

func newTLSCluster(t testing.TB, limits consensus.Config, keys map[uint64]*tlskeys.Keys) *cluster {
	c := &cluster{
		t:       t,
		links:   &linkFaults{cut: map[string]bool{}, transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		urls:    map[uint64]string{},
		limits:  limits,
		silence: time.Hour,
		tick:    20 * time.Millisecond,
		keys:    keys,
	}
	dir := t.TempDir()
	for _, id := range []uint64{1, 2, 3} {
		m := &member{id: id, storePath: filepath.Join(dir, fmt.Sprint(id))}
		c.members = append(c.members, m)
		c.must(storage.Bootstrap(m.storePath, "f", 1, m.id, []uint64{1, 2, 3}))
		address, err := loopbackaddr.Addr()
		c.must(err)
		m.address = address
		c.urls[m.id] = "http://" + m.address
		if keys != nil {
			c.urls[m.id] = "https://" + m.address
		}
	}
	for _, m := range c.members {
		c.must(c.start(m))
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
		}
		c.links.transport.CloseIdleConnections()
	})
	return c
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// start starts a member on its store.
func (c *cluster) start(m *member) (err error) {
	m.machine = &textMachine{paddingBytes: c.paddingBytes}
	config := node.Config{
		Fleet:        "f",
		Epoch:        1,
		ID:           m.id,
		StorePath:    m.storePath,
		Peers:        c.urls,
		Machine:      m.machine,
		Silence:      c.silence,
		TickInterval: c.tick,
		Limits:       c.limits,
		Transport:    link{c.links, m.id},
	}
	if c.keys != nil {
		config.Transport = nil
		config.TLS = c.keys[m.id].ClientConfig("steward")
	}
	m.Node, err = node.Start(config)
	if err != nil {
		m.Node = nil
		return err
	}
	listener, err := net.Listen("tcp", m.address)
	c.must(err)
	server := &http.Server{Handler: m.Handler()}
	m.server = server // a later start puts another one here: the goroutines below keep to this one
	if c.keys != nil {
		server.TLSConfig = c.keys[m.id].ServerConfig()
		server.ErrorLog = log.New(io.Discard, "", 0)
		go func() { _ = server.ServeTLS(listener, "", "") }() // ends with stop
	} else {
		go func() { _ = server.Serve(listener) }() // ends with stop
	}
	return nil
}

// stop stops a member without a message to the others.
func (c *cluster) stop(m *member) {
	if m.Node != nil {
		c.must(errors.Join(m.server.Close(), m.Close()))
		m.Node = nil
	}
}

// setPartitioned cuts a member off from the others, or ends that.
func (c *cluster) setPartitioned(m *member, cut bool) {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	for _, other := range c.members {
		c.links.cut[linkName(m.id, other.address)] = cut
		c.links.cut[linkName(other.id, m.address)] = cut
	}
}

// eventually waits, generously, for what must come at last.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(40 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			for _, m := range c.members {
				if m.Node != nil {
					c.t.Logf("%+v", m.Status())
				}
			}
			c.t.Fatalf("in vain: %s", what)
		}
	}
}

// leader waits for a leader that is not the excluded member.
func (c *cluster) leader(excluded *member) (leader *member) {
	c.t.Helper()
	c.eventually("a leader", func() bool {
		for _, m := range c.members {
			if m.Node != nil && m != excluded && m.Status().Role == "StateLeader" {
				leader = m
				return true
			}
		}
		return false
	})
	return leader
}

// propose sends a command to the leader, which is not the excluded member, until it is committed.
func (c *cluster) propose(excluded *member, command string) {
	c.t.Helper()
	c.eventually("command "+command, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := c.leader(excluded).Propose(ctx, []byte(command))
		return err == nil
	})
}

// allHold waits until all members that run hold a text.
func (c *cluster) allHold(want string) {
	c.t.Helper()
	c.eventually("all hold "+want, func() bool {
		for _, m := range c.members {
			if m.Node != nil && string(m.machine.copy()) != want {
				return false
			}
		}
		return true
	})
}
