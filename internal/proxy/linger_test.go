package proxy

import (
	"bufio"
	"fmt"
	"io"
	"lapisspread/internal/proxy/rawsocket"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// connWithUnreadBytes returns a connection whose response does not fit into the sockets' buffers, with unread bytes
// behind its request.
func connWithUnreadBytes(t *testing.T, conns *clientConns, answer string) (client net.Conn, c *clientConn) {
	t.Helper()
	client, c = clientPair(t, conns)
	_ = client.(*net.TCPConn).SetReadBuffer(64 << 10)
	const request = "GET / HTTP/1.1\r\n\r\n"
	_, _ = io.WriteString(client, request+hidden)
	if _, err := io.ReadFull(c, make([]byte, len(request))); err != nil {
		t.Fatal(err)
	}
	_ = c.Conn.(*net.TCPConn).SetWriteBuffer(1 << 20)
	if _, err := io.WriteString(c, answer); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(client, hidden) // so that something stands unread in the socket itself
	eventually(t, "nothing comes", func() bool { return !rawsocket.Silent(c.Conn) })
	return client, c
}

// A connection is closed with unread bytes: its last response arrives whole, and then its end. A new client gets its
// place at once.
func TestCloseWithUnreadBytesLosesNoResponse(t *testing.T) {
	answer := strings.Repeat("0123456789abcdef", 16<<10)
	conns := newClientConns(4)
	conns.lingerTimeout = patience
	client, c := connWithUnreadBytes(t, conns, answer)
	_ = c.Close()
	_ = client.SetReadDeadline(time.Now().Add(patience))
	if got, err := io.ReadAll(client); err != nil || string(got) != answer {
		t.Errorf("%d bytes of %d came, %v", len(got), len(answer), err)
	}
	if !conns.open[c] {
		t.Error("its place is given away though its descriptor is not")
	}
	if !conns.evictIdle() || conns.open[c] {
		t.Error("it makes no place")
	}
	client, c = connWithUnreadBytes(t, conns, "short")
	_ = c.Close()
	if !c.Evict() || conns.open[c] {
		t.Error("it makes no place at the door")
	}
	_ = client.Close()
	conns.lingerTimeout = time.Millisecond
	_, c = connWithUnreadBytes(t, conns, "short")
	_ = c.Close()
	eventually(t, "it is never closed", func() bool { return len(conns.snapshot()) == 0 })
}

// A client sends requests one behind the other while the proxy drains: the one in flight gets a whole response, and
// then the connection ends without a partial response. The next request is not sent to a backend.
func TestDrainCrossesPipelinedRequests(t *testing.T) {
	came, release := make(chan bool, 8), make(chan bool)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			came <- true
			<-release
			writeText(c, served)
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	c := leavingClient(t, p, "fetch-work", fmt.Sprintf("%s%s", hidden, strings.Replace(hidden, "hidden", "third", 1)))
	within(t, came, "the backend got nothing")
	p.ending(t)
	close(release)
	_ = c.SetReadDeadline(time.Now().Add(patience))
	in := bufio.NewReader(c)
	if resp, _ := mustRespond(t, http.StatusOK)(readFinalResponse(in)); !resp.Close {
		t.Error("the answer leaves its connection open")
	}
	if rest, err := io.ReadAll(in); len(rest) > 0 || isTimeout(err) {
		t.Errorf("after the last answer: %q, %v", rest, err)
	}
	p.ended(t)
	if len(came) != 0 {
		t.Error("what stood behind the last answer was sent on")
	}
}
