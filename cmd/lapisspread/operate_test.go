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

// waitTimeout bounds each wait of the tests.
const waitTimeout = 20 * time.Second

// freeAddr returns a loopback address that no other process uses.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := loopbackaddr.Addr()
	if err != nil {
		t.Fatalf("finding a free loopback address: %v", err)
	}
	return addr
}

// waitUntil polls a condition and fails the test if it does not become true within waitTimeout. description completes
// "waiting until".
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > waitTimeout {
			t.Fatalf("timed out after %v waiting until %s", waitTimeout, description)
		}
	}
}

// sendConsoleLine sends a line to an admin console and returns the answer, or "" if there is none.
func sendConsoleLine(addr, line string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = fmt.Fprintf(c, "%s\n", line)
	text, _ := io.ReadAll(c)
	return string(text)
}

// excludedBackends returns the metric backends_excluded, or -1 until both backends are known.
func excludedBackends(t *testing.T, addr string) int {
	t.Helper()
	text, end, _ := strings.Cut(sendConsoleLine(addr, "INFO"), "\n")
	var info struct {
		Known    int `json:"backends_known"`
		Excluded int `json:"backends_excluded"`
	}
	if err := json.Unmarshal([]byte(text), &info); err != nil || end != "EOF\n" {
		t.Fatalf("INFO answered %q, then %q (JSON error %v), want a JSON object, then \"EOF\\n\"", text, end, err)
	}
	if info.Known != 2 {
		return -1
	}
	return info.Excluded
}

// healthStatus requests the health endpoint on a new connection and returns the HTTP status, or 0 without an answer.
func healthStatus(addr string) int {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// startUpgradable starts a proxy on an inherited socket and waits until its console answers. A proxy that starts with
// the same shared directory and socket takes over from the running one.
func startUpgradable(t *testing.T, addr, shared string, socket *os.File) (
	console string, c *exec.Cmd, exited chan error,
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
	c = proxyCommand(t, "BALANCER_CONFIG="+path, "BALANCER_CONSOLE=", "BALANCER_PASSED_SOCKET=3", "TMPDIR="+shared)
	c.ExtraFiles = []*os.File{socket}
	if err := c.Start(); err != nil {
		t.Fatalf("starting the proxy: %v", err)
	}
	exited = make(chan error, 1)
	go func() { exited <- c.Wait() }()
	waitUntil(t, "the console of the new process answers PING with 200", func() bool {
		return strings.HasPrefix(sendConsoleLine(console, "PING"), "200")
	})
	return console, c, exited
}

// An operator detaches a backend, switches lame duck mode on and off, and upgrades the proxy over an inherited socket.
func TestOperation(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening on a loopback address: %v", err)
	}
	defer func() { _ = listener.Close() }()
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatalf("duplicating the listening socket: %v", err)
	}
	defer func() { _ = socket.Close() }()
	addr, shared := listener.Addr().String(), t.TempDir()
	first, firstCmd, firstExited := startUpgradable(t, addr, shared, socket)
	waitUntil(t, "no backend is excluded", func() bool { return excludedBackends(t, first) == 0 })
	for _, c := range []struct{ line, want string }{
		{"DETACH s-1", "200"}, {"DETACH s-1", "200"}, {"DETACH s-9", "400"}, {"ATTACH s-9", "400"}, {"DETACH", "400"},
	} {
		if got := sendConsoleLine(first, c.line); !strings.HasPrefix(got, c.want) {
			t.Errorf("console command %s answered %q, want the prefix %s", c.line, got, c.want)
		}
	}
	waitUntil(t, "one backend is excluded", func() bool { return excludedBackends(t, first) == 1 })

	sendConsoleLine(first, "LAMEDUCK")
	waitUntil(t, "the health endpoint of the lame duck answers 503", func() bool {
		return healthStatus(addr) == http.StatusServiceUnavailable
	})
	sendConsoleLine(first, "REJOIN")
	waitUntil(t, "the health endpoint answers 200 after REJOIN", func() bool {
		return healthStatus(addr) == http.StatusOK
	})

	second, secondCmd, secondExited := startUpgradable(t, addr, shared, socket)
	waitUntil(t, "one backend is excluded in the new process too", func() bool {
		return excludedBackends(t, second) == 1
	})
	if err := firstCmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatalf("sending SIGTERM to the first process: %v", err)
	}
	if err := <-firstExited; err != nil {
		t.Errorf("the first process exited with %v at SIGTERM, want code 0", err)
	}
	if got := healthStatus(addr); got != http.StatusOK {
		t.Errorf("health status after the upgrade = %d, want 200", got)
	}
	if got := sendConsoleLine(second, "ATTACH s-1"); !strings.HasPrefix(got, "200") {
		t.Errorf("console command ATTACH s-1 answered %q, want the prefix 200", got)
	}
	waitUntil(t, "no backend is excluded after ATTACH", func() bool { return excludedBackends(t, second) == 0 })
	if err := secondCmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatalf("sending SIGTERM to the second process: %v", err)
	}
	if err := <-secondExited; err != nil {
		t.Errorf("the second process exited with %v at SIGTERM, want code 0", err)
	}
}
