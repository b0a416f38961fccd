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

// stubBackend is a Backend that records the calls of the methods that change something.
type stubBackend struct {
	mu      sync.Mutex
	serving bool
	calls   []string
}

// rawJSON is a JSON text that is encoded as it is.
type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

func (s *stubBackend) record(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
}
func (s *stubBackend) Serving() bool                 { return s.serving }
func (s *stubBackend) Counters() json.Marshaler      { return rawJSON(`{"in_flight":3}`) }
func (s *stubBackend) StartDraining()                { s.record("lameduck") }
func (s *stubBackend) StopDraining()                 { s.record("rejoin") }
func (s *stubBackend) ReloadRoutes() (string, error) { return "", errors.New("f.toml: line 3:\nbad") }
func (s *stubBackend) Admission() (any, error)       { return map[string]int{"open": 3}, nil }
func (s *stubBackend) Diameter() (any, error)        { return nil, errors.New("no Diameter is spoken") }
func (s *stubBackend) QuotaLeases() (any, error)     { return nil, errors.New("no fleet") }
func (s *stubBackend) Freshness() (any, error)       { return nil, errors.New("no view") }
func (s *stubBackend) ListGuard() (any, error)       { return map[string]int{"servers_kept": 2}, nil }
func (s *stubBackend) Block(prefix string, duration time.Duration) error {
	s.record("block " + prefix + " " + duration.String())
	return nil
}
func (s *stubBackend) Unblock(prefix string) error { return errors.New(prefix + " is not blocked") }
func (s *stubBackend) Detach(id string) error {
	if id != "s-1" {
		return errors.New("no backend of that id was ever listed")
	}
	s.record("detach " + id)
	return nil
}
func (s *stubBackend) Attach(id string) error { s.record("attach " + id); return nil }

// start runs a server for a backend until the test ends, and returns its address.
func start(t *testing.T, backend Backend) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("net.Listen: %v", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s := New(backend, slog.New(slog.DiscardHandler))
	go func() { done <- s.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("Serve returned %v after its context ended, want nil", err)
		}
	})
	return listener.Addr().String()
}

// dial connects to a server until the test ends.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("connecting to the admin server: %v", err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatalf("setting the connection's deadline: %v", err)
	}
	return c
}

// send writes a command line to a server, in one or more pieces, and returns the reply.
func send(t *testing.T, addr string, pieces ...string) string {
	t.Helper()
	c := dial(t, addr)
	for _, piece := range pieces {
		if _, err := io.WriteString(c, piece); err != nil {
			t.Fatalf("writing %.20q to the admin server: %v", piece, err)
		}
	}
	// ENOTCONN: the server has already replied to a line that is too long, and closed the connection.
	if err := c.(*net.TCPConn).CloseWrite(); err != nil && !errors.Is(err, syscall.ENOTCONN) {
		t.Fatalf("closing the write side of the connection: %v", err)
	}
	text, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("reading the admin server's reply: %v", err)
	}
	return string(text)
}

// The server sends the expected reply to each command, and passes valid commands to the backend.
func TestCalls(t *testing.T) {
	backend := &stubBackend{serving: true}
	addr := start(t, backend)
	for _, c := range []struct {
		name, want string
		pieces     []string
	}{
		{"ping", "200 serving\n", []string{"PING\n"}},
		{"carriage return", "200 serving\n", []string{"PING\r\n"}},
		{"in pieces", "200 serving\n", []string{"P", "IN", "G\n"}},
		{"no line feed", "200 serving\n", []string{"PING"}},
		{"info", "{\"in_flight\":3}\nEOF\n", []string{"INFO\n"}},
		{"detach", "200 s-1\n", []string{"DETACH s-1\n"}},
		{"detach an unknown backend", "400 no backend of that id was ever listed\n", []string{"DETACH s-2\n"}},
		{"detach without an ID", "400 DETACH: 0 words behind the call, want 1\n", []string{"DETACH\n"}},
		{"detach with two IDs", "400 DETACH: 2 words behind the call, want 1\n", []string{"DETACH s-1 s-2\n"}},
		{"attach", "200 s-1\n", []string{"ATTACH s-1\n"}},
		{"start draining", "200 draining\n", []string{"LAMEDUCK\n"}},
		{"stop draining", "200 back\n", []string{"REJOIN\n"}},
		{"admission", "{\"open\":3}\nEOF\n", []string{"ADMISSION\n"}},
		{"list guard", "{\"servers_kept\":2}\nEOF\n", []string{"COMEBACK\n"}},
		{"diameter without Diameter peers", "400 no Diameter is spoken\n", []string{"DIAMETER\n"}},
		{"block", "200 10.0.0.0/8\n", []string{"BLOCK 10.0.0.0/8 10m\n"}},
		{
			"block for an invalid duration", "400 BLOCK: \"soon\" is no span of time such as 10m or 2h\n",
			[]string{"BLOCK 10.0.0.0/8 soon\n"},
		},
		{"unblock a prefix that is not blocked", "400 10.0.0.9 is not blocked\n", []string{"UNBLOCK 10.0.0.9\n"}},
		{"reload invalid routes", "400 f.toml: line 3: bad\n", []string{"ROUTES\n"}},
		{"stop draining with an argument", "400 REJOIN: 1 words behind the call, want 0\n", []string{"REJOIN now\n"}},
		{"empty line", "400 the line is empty\n", []string{"\n"}},
		{"no line", "400 no line came\n", nil},
		{
			"line too long", "400 the line is longer than 512 bytes\n",
			[]string{"DETACH " + strings.Repeat("x", maxLineBytes-6)},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := send(t, addr, c.pieces...); got != c.want {
				t.Errorf("reply to %.40q = %q, want %q", c.pieces, got, c.want)
			}
		})
	}
	if got := send(t, addr, "STOP\n"); !strings.HasPrefix(got, "400 unknown call") {
		t.Errorf("reply to the unknown command STOP = %q, want prefix \"400 unknown call\"", got)
	}
	want := "detach s-1,attach s-1,lameduck,rejoin,block 10.0.0.0/8 10m0s"
	if got := strings.Join(backend.calls, ","); got != want {
		t.Errorf("calls of the backend = %q, want %q", got, want)
	}
}

// Before the proxy serves, PING gets an error reply.
func TestNotServingYet(t *testing.T) {
	if got := send(t, start(t, &stubBackend{}), "PING\n"); got != "400 not serving yet\n" {
		t.Errorf("reply to PING before the proxy serves = %q, want \"400 not serving yet\\n\"", got)
	}
}

// Clients that connect and send nothing reach the limit for silent connections. Later clients still get a reply, and
// the oldest silent connection is closed.
func TestSilentCallersKeepNobodyWaiting(t *testing.T) {
	addr := start(t, &stubBackend{serving: true})
	first := dial(t, addr)
	for range 3 * maxSilentConnections {
		dial(t, addr)
	}
	if got := send(t, addr, "PING\n"); got != "200 serving\n" {
		t.Fatalf("reply to PING after %d silent connections = %q, want \"200 serving\\n\"",
			3*maxSilentConnections+1, got)
	}
	if _, err := io.ReadAll(first); errors.Is(err, context.DeadlineExceeded) {
		t.Error("reading from the oldest silent connection timed out, want it closed by the server")
	}
}
