package listener

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lapisspread/internal/admission"
)

// The deployed file is valid, errors name the invalid key, and Settings bounds the connections by the capacity.
func TestFiles(t *testing.T) {
	if f, err := Load(filepath.Join("..", "..", "deploy", "admission.toml")); err != nil || f.Requests != nil {
		t.Errorf("Load of the deployed file = %+v, %v; want no error and no [requests] table", f, err)
	}
	const (
		connections = "version = 1\n[connections]\n"
		requests    = "version = 1\n[requests]\n"
	)
	for text, want := range map[string]string{
		"version = 2":                             "version: 2",
		connections + "place = 4":                 `a.toml:3: unknown key "connections.place"`,
		connections + "reserve = 2.0":             "connections: reserve: 2",
		connections + "grace = \"soon\"":          "a.toml:3",
		connections + "known = [\"here\"]":        `connections: known[0]: "here" is no address`,
		requests + "in_hand = 0":                  "requests: in_hand: 0",
		requests + "in_hand = 9\nadaptive = true": "requests: least: 0",
		connections + "rate = 0.0\n[requests]\nin_hand = 9\nper_tenant = 2.0": "rate: 0",
	} {
		if _, err := Parse("a.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse(%q) returned error %v, want one that contains %q", text, err, want)
		}
	}
	f, err := Parse("a.toml", []byte(connections+"places = 9000\nknown = [\"127.0.0.0/8\", \"::1\"]\n"))
	if err != nil {
		t.Fatalf("Parse of a valid file: %v", err)
	}
	if s, err := f.Settings(Capacity{Conns: 600}, 1); err != nil || s.MaxConns != 600 || len(s.KnownPrefixes) != 2 {
		t.Errorf("Settings for 600 connections, of a file with places = 9000 and two known prefixes, = %+v, %v; "+
			"want MaxConns 600 and two KnownPrefixes", s, err)
	}
}

// stubConn is a connection that can be evicted, unless refuses is set. Evict sets closed and then calls onClosed.
type stubConn struct {
	mu       sync.Mutex
	closed   bool
	refuses  bool
	onClosed func()
}

func (s *stubConn) Evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses || s.closed {
		return false
	}
	s.closed = true
	s.onClosed()
	return true
}

// newConnLimiter returns a limiter that reserves no connections for known clients, and a pointer to the time of its
// clock, which the test can advance.
func newConnLimiter(t *testing.T, maxConns int, blocksPath string) (*ConnLimiter, *time.Duration) {
	t.Helper()
	f, err := Parse("a.toml", []byte("version = 1\n[connections]\nreserve = 0.0\n"))
	if err != nil {
		t.Fatalf("Parse of a valid file: %v", err)
	}
	now := new(time.Duration)
	l, err := New(f, Capacity{Conns: maxConns}, 1, func() time.Duration { return *now }, blocksPath)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	return l, now
}

// clientAddr returns the address of a client at 127.0.1.lastByte.
func clientAddr(lastByte int) net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(lastByte)), Port: 1}
}

// If a connection refuses to be evicted, the next connection is evicted instead. An eviction is counted once, although
// both the connection and the limiter call Remove.
func TestRefusedEvictionIsPassedOver(t *testing.T) {
	l, now := newConnLimiter(t, 3, "")
	var stubs []*stubConn
	for i := range 3 {
		s := &stubConn{refuses: i == 0}
		id, _ := l.Arrive(clientAddr(i), s)
		s.onClosed = func() { l.Remove(id) }
		stubs = append(stubs, s)
		*now += time.Second
	}
	if id, reason := l.Arrive(clientAddr(9), &stubConn{refuses: true}); id == 0 {
		t.Fatalf("Arrive of a fourth connection was rejected with reason %v, want it admitted by an eviction", reason)
	}
	if stubs[0].closed || !stubs[1].closed || stubs[2].closed {
		t.Errorf("after one eviction, connections 0, 1 and 2 are closed: %v, %v, %v; want false, true, false",
			stubs[0].closed, stubs[1].closed, stubs[2].closed)
	}
	r := l.Report()
	if r.Open != 3 || r.Rejected["room"] != 1 || r.Counts.Spared != 1 {
		t.Errorf("Report() = %+v, want Open 3, Rejected[room] 1, Counts.Spared 1", r)
	}
	for _, s := range stubs {
		s.refuses = true
	}
	*now += time.Second
	if id, reason := l.Arrive(clientAddr(10), &stubConn{}); id != 0 && reason == admission.NoCapacity {
		t.Errorf("Arrive when every eviction is refused = ID %v and reason %v; want ID 0 with this reason", id, reason)
	}
}

