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

// asProgram is the environment variable under which the test binary runs as the program.
const asProgram = "LAPISSPREAD_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func program(t *testing.T, env ...string) *exec.Cmd {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	c := exec.CommandContext(ctx, os.Args[0], "serve")
	c.Env = append(append(os.Environ(), asProgram+"=1", "BALANCER_LISTEN=", "BALANCER_DISCOVERY="), env...)
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
		t.Fatal(err)
	}
	for name, path := range map[string]string{"not set": "", "missing": broken + ".none", "makes no sense": broken} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			c := program(t, "BALANCER_CONFIG="+path, "BALANCER_LISTEN=127.0.0.1:0", "BALANCER_DISCOVERY=127.0.0.1:1")
			c.Stderr = &text
			err := c.Run()
			if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("ended with %v, want code 1", err)
			}
			if lines := strings.Split(
				strings.TrimSpace(text.String()), "\n",
			); len(lines) != 1 || !strings.HasPrefix(lines[0], "lapisspread: ") {
				t.Errorf("standard error:\n%s", text.String())
			}
		})
	}
}

// A proxy whose log has a dead reader ends in order too.
func TestTermEndsWithCodeZero(t *testing.T) {
	t.Run("log read", func(t *testing.T) { serveAndTerm(t, io.Discard) })
	t.Run("log's reader dead", func(t *testing.T) {
		in, out, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		_ = in.Close()
		defer func() { _ = out.Close() }()
		serveAndTerm(t, out)
	})
}

// serveAndTerm replaces the configuration while the proxy serves and while it ends, and ends it by SIGTERM.
func serveAndTerm(t *testing.T, log io.Writer) {
	t.Helper()
	addr := freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"generation":1,"reset":true,"instances":[]},
	 "settings":{"Services":[{"Name":"hand-in","Aim":800,"GiveUp":2000}],
	 "Caps":{"ConnIdle":15000,"ConnectTimeout":250}}}`, addr)
	writeFile(t, path, text)
	c := program(t, "BALANCER_CONFIG="+path, "BALANCER_DISCOVERY=127.0.0.1:1") // the file replaces it
	c.Stderr = log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	waitUntilServing(t, addr, ended)
	reload := func(replaced string) {
		t.Helper()
		writeFile(t, path, replaced)
		send(t, c, syscall.SIGHUP)
	}
	called := make(chan string, 8)
	reload("{")
	reload(strings.Replace(text, "127.0.0.1:1", startDiscovery(t, "new", called), 1))
	until(t, "the new discovery is called", func() bool { return len(called) > 0 })
	send(t, c, syscall.SIGTERM)
	reload("{")
	reload(text)
	if err := <-ended; err != nil {
		t.Errorf("ended with %v, want code 0", err)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// waitUntilServing waits for the first answer of a proxy that must not end before.
func waitUntilServing(t *testing.T, addr string, ended <-chan error) {
	t.Helper()
	for health(addr) == 0 {
		select {
		case err := <-ended:
			t.Fatalf("ended before it served: %v", err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// startDiscovery starts a discovery with an empty list, which sends its name on called with each call. It returns its
// address.
func startDiscovery(t *testing.T, name string, called chan<- string) (addr string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select { // a call that nobody reads must not keep the server from closing
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
	line, _, _ := strings.Cut(say(console, "INFO"), "\n")
	if err := json.Unmarshal([]byte(line), &info); err != nil {
		t.Fatalf("INFO: %q: %v", line, err)
	}
	return info.OK, info.Failed
}

// An invalid configuration changes nothing: it is counted, the log names its field, and its discovery is never called.
// A valid one after it is applied.
func TestABadFileAtSighupLeavesTheOldConfiguration(t *testing.T) {
	addr, console := freeAddr(t), freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(goodConfig, "127.0.0.1:0", addr, 1)
	text = strings.Replace(text, `"seed"`, fmt.Sprintf(`"console":%q,"seed"`, console), 1)
	writeFile(t, path, text)
	c := program(t, "BALANCER_CONFIG="+path, "BALANCER_CONSOLE=")
	logs, err := os.Create(path + ".log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = logs.Close() }()
	c.Stderr = logs
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	until(t, "it serves", func() bool { return health(addr) == 200 })
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
		send(t, c, syscall.SIGHUP)
		until(t, fmt.Sprintf("invalid file %d is counted", i), func() bool {
			_, failed := reloadCounts(t, console)
			return failed == i+1
		})
	}
	if ok, _ := reloadCounts(t, console); ok != 0 || len(called) > 0 || health(addr) != 200 {
		t.Errorf("%d invalid files applied, %d calls to their discovery, health %d", ok, len(called), health(addr))
	}
	writeFile(t, path, withDiscovery(startDiscovery(t, "good", called)))
	send(t, c, syscall.SIGHUP)
	until(t, "the valid file's discovery is called", func() bool { return len(called) > 0 })
	if name := <-called; name != "good" {
		t.Errorf("the discovery of the %s file is called", name)
	}
	send(t, c, syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Errorf("ended with %v, want code 0", err)
	}
	written, err := os.ReadFile(path + ".log")
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"settings.Services.0.Aim: ", "limits.sockets: ", "discovery: "} {
		if !strings.Contains(string(written), path+": "+field) {
			t.Errorf("the log does not name %s\n%s", field, written)
		}
	}
}
