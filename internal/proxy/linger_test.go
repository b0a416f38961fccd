package proxy

import (
	"bufio"
	"io"
	"lapisspread/internal/proxy/rawsocket"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// connWithUnreadBytes returns a connection on which response has been written and the client has sent unread bytes
// after its first request. A long response does not fit into the client socket's receive buffer.
func connWithUnreadBytes(t *testing.T, conns *clientConns, response string) (client net.Conn, c *clientConn) {
	t.Helper()
	client, c = clientPair(t, conns)
	_ = client.(*net.TCPConn).SetReadBuffer(64 << 10)
	const request = "GET / HTTP/1.1\r\n\r\n"
	_, _ = io.WriteString(client, request+smuggledRequest)
	if _, err := io.ReadFull(c, make([]byte, len(request))); err != nil {
		t.Fatalf("reading the first request: %v", err)
	}
	_ = c.Conn.(*net.TCPConn).SetWriteBuffer(1 << 20)
	if _, err := io.WriteString(c, response); err != nil {
		t.Fatalf("writing the response: %v", err)
	}
	_, _ = io.WriteString(client, smuggledRequest) // so that the socket itself has unread bytes
	eventually(t, "the pipelined request did not arrive at the socket", func() bool { return !rawsocket.Silent(c.Conn) })
	return client, c
}

// When a connection with unread bytes is closed, the client still gets its last response completely, and then EOF. The
// lingering connection can be evicted for a new client at once.
func TestCloseWithUnreadBytesLosesNoResponse(t *testing.T) {
	response := strings.Repeat("0123456789abcdef", 16<<10)
	conns := newClientConns(4)
	conns.lingerTimeout = patience
	client, c := connWithUnreadBytes(t, conns, response)
	_ = c.Close()
	_ = client.SetReadDeadline(time.Now().Add(patience))
	if got, err := io.ReadAll(client); err != nil || string(got) != response {
		t.Errorf("the client read %d of the response's %d bytes, error %v; want all of them", len(got), len(response), err)
	}
	if !conns.open[c] {
		t.Error("the lingering connection was removed from the registry while its descriptor is open")
	}
	if !conns.evictIdle() || conns.open[c] {
		t.Error("evictIdle did not evict the lingering connection")
	}
	client, c = connWithUnreadBytes(t, conns, "short")
	_ = c.Close()
	if !c.Evict() || conns.open[c] {
		t.Error("Evict did not close the lingering connection")
	}
	_ = client.Close()
	conns.lingerTimeout = time.Millisecond
	_, c = connWithUnreadBytes(t, conns, "short")
	_ = c.Close()
	eventually(t, "the connection was not closed after lingerTimeout", func() bool { return len(conns.snapshot()) == 0 })
}

// Guards against the end of an answer being cut off for a client that reads slowly: its connection with unread bytes
// outlasts lingerTimeout, and the drain's last deadline, until the client has taken the response.
func TestLingeringConnectionWaitsForSlowClient(t *testing.T) {
	response := strings.Repeat("0123456789abcdef", 16<<10)
	conns := newClientConns(4)
	conns.lingerTimeout = time.Millisecond
	client, c := connWithUnreadBytes(t, conns, response)
	_ = c.Close()
	time.Sleep(100 * conns.lingerTimeout) // a connection that ends with lingerTimeout has ended then
	conns.closeWithoutRequest()
	_ = client.SetReadDeadline(time.Now().Add(patience))
	if got, err := io.ReadAll(client); err != nil || string(got) != response {
		t.Errorf("the client read %d of the response's %d bytes, error %v; want all of them", len(got), len(response), err)
	}
	eventually(t, "the connection stayed open after the client read the response", func() bool { return conns.count() == 0 })
}

// A client that reads nothing of its last response does not hold a lingering connection longer than the write limit.
func TestLingeringConnectionIsBounded(t *testing.T) {
	conns := newClientConns(4)
	conns.lingerTimeout = time.Millisecond
	conns.writeLimit.Interval = 100 * time.Millisecond
	_, c := connWithUnreadBytes(t, conns, strings.Repeat("0123456789abcdef", 16<<10))
	_ = c.Close()
	eventually(t, "the connection of a client that reads nothing stayed open", func() bool { return conns.count() == 0 })
}

// A client has sent pipelined requests when the proxy starts to drain: the one in flight gets a complete response, and
// then the connection ends without a partial response. The next request is not sent to a backend.
func TestDrainCrossesPipelinedRequests(t *testing.T) {
	received, release := make(chan bool, 8), make(chan bool)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			received <- true
			<-release
			writeText(c, served)
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	third := strings.Replace(smuggledRequest, "hidden", "third", 1)
	c := leavingClient(t, p, "fetch-work", smuggledRequest+third)
	within(t, received, "the backend got no first request")
	p.stopAndAwaitDrain(t)
	close(release)
	_ = c.SetReadDeadline(time.Now().Add(patience))
	in := bufio.NewReader(c)
	if resp, _ := mustRespond(t, http.StatusOK)(readFinalResponse(in)); !resp.Close {
		t.Error("the response during the drain has no Connection: close")
	}
	if rest, err := io.ReadAll(in); len(rest) > 0 || isTimeout(err) {
		t.Errorf("client read %q, error %v after the last response, want the connection's end", rest, err)
	}
	p.awaitExit(t)
	if len(received) != 0 {
		t.Errorf("%d pipelined requests were sent to a backend after the drain began, want 0", len(received))
	}
}