// Restore in the next process sets the blocks that have not expired, and returns an error for a malformed file.
func TestBlocksAreRestored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "blocks")
	l, _ := newConnLimiter(t, 3, path)
	if err := l.Restore(); err != nil {
		t.Fatalf("Restore without a file: %v", err)
	}
	long, short := netip.MustParsePrefix("127.0.1.0/24"), netip.MustParsePrefix("127.0.2.0/24")
	for p, duration := range map[netip.Prefix]time.Duration{long: time.Hour, short: time.Nanosecond} {
		if err := l.Block(p, duration); err != nil {
			t.Fatalf("Block(%v, %v): %v", p, duration, err)
		}
	}
	next, _ := newConnLimiter(t, 3, path)
	if err := next.Restore(); err != nil {
		t.Fatalf("Restore in the next process: %v", err)
	}
	if _, reason := next.Arrive(clientAddr(1), &stubConn{}); reason != admission.Blocked {
		t.Errorf("Arrive of a blocked client in the next process: reason %v, want %v", reason, admission.Blocked)
	}
	var notBlocked NotBlockedError
	if err := next.Unblock(short); !errors.As(err, &notBlocked) {
		t.Errorf("Unblock(%v), whose block had expired before Restore, = %v, want NotBlockedError", short, err)
	}
	if err := next.Unblock(long); err != nil {
		t.Errorf("Unblock(%v), whose block was restored: %v", long, err)
	}
	if id, reason := next.Arrive(clientAddr(1), &stubConn{}); id == 0 {
		t.Errorf("Arrive after Unblock was rejected with reason %v, want it admitted", reason)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatalf("writing a malformed blocks file: %v", err)
	}
	if err := next.Restore(); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("Restore of a malformed file returned error %v, want one that contains %s", err, path)
	}
}

// failingListener is a listener whose first calls of Accept fail, because no file descriptor is left unless errno is set.
type failingListener struct {
	net.Listener
	errno    syscall.Errno
	mu       sync.Mutex
	failures int // number of further calls that fail
	calls    int
}

func (s *failingListener) Accept() (net.Conn, error) {
	s.mu.Lock()
	s.calls++
	if s.failures > 0 {
		s.failures--
		s.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", cmp.Or(s.errno, syscall.EMFILE))}
	}
	s.mu.Unlock()
	return s.Listener.Accept()
}

// During a descriptor shortage Accept pauses between attempts and works again after the shortage. It returns other
// errors.
func TestDescriptorShortage(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("net.Listen: %v", err)
	}
	s := &failingListener{Listener: inner, failures: 20}
	l, _ := newConnLimiter(t, 3, "")
	accepting := l.NewListener(s, slog.New(slog.DiscardHandler))
	accepted := make(chan error, 1)
	start := time.Now()
	go func() {
		c, err := accepting.Accept()
		if err == nil {
			err = c.Close()
		}
		accepted <- err
	}()
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	if elapsed := time.Since(start); calls > 2+int(elapsed/acceptRetryInterval) {
		t.Errorf("%d calls of Accept on the wrapped listener in %v, want at most %d",
			calls, elapsed, 2+int(elapsed/acceptRetryInterval))
	}
	for range 40 { // connections during the shortage may be closed; a later one is accepted
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatalf("connecting to the listener: %v", err)
		}
		defer func() { _ = c.Close() }()
		select {
		case err := <-accepted:
			if err != nil {
				t.Fatalf("Accept after the shortage, or closing the accepted connection: %v", err)
			}
			if took := time.Since(start); took < 20*acceptRetryInterval {
				t.Errorf("Accept returned after %v, want at least %v for 20 failures", took, 20*acceptRetryInterval)
			}
			if err := accepting.Close(); err != nil {
				t.Errorf("Close: %v", err)
			}
			if _, err := accepting.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("Accept after Close = %v, want net.ErrClosed", err)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Error("Accept did not return after the shortage, although 40 clients have connected")
}

