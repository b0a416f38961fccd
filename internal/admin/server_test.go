package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

type stub struct {
	mu      sync.Mutex
	serving bool
	calls   []string
}

type raw string

func (r raw) MarshalJSON() ([]byte, error) { return []byte(r), nil }

func (s *stub) note(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
}
func (s *stub) Serving() bool                 { return s.serving }
func (s *stub) Counters() json.Marshaler      { return raw(`{"in_flight":3}`) }
func (s *stub) StartDraining()                { s.note("lameduck") }
func (s *stub) StopDraining()                 { s.note("rejoin") }
func (s *stub) ReloadRoutes() (string, error) { return "", errors.New("f.toml: line 3:\nbad") }
func (s *stub) Admission() (any, error)       { return map[string]int{"open": 3}, nil }
func (s *stub) Diameter() (any, error)        { return nil, errors.New("no Diameter is spoken") }
func (s *stub) QuotaLeases() (any, error)     { return nil, errors.New("no fleet") }
func (s *stub) Freshness() (any, error)       { return nil, errors.New("no view") }
func (s *stub) ListGuard() (any, error)       { return map[string]int{"servers_kept": 2}, nil }
func (s *stub) Block(prefix string, span time.Duration) error {
	s.note("block " + prefix + " " + span.String())
	return nil
}
func (s *stub) Unblock(prefix string) error { return errors.New(prefix + " is not blocked") }
func (s *stub) Detach(id string) error {
	if id != "s-1" {
		return errors.New("no backend of that id was ever listed")
	}
	s.note("detach " + id)
	return nil
}
func (s *stub) Attach(id string) error { s.note("attach " + id); return nil }

func start(t *testing.T, p Backend) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s := New(p, slog.New(slog.DiscardHandler))
	go func() { done <- s.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return listener.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

func call(t *testing.T, addr string, pieces ...string) string {
	t.Helper()
	c := dial(t, addr)
	for _, p := range pieces {
		if _, err := io.WriteString(c, p); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil && !errors.Is(err, syscall.ENOTCONN) {
		t.Fatal(err) // not connected: the server has replied to a line that is too long and closed
	}
	text, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestCalls(t *testing.T) {
	p := &stub{serving: true}
	addr := start(t, p)
	for _, c := range []struct {
		name, want string
		pieces     []string
	}{
		{"ping", "200 serving\n", []string{"PING\n"}},
		{"carriage return", "200 serving\n", []string{"PING\r\n"}},
		{"in pieces", "200 serving\n", []string{"P", "IN", "G\n"}},
		{"no line feed", "200 serving\n", []string{"PING"}},
		{"info", "{\"in_flight\":3}\nEOF\n", []string{"INFO\n"}},
		{"out", "200 s-1\n", []string{"DETACH s-1\n"}},
		{"out, never listed", "400 no backend of that id was ever listed\n", []string{"DETACH s-2\n"}},
		{"out, no id", "400 DETACH: 0 words behind the call, want 1\n", []string{"DETACH\n"}},
		{"out, two ids", "400 DETACH: 2 words behind the call, want 1\n", []string{"DETACH s-1 s-2\n"}},
		{"back", "200 s-1\n", []string{"ATTACH s-1\n"}},
		{"lame duck", "200 draining\n", []string{"LAMEDUCK\n"}},
		{"rejoin", "200 back\n", []string{"REJOIN\n"}},
		{"admission", "{\"open\":3}\nEOF\n", []string{"ADMISSION\n"}},
		{"comeback", "{\"servers_kept\":2}\nEOF\n", []string{"COMEBACK\n"}},
		{"diameter, off", "400 no Diameter is spoken\n", []string{"DIAMETER\n"}},
		{"block", "200 10.0.0.0/8\n", []string{"BLOCK 10.0.0.0/8 10m\n"}},
		{"block for a while", "400 BLOCK: \"soon\" is no span of time such as 10m or 2h\n", []string{"BLOCK 10.0.0.0/8 soon\n"}},
		{"unblock", "400 10.0.0.9 is not blocked\n", []string{"UNBLOCK 10.0.0.9\n"}},
		{"routes that are bad", "400 f.toml: line 3: bad\n", []string{"ROUTES\n"}},
		{"rejoin with words", "400 REJOIN: 1 words behind the call, want 0\n", []string{"REJOIN now\n"}},
		{"empty", "400 the line is empty\n", []string{"\n"}},
		{"nothing", "400 no line came\n", nil},
		{"too long", "400 the line is longer than 512 bytes\n", []string{"DETACH " + strings.Repeat("x", maxLineBytes-6)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := call(t, addr, c.pieces...); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
	if got := call(t, addr, "STOP\n"); !strings.HasPrefix(got, "400 unknown call") {
		t.Errorf("unknown call: %q", got)
	}
	want := "detach s-1,attach s-1,lameduck,rejoin,block 10.0.0.0/8 10m0s"
	if got := strings.Join(p.calls, ","); got != want {
		t.Errorf("carried out %q, want %q", got, want)
	}
}

func TestNotServingYet(t *testing.T) {
	if got := call(t, start(t, &stub{}), "PING\n"); got != "400 not serving yet\n" {
		t.Errorf("got %q", got)
	}
}

// Callers that say nothing fill all places; those that come after them are answered all the same, and the
// oldest of the silent ones has to go.
func TestSilentCallersKeepNobodyWaiting(t *testing.T) {
	addr := start(t, &stub{serving: true})
	first := dial(t, addr)
	for range 3 * maxSilentConnections {
		dial(t, addr)
	}
	if got := call(t, addr, "PING\n"); got != "200 serving\n" {
		t.Fatalf("got %q", got)
	}
	if _, err := io.ReadAll(first); errors.Is(err, context.DeadlineExceeded) {
		t.Error("the oldest silent caller still has its place")
	}
}
