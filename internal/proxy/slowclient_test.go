package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// expiringConn is a connection whose write deadline passes in each longer write, although the peer takes bytes: its
// system calls the socket writable too late.
type expiringConn struct{ *net.TCPConn }

func (c expiringConn) Write(p []byte) (int, error) {
	const shortWrite = 1 << 10 // bytes
	if len(p) <= shortWrite {
		return c.TCPConn.Write(p)
	}
	n, err := c.TCPConn.Write(p[:len(p)/2])
	if err == nil {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// expiringListener accepts expiringConns.
type expiringListener struct{ net.Listener }

func (l expiringListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return expiringConn{nc.(*net.TCPConn)}, nil
}

// Guards against long answers being cut off for clients that read slowly: writes to them last longer than any deadline,
// although the client takes bytes all the time.
func TestResponseToSlowClientIsNotCutOff(t *testing.T) {
	const length = 3 << 20
	body := strings.Repeat("0123456789abcdef", length/16)
	for name, response := range map[string]string{
		"with a length":  fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", length, body),
		"in chunks":      fmt.Sprintf("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n%x\n%s\n0\n\n", length, body),
		"up to the end":  "HTTP/1.1 200 OK\n\n" + body,
		"short response": fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", maxBufferedBody, body[:maxBufferedBody]),
	} {
		t.Run(name, func(t *testing.T) {
			want := body
			if name == "short response" {
				want = body[:maxBufferedBody]
			}
			addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
				if readRequest(in) {
					writeText(c, response)
				}
			})
			cfg := testConfig(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t))
			p := serveOn(t, cfg, expiringListener{localListener(t)})
			_, got := mustRespond(t, 200)(p.request(t, "hand-in", 9000, ""))
			if got != want {
				t.Errorf("the client got %d bytes, want the response's %d unchanged", len(got), len(want))
			}
		})
	}
}

// If a client reads nothing of a long response, its connection and the backend's are closed.
func TestClientThatReadsNothingIsLetGo(t *testing.T) {
	backendClosed := make(chan bool, 1)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if !readRequest(in) {
			return
		}
		writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n", maxBodyBytes))
		piece := make([]byte, copyChunkBytes)
		for range maxBodyBytes / copyChunkBytes {
			if _, err := c.Write(piece); err != nil {
				backendClosed <- true
				return
			}
		}
		backendClosed <- false
	})
	cfg := testConfig(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t))
	p := servePrepared(t, cfg, localListener(t), func(p *Proxy) {
		p.conns.writeLimit.Interval = 100 * time.Millisecond
	})
	client, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
	}
	defer func() { _ = client.Close() }()
	_ = client.(*net.TCPConn).SetReadBuffer(copyChunkBytes)
	_, _ = io.WriteString(client, "GET /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: silent\r\nX-Priority-Class: fetch-work\r\n"+
		"X-Timeout-Ms: 9000\r\n\r\n")
	if !within(t, backendClosed, "the proxy kept the connections of a client that reads nothing") {
		t.Error("the backend could send its whole response, want the proxy to give the client up")
	}
	eventually(t, "the connection of a client that reads nothing is still registered", func() bool {
		return p.proxy.conns.count() == 0
	})
}