// Guards against connections being closed because accept failed once although there are descriptors: the requests on their
// way were lost. Neither an idle connection is evicted nor the waiting one rejected.
func TestMomentaryFailureOfAcceptClosesNothing(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatalf("net.Listen: %v", err)
		}
		l := NewListener(&failingListener{Listener: inner, errno: errno, failures: 1}, slog.New(slog.DiscardHandler),
			func() bool { t.Errorf("%v: an idle connection was evicted", errno); return true },
			func() { t.Errorf("%v: the waiting connection was rejected", errno) })
		client, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatalf("connecting to the listener: %v", err)
		}
		c, err := l.Accept()
		if err != nil {
			t.Fatalf("Accept after %v = %v, want a connection", errno, err)
		}
		_, _ = c.Close(), client.Close()
		_ = l.Close()
	}
}

// Guards against a listener that ends for good because of an error that passes: Accept goes on after errors that concern
// resources or the connection that arrived, and returns those of the listening socket.
func TestAcceptGoesOnAfterTransientErrors(t *testing.T) {
	for errno, passes := range map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true,
		syscall.ECONNABORTED: true, syscall.EPERM: true, syscall.ENETDOWN: true, syscall.EHOSTUNREACH: true,
		syscall.EINVAL: false, syscall.EBADF: false, syscall.ENOTSOCK: false,
	} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatalf("net.Listen: %v", err)
		}
		// The spare descriptor could accept the only connection, and close it.
		l := &Listener{
			Listener: &failingListener{Listener: inner, errno: errno, failures: 3}, log: slog.New(slog.DiscardHandler),
			evictIdle: func() bool { return true }, onRejected: func() {},
		}
		client, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatalf("connecting to the listener: %v", err)
		}
		c, err := l.Accept()
		switch {
		case passes && err != nil:
			t.Errorf("Accept after %v = %v, want a connection", errno, err)
		case !passes && !errors.Is(err, errno):
			t.Errorf("Accept after %v = %v, want that error", errno, err)
		}
		if err == nil {
			_ = c.Close()
		}
		_ = client.Close()
		_ = l.Close()
	}
}

// With UseHalf(true) the limit is half of the capacity, also after Reconfigure. Open connections above it stay open.
func TestUseHalf(t *testing.T) {
	l, _ := newConnLimiter(t, 4, "")
	for i := range 4 {
		if id, reason := l.Arrive(clientAddr(i), &stubConn{refuses: true}); id == 0 {
			t.Fatalf("Arrive of connection %d of 4 (limit 4) was rejected with reason %v", i+1, reason)
		}
	}
	f, err := Parse("a.toml", []byte("version = 1\n[connections]\nreserve = 0.5\n"))
	if err != nil {
		t.Fatalf("Parse of a valid file: %v", err)
	}
	if err := errors.Join(l.UseHalf(true), l.Reconfigure(f)); err != nil {
		t.Fatalf("UseHalf(true) and Reconfigure: %v", err)
	}
	if r := l.Report(); r.MaxConns != 2 || r.Open != 4 {
		t.Errorf("after UseHalf(true): %d connections open, MaxConns %d; want 4 open, MaxConns 2", r.Open, r.MaxConns)
	}
	if id, _ := l.Arrive(clientAddr(9), &stubConn{refuses: true}); id != 0 {
		t.Error("Arrive with 4 connections open and MaxConns 2 was admitted, want it rejected")
	}
	if err := l.UseHalf(false); err != nil || l.Report().MaxConns != 4 {
		t.Errorf("UseHalf(false) = %v, and then MaxConns = %d; want nil and 4", err, l.Report().MaxConns)
	}
}
