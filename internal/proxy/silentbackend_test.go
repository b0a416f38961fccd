package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against the head of a long answer being taken for the answer: its request lost its deadline, and the client of
// a backend that stops after the head got no byte for 10 s.
func TestAnswerThatStopsAfterItsHeadIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		close bool
		want  int
	}{
		"length":            {"HTTP/1.1 200 OK\nContent-Length: 100000\n\n", false, http.StatusGatewayTimeout},
		"chunks":            {"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", false, http.StatusGatewayTimeout},
		"size of a chunk":   {"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n186a0\n", false, http.StatusGatewayTimeout},
		"no length":         {"HTTP/1.1 200 OK\n\n", false, http.StatusGatewayTimeout},
		"length and close":  {"HTTP/1.1 200 OK\nContent-Length: 100000\n\n", true, http.StatusBadGateway},
		"chunks and close":  {"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", true, http.StatusBadGateway},
		"a chunk and close": {"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n186a0\n", true, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan bool)
			defer close(release)
			addr := rawBackend(t, func(_ int, nc net.Conn, in *bufio.Reader) {
				if readRequest(in) {
					writeText(nc, c.head)
				}
				if !c.close {
					<-release
				}
			})
			p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
			response, _, err := p.request(t, "hand-in", 500, "")
			if err != nil || response.StatusCode != c.want {
				t.Errorf("answer of a backend that stops after %q: %v, error %v; want status %d", c.head, response, err, c.want)
			}
		})
	}
}

// Guards against a part of a chunk being held back until the rest of it has come: the client of a backend that writes a
// large chunk slowly got its first byte seconds later.
func TestPartOfAChunkIsPassedOn(t *testing.T) {
	got := make(chan bool)
	addr := rawBackend(t, func(_ int, nc net.Conn, in *bufio.Reader) {
		if !readRequest(in) {
			return
		}
		writeText(nc, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n6\nabc")
		select {
		case <-got:
			writeText(nc, "def\n0\n\n")
		case <-t.Context().Done():
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: s%d\r\nX-Priority-Class: fetch-work\r\n"+
		"X-Timeout-Ms: 9000\r\n\r\n", lastRequestID.Add(1))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("reading the response's head: %v", err)
	}
	start := make([]byte, 3)
	if _, err := io.ReadFull(response.Body, start); err != nil || string(start) != "abc" {
		t.Fatalf("first bytes of the body are %q, error %v; want %q", start, err, "abc")
	}
	close(got)
	if rest, err := io.ReadAll(response.Body); err != nil || string(rest) != "def" {
		t.Errorf("the rest of the body is %q, error %v; want %q", rest, err, "def")
	}
}
