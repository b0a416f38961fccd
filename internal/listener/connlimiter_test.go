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
	for text, want := range map[string]string{
		"version = 2":                                                                       "version: 2",
		"version = 1\n[connections]\nplace = 4":                                             `a.toml:3: unknown key "connections.place"`,
		"version = 1\n[connections]\nreserve = 2.0":                                         "connections: reserve: 2",
		"version = 1\n[connections]\ngrace = \"soon\"":                                      "a.toml:3",
		"version = 1\n[connections]\nknown = [\"here\"]":                                    `connections: known[0]: "here" is no address`,
		"version = 1\n[requests]\nin_hand = 0":                                              "requests: in_hand: 0",
		"version = 1\n[requests]\nin_hand = 9\nadaptive = true":                             "requests: least: 0",
		"version = 1\n[connections]\nrate = 0.0\n[requests]\nin_hand = 9\nper_tenant = 2.0": "rate: 0",
	} {
		if _, err := Parse("a.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	f, err := Parse("a.toml", []byte("version = 1\n[connections]\nplaces = 9000\nknown = [\"127.0.0.0/8\", \"::1\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := f.Settings(Capacity{Conns: 600}, 1); err != nil || s.MaxConns != 600 || len(s.KnownPrefixes) != 2 {
		t.Errorf("%+v, %v", s, err) // never more than the process has
	}
}

// stub is a connection that may be closed, or not.
type stub struct {
	mu     sync.Mutex
	closed bool
	stays  bool
	gone   func()
}

func (s *stub) Evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stays || s.closed {
		return false
	}
	s.closed = true
	s.gone()
	return true
}

func testDoor(t *testing.T, places int, path string) (*ConnLimiter, *time.Duration) {
	t.Helper()
	f, err := Parse("a.toml", []byte("version = 1\n[connections]\nreserve = 0.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	now := new(time.Duration)
	d, err := New(f, Capacity{Conns: places}, 1, func() time.Duration { return *now }, path)
	if err != nil {
		t.Fatal(err)
	}
	return d, now
}

func from(last int) net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(last)), Port: 1} }

// One that must not be closed is passed over; what the door has closed is counted once, whoever tells of it first.
func TestWhoMustNotBeClosedIsPassedOver(t *testing.T) {
	d, now := testDoor(t, 3, "")
	var all []*stub
	for i := range 3 {
		s := &stub{stays: i == 0}
		id, _ := d.Arrive(from(i), s)
		s.gone = func() { d.Remove(id) }
		all = append(all, s)
		*now += time.Second
	}
	if id, why := d.Arrive(from(9), &stub{stays: true}); id == 0 {
		t.Fatalf("turned away: %v", why)
	}
	if all[0].closed || !all[1].closed || all[2].closed {
		t.Errorf("closed: %v %v %v", all[0].closed, all[1].closed, all[2].closed)
	}
	r := d.Report()
	if r.Open != 3 || r.Rejected["room"] != 1 || r.Counts.Spared != 1 {
		t.Errorf("%+v", r)
	}
	for _, s := range all {
		s.stays = true
	}
	*now += time.Second
	if id, why := d.Arrive(from(10), &stub{}); id != 0 && why == admission.NoCapacity {
		t.Errorf("%v %v", id, why)
	}
}

// Blocks outlive the process; those that have run out do not, and a broken file is told.
func TestBlocksOutliveTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "blocks")
	d, _ := testDoor(t, 3, path)
	if err := d.Restore(); err != nil {
		t.Fatal(err)
	}
	long, short := netip.MustParsePrefix("127.0.1.0/24"), netip.MustParsePrefix("127.0.2.0/24")
	for p, span := range map[netip.Prefix]time.Duration{long: time.Hour, short: time.Nanosecond} {
		if err := d.Block(p, span); err != nil {
			t.Fatal(err)
		}
	}
	next, _ := testDoor(t, 3, path)
	if err := next.Restore(); err != nil {
		t.Fatal(err)
	}
	if _, why := next.Arrive(from(1), &stub{}); why != admission.Blocked {
		t.Errorf("in the next process: %v", why)
	}
	if err := next.Unblock(short); err == nil {
		t.Error("a block that had run out is there")
	}
	if err := next.Unblock(long); err != nil {
		t.Error(err)
	}
	if id, why := next.Arrive(from(1), &stub{}); id == 0 {
		t.Errorf("unblocked: %v", why)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := next.Restore(); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("a broken file: %v", err)
	}
}

// short is a listener whose process has no descriptor left for a while.
type short struct {
	net.Listener
	mu    sync.Mutex
	left  int
	calls int
}

func (s *short) Accept() (net.Conn, error) {
	s.mu.Lock()
	s.calls++
	if s.left > 0 {
		s.left--
		s.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	s.mu.Unlock()
	return s.Listener.Accept()
}

// Without descriptors accepting neither spins nor stops for good, and other errors are told.
func TestNoDescriptorIsLeft(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &short{Listener: inner, left: 20}
	d, _ := testDoor(t, 3, "")
	l := d.NewListener(s, slog.New(slog.DiscardHandler))
	came := make(chan error, 1)
	began := time.Now()
	go func() {
		c, err := l.Accept()
		if err == nil {
			c.Close()
		}
		came <- err
	}()
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	if passed := time.Since(began); calls > 2+int(passed/acceptRetryInterval) {
		t.Errorf("%d calls in %v: it spins", calls, passed)
	}
	for range 40 { // those that come meanwhile may be closed; one that comes later is taken
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		select {
		case err := <-came:
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took < 20*acceptRetryInterval {
				t.Errorf("taken after %v", took)
			}
			l.Close()
			if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("after its end: %v", err)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Error("nobody is taken any more")
}

// While two processes share the limits each keeps to half, also through a change; whom it holds beyond that it keeps.
func TestHalfOfTheRoom(t *testing.T) {
	d, _ := testDoor(t, 4, "")
	for i := range 4 {
		if id, why := d.Arrive(from(i), &stub{stays: true}); id == 0 {
			t.Fatalf("turned away: %v", why)
		}
	}
	f, err := Parse("a.toml", []byte("version = 1\n[connections]\nreserve = 0.5\n"))
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(d.UseHalf(true), d.Reconfigure(f)); err != nil {
		t.Fatal(err)
	}
	if r := d.Report(); r.MaxConns != 2 || r.Open != 4 {
		t.Errorf("%d of %d places", r.Open, r.MaxConns)
	}
	if id, _ := d.Arrive(from(9), &stub{stays: true}); id != 0 {
		t.Error("one more is taken")
	}
	if err := d.UseHalf(false); err != nil || d.Report().MaxConns != 4 {
		t.Errorf("%v, %d places", err, d.Report().MaxConns)
	}
}
