package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/engine"
)

// An empty socket shows that the client has not finished, unless the receive buffer may have been full shortly before.
func TestArrivalTracker(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		record func(a *arrivalTracker)
		want   int // ms; of lastIncomplete at 100 ms
	}{
		"still waiting":                     {func(a *arrivalTracker) { a.foundEmpty(at(10)) }, 100},
		"bytes came after a wait":           {func(a *arrivalTracker) { a.foundEmpty(at(10)); a.foundBytes(at(30), 5, 9) }, 30},
		"more may be waiting":               {func(a *arrivalTracker) { a.foundEmpty(at(10)); a.foundBytes(at(30), 9, 9) }, 30},
		"the buffer was full, then drained": {func(a *arrivalTracker) { fill(a, at); a.foundBytes(at(51), 1, 9) }, 30},
		"empty right after a full buffer":   {func(a *arrivalTracker) { fill(a, at); a.foundEmpty(at(51)); a.foundBytes(at(52), 9, 9) }, 30},
		"empty for long after a full buffer": {
			func(a *arrivalTracker) { fill(a, at); a.foundEmpty(at(51)); a.foundBytes(at(70), 9, 9) }, 70},
	} {
		a := &arrivalTracker{}
		c.record(a)
		if got := a.lastIncomplete(at(100)).Sub(start); got != time.Duration(c.want)*time.Millisecond {
			t.Errorf("%s: last known incomplete at %v, want %d ms", name, got, c.want)
		}
	}
}

// fill records a wait that ends at 30 ms and a read of a full buffer at 50 ms.
func fill(a *arrivalTracker, at func(ms int) time.Time) {
	a.foundEmpty(at(10))
	a.foundBytes(at(30), 1, 9)
	a.foundBytes(at(50), 9, 9)
}

// scriptedArrival is a clientState with fixed values.
type scriptedArrival struct {
	emptyUntil  time.Time
	unreadBytes int64
	left        bool
}

func (s scriptedArrival) incompleteAt() time.Time { return s.emptyUntil }
func (s scriptedArrival) unread() int64           { return s.unreadBytes }
func (s scriptedArrival) Left() bool              { return s.left }
func (s scriptedArrival) foundNothing()           {}
func (s scriptedArrival) hasWholeRequest() bool   { return false }

// While more of a body is missing than two systems hold, its client has not finished, whatever the socket shows.
func TestUploadIsIncompleteWhileMuchIsMissing(t *testing.T) {
	hourAgo := time.Now().Add(-time.Hour)
	for name, c := range map[string]struct {
		length int64
		moves  bool // the body is known to be incomplete now
	}{
		"the rest may be in the client's system": {maxBufferedBody + 1000 + peerSendBuffer, false},
		"more is missing than fits there":        {maxBufferedBody + 1000 + peerSendBuffer + 1, true},
		"unknown length":                         {-1, false},
	} {
		u := testUpload()
		u.clock = engine.NewClock()
		u.length = c.length
		u.readBytes.Store(maxBufferedBody)
		u.arrival = scriptedArrival{hourAgo, 1000, false}
		if moved := u.IncompleteAt() > u.clock.At(hourAgo); moved != c.moves {
			t.Errorf("%s: known to be incomplete now: %v, want %v", name, moved, c.moves)
		}
	}
}

// Nothing more is read of a body whose client has left, so that its request can't have run. A body that was read to its
// end stays complete.
func TestUploadOfAClientThatLeftIsCut(t *testing.T) {
	for _, complete := range []bool{false, true} {
		u := testUpload()
		u.arrival = scriptedArrival{left: true}
		u.remainder = readerFunc(func([]byte) (int, error) {
			t.Error("the rest of the body was read after the client had left")
			return 0, io.EOF
		})
		want := errClientLeft
		if complete {
			u.state.Store(uploadComplete)
			want = io.EOF
		}
		if _, err := u.readFrom(maxBufferedBody, make([]byte, 10)); !errors.Is(err, want) || u.isComplete() != complete {
			t.Errorf("readFrom() = %v, complete %v; want %v, %v", err, u.isComplete(), want, complete)
		}
	}
}

// An upload that was cut never passes its last bytes on, so that its request can't have run; one whose last bytes were
// read can't be cut.
func TestCutUploadStaysIncomplete(t *testing.T) {
	u := testUpload()
	rest := u.remainder
	u.remainder = readerFunc(func(p []byte) (int, error) {
		if !u.Cut() {
			t.Error("Cut() during the last read = false, want true")
		}
		n, _ := rest.Read(p)
		return n, io.EOF
	})
	if n, err := u.readRemainder(make([]byte, 9)); n != 0 || !errors.Is(err, errAbandoned) {
		t.Errorf("reading a cut upload = %d, %v, want 0, %v", n, err, errAbandoned)
	}
	u = testUpload()
	u.remainder = readerFunc(func(p []byte) (int, error) { return copy(p, "rest"), io.EOF })
	if n, err := u.readRemainder(make([]byte, 9)); n != 4 || !errors.Is(err, io.EOF) {
		t.Fatalf("reading the last bytes = %d, %v, want 4, EOF", n, err)
	}
	if u.Cut() || !u.stop() {
		t.Error("a complete upload was cut")
	}
}

// stallingBackend starts a backend that accepts connections and reads nothing until release is closed.
func stallingBackend(t *testing.T, release <-chan bool) string {
	return rawBackend(t, func(int, net.Conn, *bufio.Reader) { <-release })
}

// Guards against answers that come 10 s late, or never, when a backend takes connections and reads nothing: the bound on
// a backend that stalls must not be what ends a request whose client has written its last byte. Here that bound is an
// hour.
func TestStalledUploadIsAnsweredAtItsDeadline(t *testing.T) {
	const length = 2 << 20
	body := strings.Repeat("x", length)
	for name, framedBody := range map[string]string{
		"Content-Length": "Content-Length: 2097152\r\n\r\n" + body,
		"chunked":        "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + body + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan bool)
			defer close(release)
			addr := stallingBackend(t, release)
			p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
			pool := p.onlyPool(t)
			pool.sendLimit.Interval = time.Hour
			dialThrough(pool, func(c *net.TCPConn) net.Conn {
				_ = c.SetWriteBuffer(maxBufferedBody)
				return c
			})
			client, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatalf("connecting to the proxy: %v", err)
			}
			defer func() { _ = client.Close() }()
			go func() {
				_, _ = io.WriteString(client, "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: stalled-"+name+
					"\r\nX-Priority-Class: hand-in\r\nX-Timeout-Ms: 200\r\n"+framedBody)
			}()
			_ = client.SetReadDeadline(time.Now().Add(patience))
			resp, _, err := readFinalResponse(bufio.NewReader(client))
			if err != nil || resp.StatusCode != 503 && resp.StatusCode != 504 {
				t.Errorf("response to a body that its backend does not read: %+v, %v, want status 503 or 504", resp, err)
			}
		})
	}
}
