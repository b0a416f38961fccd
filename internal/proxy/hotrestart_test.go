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

// startSharing starts a process of a proxy on a socket that is passed from one process to the next.
func startSharing(t *testing.T, held *net.TCPListener, dir, known string) *running {
	t.Helper()
	cfg, err := parseConfig(configText(known))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir, cfg.PassedSocket, cfg.timing = dir, "3", longWatchTiming
	file, err := held.File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	p := serveOn(t, cfg, listener)
	eventually(t, "it does not serve", p.proxy.ready.Load)
	return p
}

// During a hot restart with a request in flight, and clients that keep connecting to the shared socket, the old process
// answers the request and each new client is served by one of the two.
func TestHotRestartWithRequestInOldProcess(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = held.Close() }()
	came, release := make(chan bool, 1), make(chan bool)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if req.Method == "POST" {
				came <- true
				<-release
			}
			writeText(c, served)
		}
	})
	known, dir := listText(1, true, memberText("a", addr, "active")), t.TempDir()
	before := startSharing(t, held.(*net.TCPListener), dir, known)
	idle := silentConns(t, before.addr, 1)[0]
	answered := make(chan error, 1)
	go func() {
		resp, body, err := before.request(t, "hand-in", 19000, "homework")
		if err == nil && (resp.StatusCode != 200 || body != "fine" || !resp.Close) {
			err = fmt.Errorf("status %d, %q, closes %v", resp.StatusCode, body, resp.Close)
		}
		answered <- err
	}()
	within(t, came, "the backend got nothing")
	comes := func(n int) {
		t.Helper()
		for range n {
			mustRespond(t, 200)(before.request(t, "fetch-work", 19000, ""))
		}
	}
	after := startSharing(t, held.(*net.TCPListener), dir, known)
	eventually(t, "the old process is not told of the new one", before.proxy.store.Superseded)
	if after.proxy.store.Superseded() {
		t.Error("the new process takes the old one for its successor")
	}
	comes(20)
	before.stopAndAwaitDrain(t)
	comes(20)
	_ = idle.SetReadDeadline(time.Now().Add(patience))
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // the old process is past taking connections
		t.Errorf("the idle connection: %v, want its end", err)
	}
	select { // it must not end with that request in flight
	case err := <-before.done:
		before.done <- err
		t.Errorf("the old process has ended before its request has, with %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	if err := within(t, answered, "no answer"); err != nil {
		t.Errorf("the request in the old process: %v", err)
	}
	before.awaitExit(t)
	comes(20)
}

// A process is ready without discovery: it need not have an endpoint list, nor know a backend.
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
					t.Errorf("%q, closes %v", body, resp.Close)
				}
			})
		}
	}
}
