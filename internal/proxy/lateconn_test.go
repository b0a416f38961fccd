package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	tcpFinWait1 = 4 // the peer's system has not acknowledged the close; see tcp_states.h of Linux
	longBody    = 100_000
	hugeBody    = 4_000_000 // does not fit into the proxy's receive buffer

	enoughMemoryMB = 192
	littleMemoryMB = 32 // a half of what is held for peers is less than hugeBody
)

// leaveSeen closes a client's write side, and waits until the proxy's system has acknowledged that.
func leaveSeen(t *testing.T, c *net.TCPConn) {
	t.Helper()
	if err := c.CloseWrite(); err != nil {
		t.Fatalf("closing the client's write side: %v", err)
	}
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatalf("the client's socket: %v", err)
	}
	eventually(t, "the proxy's system did not acknowledge the client's close", func() bool {
		acknowledged := false
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), syscall.IPPROTO_TCP, unix.TCP_INFO)
			acknowledged = err == nil && info.State != tcpFinWait1
		})
		return acknowledged
	})
}

// Guards against a request being begun whose client has left: nobody reads a client's connection while the rest of a
// long body waits for the connection to a backend, so the client's close behind it was not seen, or did not even arrive.
func TestNothingBeginsForClientThatLeftBehindItsBody(t *testing.T) {
	for name, c := range map[string]struct {
		length, sent int
		chunked      bool
		reset        bool
	}{
		"whole body":                          {longBody, longBody, false, false},
		"whole body, reset":                   {longBody, longBody, false, true},
		"part of the body":                    {longBody, longBody - 1, false, false},
		"part of the body, reset":             {longBody, longBody - 1, false, true},
		"chunk":                               {longBody, longBody, true, false},
		"body larger than the buffers":        {hugeBody, hugeBody, false, false},
		"chunk larger than the buffers":       {hugeBody, hugeBody, true, false},
		"most of one larger than the buffers": {hugeBody, hugeBody - 1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan int64, 1)
			addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
				n, _ := io.Copy(io.Discard, in)
				received <- n
			})
			p, dialing, connect := startWithLateConnection(t, addr, enoughMemoryMB)
			nc, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
			}
			client := nc.(*net.TCPConn)
			sendLongRequest(client, c.length, c.sent, c.chunked)
			within(t, dialing, "the pool did not dial the backend")
			leaveSeen(t, client)
			if c.reset {
				_ = client.SetLinger(0)
			}
			_ = client.Close()
			connect()
			if n := within(t, received, "the backend connection stayed open"); n != 0 {
				t.Errorf("the backend got %d bytes of a request whose client had left, want 0", n)
			}
			p.waitForInFlight(t, 0)
		})
	}
}

// startWithLateConnection starts a proxy whose connections to its backend come up once connect is called. dialing gets a
// value for each that is begun.
func startWithLateConnection(t *testing.T, addr string, memoryMB int) (p *running, dialing <-chan bool, connect func()) {
	t.Helper()
	p = startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), func(c *Config) {
		c.Decision.Capabilities.ConnectTimeout = patience
		c.MemoryMB = memoryMB
	})
	begun, proceed := make(chan bool, 8), make(chan bool)
	connect = sync.OnceFunc(func() { close(proceed) })
	t.Cleanup(connect) // before that of the proxy, which waits for its dials
	pool := p.onlyPool(t)
	pool.mu.Lock()
	pool.dialer = func(_ context.Context, network, addr string) (net.Conn, error) {
		begun <- true
		<-proceed
		return net.Dial(network, addr)
	}
	pool.mu.Unlock()
	return p, begun, connect
}

// sendLongRequest sends a request with so many bytes of its body, which is one chunk or has a length.
func sendLongRequest(client net.Conn, length, sent int, chunked bool) {
	framing, start, end := fmt.Sprintf("Content-Length: %d", length), "", ""
	if chunked {
		framing, start, end = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", length), "\r\n0\r\n\r\n"
	}
	_, _ = fmt.Fprintf(client, "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: s%d\r\nX-Priority-Class: hand-in\r\n"+
		"X-Timeout-Ms: 60000\r\n%s\r\n\r\n%s%s%s", lastRequestID.Add(1), framing, start, strings.Repeat("x", sent), end)
}

// Guards against a request being begun of which it can't be known whether its client has left: there is no memory to read
// what may lie before the client's close. Such a request is rejected, and has not run.
func TestLongWaitWithoutMemoryToReadAheadIsRejected(t *testing.T) {
	received := make(chan int64, 1)
	addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		n, _ := io.Copy(io.Discard, in)
		received <- n
	})
	p, dialing, connect := startWithLateConnection(t, addr, littleMemoryMB)
	nc, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
	}
	defer func() { _ = nc.Close() }()
	go sendLongRequest(nc, 2*hugeBody, 2*hugeBody, false)
	within(t, dialing, "the pool did not dial the backend")
	mustRespond(t, 503)(readFinalResponse(bufio.NewReader(nc)))
	connect()
	if n := within(t, received, "the backend connection stayed open"); n != 0 {
		t.Errorf("the backend got %d bytes of a rejected request, want 0", n)
	}
}

// A body that was read ahead reaches the backend whole, and can be sent again if a connection fails.
func TestBodyThatWasReadAheadIsSent(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			t.Parallel()
			got := make(chan *http.Request, 1)
			p, dialing, connect := startWithLateConnection(t, countingBackend(t, got), enoughMemoryMB)
			nc, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
			}
			defer func() { _ = nc.Close() }()
			sendLongRequest(nc, hugeBody, hugeBody, chunked) // returns once the proxy has read most of it
			within(t, dialing, "the pool did not dial the backend")
			p.waitForInFlight(t, 1) // the whole body was read
			connect()
			request := within(t, got, "the backend got no request")
			body, err := io.ReadAll(request.Body)
			if err != nil || string(body) != strings.Repeat("x", hugeBody) {
				t.Errorf("the backend got a body of %d bytes, error %v; want the client's %d bytes", len(body), err, hugeBody)
			}
			mustRespond(t, 200)(readFinalResponse(bufio.NewReader(nc)))
		})
	}
}

// Guards against a backend being told more time than the client has left: the time in which the connection came up was
// not subtracted.
func TestTimeoutIsWhatIsLeftOnceTheConnectionIsUp(t *testing.T) {
	const timeout, connectTime = 3 * time.Second, time.Second
	got := make(chan *http.Request, 1)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), func(c *Config) {
		c.Decision.Capabilities.ConnectTimeout = patience
	})
	pool := p.onlyPool(t)
	pool.mu.Lock()
	dial := pool.dialer
	pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(connectTime)
		return dial(ctx, network, addr)
	}
	pool.mu.Unlock()
	mustRespond(t, 200)(p.request(t, "hand-in", int(timeout.Milliseconds()), ""))
	request := within(t, got, "the backend got no request")
	told, err := strconv.Atoi(request.Header.Get("X-Timeout-Ms"))
	if most := (timeout - connectTime).Milliseconds(); err != nil || int64(told) > most {
		t.Errorf("X-Timeout-Ms is %d, error %v; want at most %d", told, err, most)
	}
}
