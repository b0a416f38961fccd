package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runAsProgramVariable is the environment variable that makes the test binary run as the program.
const runAsProgramVariable = "LAPISSPREAD_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// proxyCommand returns a command that runs the proxy with additional environment variables, for at most 30 s.
func proxyCommand(t *testing.T, env ...string) *exec.Cmd {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	c := exec.CommandContext(ctx, os.Args[0], "serve")
	c.Env = append(append(os.Environ(), runAsProgramVariable+"=1", "BALANCER_LISTEN=", "BALANCER_DISCOVERY="), env...)
	return c
}

func TestBadConfigurationIsOneClearLine(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(
		broken,
		[]byte(`{"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		 "settings":{"Caps":{"ConnectTimeout":250}}}`),
		0o600,
	); err != nil {
		t.Fatalf("writing the configuration file: %v", err)
	}
	for name, path := range map[string]string{"not set": "", "missing": broken + ".none", "invalid": broken} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			c := proxyCommand(t, "BALANCER_CONFIG="+path,
				"BALANCER_LISTEN=127.0.0.1:0", "BALANCER_DISCOVERY=127.0.0.1:1")
			c.Stderr = &text
			err := c.Run()
			if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("the proxy exited with %v, want code 1", err)
			}
			if lines := strings.Split(
				strings.TrimSpace(text.String()), "\n",
			); len(lines) != 1 || !strings.HasPrefix(lines[0], "lapisspread: ") {
				t.Errorf("standard error is %q, want one line with the prefix \"lapisspread: \"", text.String())
			}
		})
	}
}

// The proxy exits with code 0 at SIGTERM, also if the reader of its log has exited.
func TestTermEndsWithCodeZero(t *testing.T) {
	t.Run("log reader runs", func(t *testing.T) { serveAndTerm(t, io.Discard) })
	t.Run("log reader exited", func(t *testing.T) {
		in, out, err := os.Pipe()
		if err != nil {
			t.Fatalf("creating the log pipe: %v", err)
		}
		_ = in.Close()
		defer func() { _ = out.Close() }()
		serveAndTerm(t, out)
	})
}

