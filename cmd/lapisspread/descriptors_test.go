package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// Idle clients take all descriptors that the limits leave them, and come again, while discovery is down. What the process
// needs for itself stays free: a client that asks is answered, discovery's return is heard, and the server that it names,
// which nobody knew, gets its connection.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 64
	stand := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "fine") }))
	defer stand.Close()
	path, addr, discovery := filepath.Join(t.TempDir(), "config.json"), freeAddr(t), freeAddr(t)
	text := strings.NewReplacer("127.0.0.1:1", discovery, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), `"active"`, `"leaving"`, `:2500`, `:250`).Replace(plainConfig(addr, "127.0.0.1:9"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, ended := start(t, path)
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	until(t, "it serves", func() bool { return health(addr) == 200 })
	fill := func() {
		for range 2 * sockets {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
	}
	fill()
	if status := health(addr); status != 200 {
		t.Errorf("amid the idle ones a client is answered %d", status)
	}
	l, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	list := fmt.Sprintf(`{"generation":2,"reset":true,"instances":[{"instanceId":"s-2","hostPort":%q,"zone":"a","lifecycle":"active"}]}`, strings.TrimPrefix(stand.URL, "http://"))
	back := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.RawQuery, "from=2") {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, list)
	})}
	go back.Serve(l)
	defer back.Close()
	fill()
	n := 0
	until(t, "a request is served by the server that discovery names at its return", func() bool {
		n++
		client, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		defer client.Close()
		fmt.Fprintf(client, "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: r%d\r\nX-Priority-Class: hand-in\r\nX-Timeout-Ms: 2000\r\nContent-Length: 1\r\n\r\nx", n)
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			t.Fatalf("a client that asks gets no answer: %v", err)
		}
		return resp.StatusCode == 200
	})
	send(t, c, unix.SIGTERM)
	if err := <-ended; err != nil {
		t.Errorf("ended with %v, want code 0", err)
	}
}
