package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startOnSharedSocket starts a proxy process on a socket that is passed from one process to the next.
func startOnSharedSocket(t *testing.T, shared *net.TCPListener, dir, known string) *running {
	t.Helper()
	cfg, err := parseConfig(configText(known))
	if err != nil {
		t.Fatalf("parseConfig(): %v", err)
	}
	cfg.StateDir, cfg.PassedSocket, cfg.timing = dir, "3", longWatchTiming
	file, err := shared.File()
	if err != nil {
		t.Fatalf("duplicating the shared socket: %v", err)
	}
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatalf("FileListener() of the shared socket: %v", err)
	}
	p := serveOn(t, cfg, listener)
	eventually(t, "the proxy is not ready", p.proxy.ready.Load)
	return p
}

// During a hot restart with a request in flight, and clients that keep connecting to the shared socket, the old process
// answers the request and each new client is served by one of the two processes.
func TestHotRestartWithRequestInOldProcess(t *testing.T) {
	shared, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening on the shared socket: %v", err)
	}
	defer func() { _ = shared.Close() }()
	received, release := make(chan bool, 1), make(chan bool)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if req.Method == "POST" {
				received <- true
				<-release
			}
			writeText(c, served)
		}
	})
	known, dir := listText(1, true, memberText("a", addr, "active")), t.TempDir()
	previous := startOnSharedSocket(t, shared.(*net.TCPListener), dir, known)
	idle := silentConns(t, previous.addr, 1)[0]
	responded := make(chan error, 1)
	go func() {
		resp, body, err := previous.request(t, "hand-in", 19000, "homework")
		if err == nil && (resp.StatusCode != 200 || body != "fine" || !resp.Close) {
			err = fmt.Errorf("status %d, body %q, close announced %v; want 200, \"fine\" and a close",
				resp.StatusCode, body, resp.Close)
		}
		responded <- err
	}()
	within(t, received, "the backend got no request")
	requestAll := func(n int) {
		t.Helper()
		for range n {
			mustRespond(t, 200)(previous.request(t, "fetch-work", 19000, ""))
		}
	}
	next := startOnSharedSocket(t, shared.(*net.TCPListener), dir, known)
	eventually(t, "the old process has not noticed the new one", previous.proxy.store.Superseded)
	if next.proxy.store.Superseded() {
		t.Error("Superseded() of the new process = true, want false")
	}
	requestAll(20)
	previous.stopAndAwaitDrain(t)
	requestAll(20)
	_ = idle.SetReadDeadline(time.Now().Add(patience))
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // the old process no longer accepts connections
		t.Errorf("read on the idle connection of the old process: error %v, want io.EOF", err)
	}
	select { // the old process must not end while the request is in flight
	case err := <-previous.done:
		previous.done <- err
		t.Errorf("the old process ended with a request in flight: error %v, want it to wait for the response", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	if err := within(t, responded, "the request in the old process got no response"); err != nil {
		t.Errorf("the request in flight in the old process failed: %v", err)
	}
	previous.awaitExit(t)
	requestAll(20)
}

// A process becomes ready although discovery does not answer, even without an endpoint list or a known backend.
func TestReadyWithoutDiscovery(t *testing.T) {
	silent := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) { _, _ = io.Copy(io.Discard, in) })
	closing := rawBackend(t, func(int, net.Conn, *bufio.Reader) {})
	for name, discovery := range map[string]string{"silent": silent, "refused": "127.0.0.1:1", "closing": closing} {
		for _, known := range []string{listText(1, true), listText(1, true, memberText("a", silent, "active")),
			"null"} {
			t.Run(name+" "+known, func(t *testing.T) {
				t.Parallel()
				p := startProxy(t, known, newCatalog(t), func(c *Config) { c.Discovery = discovery })
				conn := silentConns(t, p.addr, 1)[0]
				_, _ = io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: s\r\n\r\n")
				_ = conn.SetReadDeadline(time.Now().Add(patience))
				resp, body := mustRespond(t, 200)(readFinalResponse(bufio.NewReader(conn)))
				if strings.TrimSpace(body) != "ok" || resp.Close {
					t.Errorf("GET /_health: body %q, close announced %v; want \"ok\" and an open connection", body, resp.Close)
				}
			})
		}
	}
}
