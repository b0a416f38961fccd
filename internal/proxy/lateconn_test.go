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
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	tcpFinWait2 = 5 // the peer's system has acknowledged the close; see tcp_states.h of Linux
	longBody    = 100_000
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
			acknowledged = err == nil && info.State == tcpFinWait2
		})
		return acknowledged
	})
}

// Guards against a request being begun whose client has left: nobody reads a client's connection while the rest of a
// long body waits for the connection to a backend, so the client's close behind it was not seen.
func TestNothingBeginsForClientThatLeftBehindItsBody(t *testing.T) {
	for name, part := range map[string]int{"whole body": longBody, "part of the body": longBody - 1} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				received := make(chan int64, 1)
				addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
					n, _ := io.Copy(io.Discard, in)
					received <- n
				})
				p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), func(c *Config) {
					c.Decision.Capabilities.ConnectTimeout = patience
				})
				pool := p.onlyPool(t)
				dialing, connect := make(chan bool, 8), make(chan bool)
				pool.mu.Lock()
				pool.dialer = func(_ context.Context, network, addr string) (net.Conn, error) {
					dialing <- true
					<-connect
					return net.Dial(network, addr)
				}
				pool.mu.Unlock()
				nc, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
				}
				client := nc.(*net.TCPConn)
				_, _ = fmt.Fprintf(client, "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: s%d\r\nX-Priority-Class: hand-in\r\n"+
					"X-Timeout-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", lastRequestID.Add(1), longBody, strings.Repeat("x", part))
				within(t, dialing, "the pool did not dial the backend")
				leaveSeen(t, client)
				if reset {
					_ = client.SetLinger(0)
				}
				_ = client.Close()
				close(connect)
				if n := within(t, received, "the backend connection stayed open"); n != 0 {
					t.Errorf("the backend got %d bytes of a request whose client had left, want 0", n)
				}
				p.waitForInFlight(t, 0)
			})
		}
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
