package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// settings are decision settings with an idempotent class (fetch-work) and a non-idempotent one (hand-in). Discovery
// is polled.
const settings = `{"Balancers":1,"Rank":0,"Zone":0,"Tick":5.0,"Discovery":"on_request","FailureDomains":["dc one"],
 "Kinds":["fast-5","slow-5"],"WorthBy":"work","Tenants":[],"Feedback":{"How":"off","Names":[]},
 "Caps":{"Cancel":true,"ConnIdle":15000.0,"ConnectTimeout":250.0,"MaxAttempts":6,"MaxRetryAfter":2000.0,
  "Probes":false,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1},
 "Obligations":{"AnswerSlack":20.0,"AskEvery":10000.0,"Cold":23000.0,"DrainGrace":250.0,"Fall":2000.0,"FallMultiple":2.5,"StartCapacity":0.13},
 "Services":[
  {"Name":"fetch-work","Aim":8000.0,"GiveUp":20000.0,"Effect":"retryable","Group":"all","Value":3.0,"Window":5000.0},
  {"Name":"hand-in","Aim":8000.0,"GiveUp":20000.0,"Effect":"fragile","Group":"all","Value":8.0,"Window":5000.0}]}`

// configText returns a configuration file. known is the JSON of its initial endpoint list, or null.
func configText(known string) []byte {
	return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, known, settings)
}

// catalog is a fake discovery server. Each list sent to lists is the response to one call; queries receives the query
// of each call.
type catalog struct {
	*httptest.Server
	lists   chan string
	queries chan string
}

// newCatalog starts a fake discovery server until the test ends.
func newCatalog(t *testing.T) *catalog {
	c := &catalog{lists: make(chan string, 8), queries: make(chan string, 64)}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.queries <- r.URL.RawQuery
		select {
		case list := <-c.lists:
			_, _ = io.WriteString(w, list)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { c.CloseClientConnections(); c.Close() })
	return c
}

// listText returns the JSON of an endpoint list with the given version. full is whether it replaces all endpoints.
func listText(generation int, full bool, members ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, full, strings.Join(members, ","))
}

// memberText returns the JSON of one endpoint in a list.
func memberText(id, addr, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"dc one","machineType":"fast-5","cell":0,"lifecycle":%q,"weight":1.0,"startedAtMs":0}`,
		id, addr, state)
}

// running is a proxy under test that serves on addr until stop is called. done receives the result of serve.
type running struct {
	addr string
	stop context.CancelFunc
	done chan error
	logs *lockedBuffer

	proxy *Proxy
}

// lockedBuffer is a text buffer that goroutines may write to concurrently.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// longWatchTiming lets no discovery call time out during a test: a catalog sends each list to one call only, and a
// call that timed out would lose it.
var longWatchTiming = discoveryTiming{watchHold: time.Minute, slack: time.Minute, fetchTimeout: time.Minute}

// testConfig returns the configuration of a proxy with the initial endpoint list known and the discovery server c.
func testConfig(t *testing.T, known string, c *catalog) Config {
	t.Helper()
	cfg, err := parseConfig(configText(known))
	if err != nil {
		t.Fatalf("parseConfig: %v", err)
	}
	cfg.Discovery = strings.TrimPrefix(c.URL, "http://")
	cfg.timing = longWatchTiming
	return cfg
}

// localListener listens on a free loopback port.
func localListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening: %v", err)
	}
	return listener
}

// startProxy runs a proxy with the initial endpoint list known and the discovery server c until the test ends. change,
// if not nil, edits its configuration first.
func startProxy(t *testing.T, known string, c *catalog, change func(*Config)) *running {
	t.Helper()
	cfg := testConfig(t, known, c)
	if change != nil {
		change(&cfg)
	}
	return serveOn(t, cfg, localListener(t))
}

// serveOn runs a proxy on a listener until the test ends, and fails the test if serve returns an error.
func serveOn(t *testing.T, cfg Config, listener net.Listener) *running {
	t.Helper()
	return servePrepared(t, cfg, listener, func(*Proxy) {})
}

// servePrepared is serveOn for a proxy that prepare changes before it serves.
func servePrepared(t *testing.T, cfg Config, listener net.Listener, prepare func(*Proxy)) *running {
	t.Helper()
	logs := &lockedBuffer{}
	ctx, stop := context.WithCancel(context.Background())
	p := &running{addr: listener.Addr().String(), stop: stop, done: make(chan error, 1), logs: logs}
	p.proxy = New(cfg, slog.New(slog.NewTextHandler(logs, nil)))
	prepare(p.proxy)
	go func() { p.done <- p.proxy.serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		if err := <-p.done; err != nil {
			t.Errorf("Proxy.serve = %v, want nil", err)
		}
		p.done <- nil
	})
	return p
}

// request sends a request on a new connection, by a client that never retries.
func (p *running) request(t *testing.T, class string, timeoutMs int, body string) (*http.Response, string, error) {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = c.Close() }()
	return requestOn(c, bufio.NewReader(c), class, timeoutMs, body)
}

// lastRequestID is the number in the X-Request-ID of the last request sent by a test.
var lastRequestID atomic.Int64

// requestOn sends a request on a connection and reads its response. hand-in requests are POST, others GET.
func requestOn(c net.Conn, in *bufio.Reader, class string, timeoutMs int, body string) (*http.Response, string, error) {
	method := "GET"
	if class == "hand-in" {
		method = "POST"
	}
	_, err := fmt.Fprintf(c,
		"%s /api?key=7f%%33 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: r%d\r\nX-Priority-Class: %s\r\n"+
			"X-Timeout-Ms: %d\r\nX-Cost: 1000\r\nContent-Length: %d\r\n\r\n%s",
		method, lastRequestID.Add(1), class, timeoutMs, len(body), body)
	if err != nil {
		return nil, "", err
	}
	return readFinalResponse(in)
}

// readFinalResponse reads a response with its body.
func readFinalResponse(in *bufio.Reader) (*http.Response, string, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// mustRespond returns a function that fails the test unless the response has the given status.
func mustRespond(t *testing.T, status int) func(*http.Response, string, error) (*http.Response, string) {
	t.Helper()
	return func(resp *http.Response, body string, err error) (*http.Response, string) {
		t.Helper()
		if err != nil {
			t.Fatalf("request got no complete response: %v, want status %d", err, status)
		}
		if resp.StatusCode != status {
			t.Fatalf("response status %d, want %d; body %.200q", resp.StatusCode, status, body)
		}
		return resp, body
	}
}

// countingBackend serves every request and sends it to got, with its body read. It returns the backend's address.
func countingBackend(t *testing.T, got chan<- *http.Request) string {
	return rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			req.Body = io.NopCloser(strings.NewReader(string(body)))
			got <- req
			writeText(c, served)
		}
	})
}
