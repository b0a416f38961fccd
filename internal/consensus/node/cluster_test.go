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
	// net/http keeps a connection open for half a second after it has rejected a body that is too long.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// textMachine is a Machine that concatenates its commands and replies with the length of the text.
type textMachine struct {
	mu           sync.Mutex
	text         []byte
	paddingBytes int // zero bytes added to each snapshot, to make it large
}

func (m *textMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !bytes.HasSuffix(m.text, command) { // cluster.propose repeats a command whose outcome is unknown
		m.text = append(m.text, command...)
	}
	return fmt.Append(nil, len(m.text))
}

func (m *textMachine) Snapshot() ([]byte, error) {
	return append(m.textCopy(), make([]byte, m.paddingBytes)...), nil
}

func (m *textMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.text = bytes.Clone(snapshot[:len(snapshot)-m.paddingBytes])
	return nil
}

func (m *textMachine) textCopy() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return bytes.Clone(m.text)
}

// linkFaults is the network between the servers. Requests over a link that is cut fail.
type linkFaults struct {
	mu        sync.Mutex
	cut       map[string]bool // by linkName
	transport *http.Transport
}

func linkName(from uint64, address string) string { return fmt.Sprint(from, " ", address) }

// link is the HTTP transport of one server.
type link struct {
	*linkFaults
	from uint64
}

func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	cut := l.cut[linkName(l.from, r.URL.Host)]
	l.mu.Unlock()
	if cut {
		return nil, fmt.Errorf("the test has cut the link from server %d to %s", l.from, r.URL.Host)
	}
	return l.transport.RoundTrip(r)
}

// member is a server of a cluster.
type member struct {
	*node.Node // nil while the server is stopped
	id         uint64
	storePath  string
	machine    *textMachine
	server     *http.Server
	address    string
}

// cluster runs 3 servers on loopback.
type cluster struct {
	t            testing.TB
	links        *linkFaults
	urls         map[uint64]string
	members      []*member
	limits       consensus.Config
	silence      time.Duration
	tick         time.Duration
	paddingBytes int                      // textMachine.paddingBytes at the next start
	keys         map[uint64]*tlskeys.Keys // by server ID; nil is without TLS
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
		c.must("Bootstrap of a store", storage.Bootstrap(m.storePath, "f", 1, m.id, []uint64{1, 2, 3}))
		address, err := loopbackaddr.Addr()
		c.must("choosing a loopback address", err)
		m.address = address
		c.urls[m.id] = "http://" + m.address
		if keys != nil {
			c.urls[m.id] = "https://" + m.address
		}
	}
	for _, m := range c.members {
		c.mustStart(m)
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
		}
		c.links.transport.CloseIdleConnections()
	})
	return c
}

// must fails the test if the named step returned an error.
func (c *cluster) must(step string, err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatalf("%s returned %v, want no error", step, err)
	}
}

// mustStart starts a member, and fails the test if that fails.
func (c *cluster) mustStart(m *member) {
	c.t.Helper()
	c.must(fmt.Sprintf("starting server %d", m.id), c.start(m))
}

// start starts a member on its store. The error is that of node.Start.
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
	c.must("Listen on "+m.address, err)
	server := &http.Server{Handler: m.Handler()}
	m.server = server // a later start replaces it; the goroutines below use the local variable
	if c.keys != nil {
		server.TLSConfig = c.keys[m.id].ServerConfig()
		server.ErrorLog = log.New(io.Discard, "", 0)
		go func() { _ = server.ServeTLS(listener, "", "") }() // ends with stop
	} else {
		go func() { _ = server.Serve(listener) }() // ends with stop
	}
	return nil
}

// stop stops a member without notifying the others. A stopped member is ignored.
func (c *cluster) stop(m *member) {
	if m.Node != nil {
		c.must(fmt.Sprintf("closing server %d", m.id), errors.Join(m.server.Close(), m.Close()))
		m.Node = nil
	}
}

// setPartitioned cuts the links between a member and the others (cut is true), or restores them.
func (c *cluster) setPartitioned(m *member, cut bool) {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	for _, other := range c.members {
		c.links.cut[linkName(m.id, other.address)] = cut
		c.links.cut[linkName(other.id, m.address)] = cut
	}
}

// eventually polls until a condition is true, and fails the test after 40 seconds. The description completes the
// failure text "want that ...".
func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(40 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, m := range c.members {
				if m.Node != nil {
					c.t.Logf("status of server %d: %+v", m.id, m.Status())
				}
			}
			c.t.Fatalf("not reached within 40 s: want that %s", description)
		}
	}
}

// awaitLeader waits until a member other than excluded leads, and returns it.
func (c *cluster) awaitLeader(excluded *member) (leader *member) {
	c.t.Helper()
	c.eventually("a server leads", func() bool {
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

// propose proposes a command to a leader other than excluded, again and again until Propose succeeds.
func (c *cluster) propose(excluded *member, command string) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("Propose(%q) at the leader succeeds", command), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := c.awaitLeader(excluded).Propose(ctx, []byte(command))
		return err == nil
	})
}

// awaitText waits until the machines of all running members hold the text.
func (c *cluster) awaitText(want string) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("the machines of all running servers hold %q", want), func() bool {
		for _, m := range c.members {
			if m.Node != nil && string(m.machine.textCopy()) != want {
				return false
			}
		}
		return true
	})
}
