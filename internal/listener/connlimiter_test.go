package listener

import (
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

func TestFiles(t *testing.T) {
	if f, err := Load(filepath.Join("..", "..", "deploy", "admission.toml")); err != nil || f.Requests != nil {
		t.Errorf("the example: %+v, %v", f, err)
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
			t.Errorf("%q: %v", text, err)
		}
	}
	f, err := Parse("a.toml", []byte(connections+"places = 9000\nknown = [\"127.0.0.0/8\", \"::1\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := f.Settings(Capacity{Conns: 600}, 1); err != nil || s.MaxConns != 600 || len(s.KnownPrefixes) != 2 {
		t.Errorf("%+v, %v; want no more connections than the process has", s, err)
	}
}

// stub is a connection that can be evicted, or refuses.
type stub struct {
	mu       sync.Mutex
	closed   bool
	refuses  bool
	onClosed func()
}

func (s *stub) Evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses || s.closed {
		return false
	}
	s.closed = true
	s.onClosed()
	return true
}

// newConnLimiter returns a limiter without a reserve, and its clock.
func newConnLimiter(t *testing.T, maxConns int, blocksPath string) (*ConnLimiter, *time.Duration) {
	t.Helper()
	f, err := Parse("a.toml", []byte("version = 1\n[connections]\nreserve = 0.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	now := new(time.Duration)
	l, err := New(f, Capacity{Conns: maxConns}, 1, func() time.Duration { return *now }, blocksPath)
	if err != nil {
		t.Fatal(err)
	}
	return l, now
}

func from(last int) net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(last)), Port: 1} }

// A connection that refuses its eviction is passed over. One that is evicted is counted once, whoever removes it first.
func TestRefusedEvictionIsPassedOver(t *testing.T) {
	l, now := newConnLimiter(t, 3, "")
	var stubs []*stub
	for i := range 3 {
		s := &stub{refuses: i == 0}
		id, _ := l.Arrive(from(i), s)
		s.onClosed = func() { l.Remove(id) }
		stubs = append(stubs, s)
		*now += time.Second
	}
	if id, reason := l.Arrive(from(9), &stub{refuses: true}); id == 0 {
		t.Fatalf("rejected: %v", reason)
	}
	if stubs[0].closed || !stubs[1].closed || stubs[2].closed {
		t.Errorf("closed: %v %v %v", stubs[0].closed, stubs[1].closed, stubs[2].closed)
	}
	r := l.Report()
	if r.Open != 3 || r.Rejected["room"] != 1 || r.Counts.Spared != 1 {
		t.Errorf("%+v", r)
	}
	for _, s := range stubs {
		s.refuses = true
	}
	*now += time.Second
	if id, reason := l.Arrive(from(10), &stub{}); id != 0 && reason == admission.NoCapacity {
		t.Errorf("%v %v", id, reason)
	}
}

// The next process restores the blocks that have not expired, and reports a damaged file.
func TestBlocksAreRestored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "blocks")
	l, _ := newConnLimiter(t, 3, path)
	if err := l.Restore(); err != nil {
		t.Fatal(err)
	}
	long, short := netip.MustParsePrefix("127.0.1.0/24"), netip.MustParsePrefix("127.0.2.0/24")
	for p, span := range map[netip.Prefix]time.Duration{long: time.Hour, short: time.Nanosecond} {
		if err := l.Block(p, span); err != nil {
			t.Fatal(err)
		}
	}
	next, _ := newConnLimiter(t, 3, path)
	if err := next.Restore(); err != nil {
		t.Fatal(err)
	}
	if _, reason := next.Arrive(from(1), &stub{}); reason != admission.Blocked {
		t.Errorf("in the next process: %v", reason)
	}
	var notBlocked NotBlockedError
	if err := next.Unblock(short); !errors.As(err, &notBlocked) {
		t.Error("an expired block was restored")
	}
	if err := next.Unblock(long); err != nil {
		t.Error(err)
	}
	if id, reason := next.Arrive(from(1), &stub{}); id == 0 {
		t.Errorf("unblocked: %v", reason)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := next.Restore(); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("a damaged file: %v", err)
	}
}

// shortListener is a listener whose first accepts fail for want of a descriptor.
type shortListener struct {
	net.Listener
	mu       sync.Mutex
	failures int // left
	calls    int
}

func (s *shortListener) Accept() (net.Conn, error) {
	s.mu.Lock()
	s.calls++
	if s.failures > 0 {
		s.failures--
		s.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	s.mu.Unlock()
	return s.Listener.Accept()
}

// Without descriptors Accept neither spins nor stops for good, and it returns other errors.
func TestDescriptorShortage(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &shortListener{Listener: inner, failures: 20}
	l, _ := newConnLimiter(t, 3, "")
	accepting := l.NewListener(s, slog.New(slog.DiscardHandler))
	accepted := make(chan error, 1)
	began := time.Now()
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
	if passed := time.Since(began); calls > 2+int(passed/acceptRetryInterval) {
		t.Errorf("%d calls in %v: it spins", calls, passed)
	}
	for range 40 { // connections during the shortage may be closed; a later one is accepted
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		select {
		case err := <-accepted:
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took < 20*acceptRetryInterval {
				t.Errorf("accepted after %v", took)
			}
			if err := accepting.Close(); err != nil {
				t.Error(err)
			}
			if _, err := accepting.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("after Close: %v", err)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Error("no connection is accepted any more")
}

// While two processes share the limits each keeps to half, also after Reconfigure. Connections beyond that go on.
func TestUseHalf(t *testing.T) {
	l, _ := newConnLimiter(t, 4, "")
	for i := range 4 {
		if id, reason := l.Arrive(from(i), &stub{refuses: true}); id == 0 {
			t.Fatalf("rejected: %v", reason)
		}
	}
	f, err := Parse("a.toml", []byte("version = 1\n[connections]\nreserve = 0.5\n"))
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(l.UseHalf(true), l.Reconfigure(f)); err != nil {
		t.Fatal(err)
	}
	if r := l.Report(); r.MaxConns != 2 || r.Open != 4 {
		t.Errorf("%d of %d connections", r.Open, r.MaxConns)
	}
	if id, _ := l.Arrive(from(9), &stub{refuses: true}); id != 0 {
		t.Error("one more is admitted")
	}
	if err := l.UseHalf(false); err != nil || l.Report().MaxConns != 4 {
		t.Errorf("%v, %d connections", err, l.Report().MaxConns)
	}
}
