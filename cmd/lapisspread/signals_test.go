package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// oneServerConfig returns a configuration with one initial server and an unreachable discovery service.
func oneServerConfig(listen, server string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"generation":1,"reset":true,"instances":[
	 {"instanceId":"s-1","hostPort":%q,"zone":"a","lifecycle":"active"}]},
	 "settings":{"FailureDomains":["a"],"Services":[{"Name":"hand-in","Aim":8000,"GiveUp":20000}],
	 "Caps":{"ConnIdle":15000,"ConnectTimeout":2500,"MaxAttempts":3}}}`, listen, server)
}

// startServing starts the proxy with a configuration file; exited receives the result of Cmd.Wait.
func startServing(t *testing.T, path string) (c *exec.Cmd, exited chan error) {
	t.Helper()
	c = proxyCommand(t, "BALANCER_CONFIG="+path)
	if err := c.Start(); err != nil {
		t.Fatalf("starting the proxy: %v", err)
	}
	exited = make(chan error, 1)
	go func() { exited <- c.Wait() }()
	return c, exited
}

// sendSignals sends signals to a process in order.
func sendSignals(t *testing.T, c *exec.Cmd, signals ...os.Signal) {
	t.Helper()
	for _, s := range signals {
		if err := c.Process.Signal(s); err != nil {
			t.Fatalf("sending %v to the proxy: %v", s, err)
		}
	}
}

// SIGHUP and SIGTERM arrive while the configuration is being read, before there is an endpoint list or a listener: the
// program exits with code 0.
func TestSignalsWhileItStarts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatalf("creating the configuration FIFO: %v", err)
	}
	c, exited := startServing(t, path)
	config, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the program opens the file for reading
	if err != nil {
		t.Fatalf("opening the configuration FIFO: %v", err)
	}
	sendSignals(t, c, syscall.SIGHUP, syscall.SIGTERM)
	_, _ = io.WriteString(config, oneServerConfig("127.0.0.1:0", "127.0.0.1:1"))
	_ = config.Close()
	_ = os.Remove(path) // the reload finds no file
	if err := <-exited; err != nil {
		t.Errorf("the proxy exited with %v, want code 0", err)
	}
}

// A request is in flight at SIGTERM, and more signals arrive while it waits: it gets its response, and then the program
// exits with code 0.
func TestSignalsWhileItEnds(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening as the backend: %v", err)
	}
	received, release := make(chan bool, 1), make(chan bool)
	backend := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received <- true
		<-release
		_, _ = io.WriteString(w, "fine")
	})}
	go func() { _ = backend.Serve(server) }()
	defer func() { _ = backend.Close() }()
	path, addr := filepath.Join(t.TempDir(), "config.json"), freeAddr(t)
	if err := os.WriteFile(path, []byte(oneServerConfig(addr, server.Addr().String())), 0o600); err != nil {
		t.Fatalf("writing the configuration file: %v", err)
	}
	c, exited := startServing(t, path)
	waitUntil(t, "the proxy answers health checks with 200", func() bool { return healthStatus(addr) == 200 })
	client, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("connecting to the proxy at %s: %v", addr, err)
	}
	defer func() { _ = client.Close() }()
	sendRequest(client, "r1", 19000)
	<-received
	sendSignals(t, c, syscall.SIGTERM)
	waitUntil(t, "the health endpoint no longer answers 200", func() bool { return healthStatus(addr) != 200 })
	sendSignals(t, c, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt, syscall.SIGTERM)
	waitUntil(t, "the proxy accepts no more connections", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatalf("reading the response to the request in flight: %v", err)
	}
	if body, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || strings.TrimSpace(string(body)) != "fine" ||
		!resp.Close {
		t.Errorf("request in flight at SIGTERM: status %d, body %q, Connection: close %v, want 200, \"fine\", true",
			resp.StatusCode, body, resp.Close)
	}
	if err := <-exited; err != nil {
		t.Errorf("the proxy exited with %v, want code 0", err)
	}
}
