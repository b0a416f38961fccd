package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// While discovery is down, idle clients take all file descriptors that the limits allow them. The process keeps its
// reserve: it answers requests, it receives the list when discovery is back, and it connects to the listed server.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "fine")
	}))
	defer backend.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	addr, discovery := freeAddr(t), freeAddr(t)
	replacer := strings.NewReplacer("127.0.0.1:1", discovery, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets),
		`"active"`, `"leaving"`, `:2500`, `:250`)
	writeFile(t, path, replacer.Replace(oneServerConfig(addr, "127.0.0.1:9")))
	c, exited := startServing(t, path)
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatalf("limiting the file descriptors of the proxy to %d: %v", sockets, err)
	}
	waitUntil(t, "the proxy answers health checks with 200", func() bool { return healthStatus(addr) == 200 })
	openIdleConnections(t, addr, 2*sockets)
	if status := healthStatus(addr); status != 200 {
		t.Errorf("GET /_health with %d idle connections open = status %d, want 200", 2*sockets, status)
	}
	serveList(t, discovery, fmt.Sprintf(`{"generation":2,"reset":true,"instances":[
	 {"instanceId":"s-2","hostPort":%q,"zone":"a","lifecycle":"active"}]}`, strings.TrimPrefix(backend.URL, "http://")))
	openIdleConnections(t, addr, 2*sockets)
	requests := 0
	waitUntil(t, "the server that discovery lists after its outage serves a request", func() bool {
		requests++
		client, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		defer func() { _ = client.Close() }()
		sendRequest(client, fmt.Sprint("r", requests), 2000)
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			t.Fatalf("reading the response to request %d: %v", requests, err)
		}
		return resp.StatusCode == 200
	})
	sendSignals(t, c, unix.SIGTERM)
	if err := <-exited; err != nil {
		t.Errorf("the proxy exited with %v, want code 0", err)
	}
}

// openIdleConnections opens connections that send nothing and stay open until the test ends.
func openIdleConnections(t *testing.T, addr string, count int) {
	t.Helper()
	for range count {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatalf("connecting to the proxy at %s: %v", addr, err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// serveList starts a discovery service that returns a list of generation 2 and then no further change.
func serveList(t *testing.T, addr, list string) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatalf("listening as the discovery service at %s: %v", addr, err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.RawQuery, "from=2") {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, list)
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

// sendRequest writes a request of the class hand-in.
func sendRequest(to io.Writer, id string, timeoutMs int) {
	_, _ = fmt.Fprintf(to, "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Priority-Class: hand-in\r\n"+
		"X-Timeout-Ms: %d\r\nContent-Length: 1\r\n\r\nx", id, timeoutMs)
}
