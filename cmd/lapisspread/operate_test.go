package main

import (
	"encoding/json"
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
	"time"

	"lapisspread/internal/faultlab/loopbackaddr"
)

const patience = 20 * time.Second

// freeAddr is an address that nobody listens at, nor connects from.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := loopbackaddr.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// until waits for a condition.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for start := time.Now(); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > patience {
			t.Fatalf("still not so: %s", what)
		}
	}
}

// say makes a call to a console; an empty answer means that none came.
func say(addr, line string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "%s\n", line)
	text, _ := io.ReadAll(c)
	return string(text)
}

// excluded is the figure of that name.
func excluded(t *testing.T, addr string) int {
	t.Helper()
	text, end, _ := strings.Cut(say(addr, "INFO"), "\n")
	var f struct {
		Known    int `json:"backends_known"`
		Excluded int `json:"backends_excluded"`
	}
	if err := json.Unmarshal([]byte(text), &f); err != nil || end != "EOF\n" {
		t.Fatalf("INFO: %q, then %q: %v", text, end, err)
	}
	if f.Known != 2 {
		return -1 // the list is not taken in yet
	}
	return f.Excluded
}

// health asks on a connection of its own.
func health(addr string) int {
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A day of operation: a backend out by hand, a lame duck and back, and an upgrade over a passed socket.
func TestOperation(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	socket, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	addr, shared := held.Addr().String(), t.TempDir()
	start := func() (console string, c *exec.Cmd, ended chan error) {
		console = freeAddr(t)
		path := filepath.Join(t.TempDir(), "config.json")
		text := fmt.Sprintf(`{"name":"n0","listen":%q,"console":%q,"discovery":"127.0.0.1:1","seed":"1f",
		 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"generation":1,"reset":true,"instances":[
		 {"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"active"},
		 {"instanceId":"s-2","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"active"}]},
		 "settings":{"FailureDomains":["a"],"Services":[{"Name":"hand-in","Aim":800,"GiveUp":2000}],"Caps":{"ConnIdle":15000,"ConnectTimeout":250}}}`,
			addr, console)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c = program(t, "BALANCER_CONFIG="+path, "BALANCER_CONSOLE=", "BALANCER_PASSED_SOCKET=3", "TMPDIR="+shared)
		c.ExtraFiles = []*os.File{socket}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		ended = make(chan error, 1)
		go func() { ended <- c.Wait() }()
		until(t, "the process takes clients", func() bool { return strings.HasPrefix(say(console, "PING"), "200") })
		return console, c, ended
	}
	first, firstCmd, firstEnded := start()
	until(t, "none is out", func() bool { return excluded(t, first) == 0 })
	for _, c := range []struct{ line, want string }{
		{"DETACH s-1", "200"}, {"DETACH s-1", "200"}, {"DETACH s-9", "400"}, {"ATTACH s-9", "400"}, {"DETACH", "400"},
	} {
		if got := say(first, c.line); !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: %q, want %s", c.line, got, c.want)
		}
	}
	until(t, "one is out", func() bool { return excluded(t, first) == 1 })

	say(first, "LAMEDUCK")
	until(t, "the lame duck's health is no", func() bool { return health(addr) == http.StatusServiceUnavailable })
	say(first, "REJOIN")
	until(t, "it is back", func() bool { return health(addr) == http.StatusOK })

	second, secondCmd, secondEnded := start()
	until(t, "one is out at the next process too", func() bool { return excluded(t, second) == 1 })
	if err := firstCmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-firstEnded; err != nil {
		t.Errorf("the first process ended with %v", err)
	}
	if got := health(addr); got != http.StatusOK {
		t.Errorf("health after the upgrade: %d", got)
	}
	if got := say(second, "ATTACH s-1"); !strings.HasPrefix(got, "200") {
		t.Errorf("ATTACH: %q", got)
	}
	until(t, "none is out any more", func() bool { return excluded(t, second) == 0 })
	if err := secondCmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-secondEnded; err != nil {
		t.Errorf("the second process ended with %v", err)
	}
}