// serveAndTerm starts a proxy, stops it by SIGTERM, and replaces its configuration while it serves and while it stops.
func serveAndTerm(t *testing.T, log io.Writer) {
	t.Helper()
	addr := freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"generation":1,"reset":true,"instances":[]},
	 "settings":{"Services":[{"Name":"hand-in","Aim":800,"GiveUp":2000}],
	 "Caps":{"ConnIdle":15000,"ConnectTimeout":250}}}`, addr)
	writeFile(t, path, text)
	// A reload uses the discovery address in the file in place of the environment variable.
	c := proxyCommand(t, "BALANCER_CONFIG="+path, "BALANCER_DISCOVERY=127.0.0.1:1")
	c.Stderr = log
	if err := c.Start(); err != nil {
		t.Fatalf("starting the proxy: %v", err)
	}
	exited := make(chan error, 1)
	go func() { exited <- c.Wait() }()
	waitUntilServing(t, addr, exited)
	reload := func(replaced string) {
		t.Helper()
		writeFile(t, path, replaced)
		sendSignals(t, c, syscall.SIGHUP)
	}
	called := make(chan string, 8)
	reload("{")
	reload(strings.Replace(text, "127.0.0.1:1", startDiscovery(t, "new", called), 1))
	waitUntil(t, "the proxy calls the new discovery address", func() bool { return len(called) > 0 })
	sendSignals(t, c, syscall.SIGTERM)
	reload("{")
	reload(text)
	if err := <-exited; err != nil {
		t.Errorf("the proxy exited with %v, want code 0", err)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatalf("writing the configuration file: %v", err)
	}
}

// waitUntilServing waits for the first answer to a health check. The test fails if the proxy exits first.
func waitUntilServing(t *testing.T, addr string, exited <-chan error) {
	t.Helper()
	for healthStatus(addr) == 0 {
		select {
		case err := <-exited:
			t.Fatalf("the proxy exited before it answered a health check: %v", err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// startDiscovery starts a discovery service with an empty list, which sends name on the channel called at each request.
// It returns the address of the service.
func startDiscovery(t *testing.T, name string, called chan<- string) (addr string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select { // do not block: a handler that waits keeps the server from closing
		case called <- name:
		default:
		}
		_, _ = io.WriteString(w, `{"generation":1,"reset":true,"instances":[]}`)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// reloadCounts returns how many reloads succeeded and failed.
func reloadCounts(t *testing.T, console string) (ok, failed int) {
	t.Helper()
	var info struct {
		OK     int `json:"reloads_ok"`
		Failed int `json:"reloads_failed"`
	}
	line, _, _ := strings.Cut(sendConsoleLine(console, "INFO"), "\n")
	if err := json.Unmarshal([]byte(line), &info); err != nil {
		t.Fatalf("console command INFO answered %q, want JSON: %v", line, err)
	}
	return info.OK, info.Failed
}

// A reload with an invalid configuration changes nothing: the failure is counted, the log names the invalid field, and
// the discovery address in that file is never called. A valid configuration is then applied.
func TestABadFileAtSighupLeavesTheOldConfiguration(t *testing.T) {
	addr, console := freeAddr(t), freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(validConfig, "127.0.0.1:0", addr, 1)
	text = strings.Replace(text, `"seed"`, fmt.Sprintf(`"console":%q,"seed"`, console), 1)
	writeFile(t, path, text)
	c := proxyCommand(t, "BALANCER_CONFIG="+path, "BALANCER_CONSOLE=")
	logs, err := os.Create(path + ".log")
	if err != nil {
		t.Fatalf("creating the log file: %v", err)
	}
	defer func() { _ = logs.Close() }()
	c.Stderr = logs
	if err := c.Start(); err != nil {
		t.Fatalf("starting the proxy: %v", err)
	}
	waitUntil(t, "the proxy answers health checks with 200", func() bool { return healthStatus(addr) == 200 })
	called := make(chan string, 64)
	withDiscovery := func(addr string) string { return strings.Replace(text, "127.0.0.1:1\"", addr+`"`, 1) }
	bad := withDiscovery(startDiscovery(t, "bad", called))
	for i, invalid := range []string{
		"{",
		strings.Replace(bad, `"Aim":800`, `"Aim":0`, 1),
		strings.Replace(bad, `"sockets":1024`, `"sockets":"many"`, 1),
		withDiscovery("nowhere"),
	} {
		writeFile(t, path, invalid)
		sendSignals(t, c, syscall.SIGHUP)
		waitUntil(t, fmt.Sprintf("the failed reload of invalid file %d is counted", i), func() bool {
			_, failed := reloadCounts(t, console)
			return failed == i+1
		})
	}
	if ok, _ := reloadCounts(t, console); ok != 0 || len(called) > 0 || healthStatus(addr) != 200 {
		t.Errorf("after the invalid files: %d reloads applied, %d calls to the discovery address in them, status %d, "+
			"want 0, 0 and 200", ok, len(called), healthStatus(addr))
	}
	writeFile(t, path, withDiscovery(startDiscovery(t, "good", called)))
	sendSignals(t, c, syscall.SIGHUP)
	waitUntil(t, "the proxy calls the discovery address of the valid file", func() bool { return len(called) > 0 })
	if name := <-called; name != "good" {
		t.Errorf("the proxy called the discovery address of the %s file, want only that of the good file", name)
	}
	sendSignals(t, c, syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Errorf("the proxy exited with %v, want code 0", err)
	}
	written, err := os.ReadFile(path + ".log")
	if err != nil {
		t.Fatalf("reading the log: %v", err)
	}
	for _, field := range []string{"settings.Services.0.Aim: ", "limits.sockets: ", "discovery: "} {
		if !strings.Contains(string(written), path+": "+field) {
			t.Errorf("the log has no failed reload that names %q:\n%s", field, written)
		}
	}
}
