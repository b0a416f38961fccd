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

// patience bounds each wait of the tests.
const patience = 20 * time.Second

// freeAddr returns an address that no other process uses.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := loopbackaddr.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// until waits for a condition that must become true.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for start := time.Now(); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > patience {
			t.Fatalf("timed out: %s", what)
		}
	}
}

// say sends a line to an admin console. An empty answer means that none came.
func say(addr, line string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = fmt.Fprintf(c, "%s\n", line)
	text, _ := io.ReadAll(c)
	return string(text)
}

// excluded returns the metric backends_excluded, -1 before the list has arrived.
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
		return -1
	}
	return f.Excluded
}

// health returns the status of the health endpoint, on a new connection; 0 without an answer.
func health(addr string) int {
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// startUpgradable starts a proxy on a passed socket, and waits until it takes clients. Proxies with the same shared
// directory and socket take over from each other.
func startUpgradable(t *testing.T, addr, shared string, socket *os.File) (
	console string, c *exec.Cmd, ended chan error,
) {
	t.Helper()
	console = freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, fmt.Sprintf(`{"name":"n0","listen":%q,"console":%q,"discovery":"127.0.0.1:1","seed":"1f",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"generation":1,"reset":true,"instances":[
	 {"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"active"},
	 {"instanceId":"s-2","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"active"}]},
	 "settings":{"FailureDomains":["a"],"Services":[{"Name":"hand-in","Aim":800,"GiveUp":2000}],
	 "Caps":{"ConnIdle":15000,"ConnectTimeout":250}}}`, addr, console))
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

// An operator detaches a backend, makes the proxy a lame duck and back, and upgrades it over a passed socket.
func TestOperation(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = held.Close() }()
	socket, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	addr, shared := held.Addr().String(), t.TempDir()
	first, firstCmd, firstEnded := startUpgradable(t, addr, shared, socket)
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

	second, secondCmd, secondEnded := startUpgradable(t, addr, shared, socket)
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
