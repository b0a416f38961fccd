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

// Idle clients take all descriptors that the limits leave them while discovery is down. The reserve of the process
// stays free: requests are answered, discovery is heard when it returns, and the server that it names gets its
// connection.
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
	writeFile(t, path, replacer.Replace(plainConfig(addr, "127.0.0.1:9")))
	c, ended := start(t, path)
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	until(t, "it serves", func() bool { return health(addr) == 200 })
	openIdleConnections(t, addr, 2*sockets)
	if status := health(addr); status != 200 {
		t.Errorf("amid the idle ones a client is answered %d", status)
	}
	serveList(t, discovery, fmt.Sprintf(`{"generation":2,"reset":true,"instances":[
	 {"instanceId":"s-2","hostPort":%q,"zone":"a","lifecycle":"active"}]}`, strings.TrimPrefix(backend.URL, "http://")))
	openIdleConnections(t, addr, 2*sockets)
	n := 0
	until(t, "a request is served by the server that discovery names at its return", func() bool {
		n++
		client, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		defer func() { _ = client.Close() }()
		sendRequest(client, fmt.Sprint("r", n), 2000)
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			t.Fatalf("a request gets no answer: %v", err)
		}
		return resp.StatusCode == 200
	})
	send(t, c, unix.SIGTERM)
	if err := <-ended; err != nil {
		t.Errorf("ended with %v, want code 0", err)
	}
}

// openIdleConnections opens connections that last until the test ends.
func openIdleConnections(t *testing.T, addr string, count int) {
	t.Helper()
	for range count {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// serveList starts a discovery that returns a list of generation 2, and no change after it.
func serveList(t *testing.T, addr, list string) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
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
