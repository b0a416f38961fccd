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

// plainConfig returns a configuration with one known server, and discovery down.
func plainConfig(listen, server string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"generation":1,"reset":true,"instances":[
	 {"instanceId":"s-1","hostPort":%q,"zone":"a","lifecycle":"active"}]},
	 "settings":{"FailureDomains":["a"],"Services":[{"Name":"hand-in","Aim":8000,"GiveUp":20000}],
	 "Caps":{"ConnIdle":15000,"ConnectTimeout":2500,"MaxAttempts":3}}}`, listen, server)
}

// start starts the proxy; ended receives how it ends.
func start(t *testing.T, path string) (c *exec.Cmd, ended chan error) {
	t.Helper()
	c = program(t, "BALANCER_CONFIG="+path)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- c.Wait() }()
	return c, ended
}

// send sends signals in order.
func send(t *testing.T, c *exec.Cmd, signals ...os.Signal) {
	t.Helper()
	for _, s := range signals {
		if err := c.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
}

// SIGTERM and SIGHUP while the configuration is being read, before any list and any listener: the program ends in
// order.
func TestSignalsWhileItStarts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	c, ended := start(t, path)
	config, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the program reads it
	if err != nil {
		t.Fatal(err)
	}
	send(t, c, syscall.SIGHUP, syscall.SIGTERM)
	_, _ = io.WriteString(config, plainConfig("127.0.0.1:0", "127.0.0.1:1"))
	_ = config.Close()
	_ = os.Remove(path) // SIGHUP finds no file
	if err := <-ended; err != nil {
		t.Errorf("ended with %v, want code 0", err)
	}
}

// A request is in flight at SIGTERM, and more signals arrive while it waits: it is answered, and then the program ends.
func TestSignalsWhileItEnds(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	came, release := make(chan bool, 1), make(chan bool)
	backend := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		came <- true
		<-release
		_, _ = io.WriteString(w, "fine")
	})}
	go func() { _ = backend.Serve(server) }()
	defer func() { _ = backend.Close() }()
	path, addr := filepath.Join(t.TempDir(), "config.json"), freeAddr(t)
	if err := os.WriteFile(path, []byte(plainConfig(addr, server.Addr().String())), 0o600); err != nil {
		t.Fatal(err)
	}
	c, ended := start(t, path)
	until(t, "it serves", func() bool { return health(addr) == 200 })
	client, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	sendRequest(client, "r1", 19000)
	<-came
	send(t, c, syscall.SIGTERM)
	until(t, "it ends", func() bool { return health(addr) != 200 })
	send(t, c, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt, syscall.SIGTERM)
	until(t, "it takes no more connections", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if body, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || strings.TrimSpace(string(body)) != "fine" ||
		!resp.Close {
		t.Errorf("status %d, %q, closes %v", resp.StatusCode, body, resp.Close)
	}
	if err := <-ended; err != nil {
		t.Errorf("ended with %v, want code 0", err)
	}
}
