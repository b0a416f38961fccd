package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func memberOf(id, addr, kind, state string) string {
	return strings.Replace(memberText(id, addr, state), `"fast-5"`, fmt.Sprintf("%q", kind), 1)
}

// A service that a reload adds checks the health of its backends before requests are routed to it; one whose discovery
// or backends are down starts all the same, soon.
func TestNewServiceChecksHealthFirst(t *testing.T) {
	s := newProxyFixture(t, strings.Split(twoServices, "[[service]]\nname = \"settlement\"")[0]+`[[route]]
name = "all"
path_prefix = "/api"
to = [{ service = "dispatch" }]
`, func(c *Config) { c.Decision.Capabilities.HealthChecks = true })
	if status, body := s.request(http.DefaultClient, "pay.example.org", "/api", "hand-in", 5000); status != 200 ||
		body != "fast-5" {
		t.Fatalf("before: %d %q", status, body)
	}
	if !s.reload(twoServices) {
		t.Fatal("the change was not taken")
	}
	if status, body := s.request(http.DefaultClient, "pay.example.org", "/api", "hand-in", 5000); status != 200 ||
		body != "slow-5" {
		t.Errorf("after: %d %q", status, body)
	}
	if p := s.first["slow-5"].Load(); p == nil || *p == "/api" {
		t.Error("the new service's server got a request before any probe")
	}
	began := time.Now()
	if !s.reload(strings.Replace(twoServices, `kinds = ["slow-5"]`, `kinds = ["no-such"]`, 1)) {
		t.Fatal("a service without servers was not taken")
	}
	if took := time.Since(began); took < readinessWait {
		t.Errorf("it began after %v", took)
	}
}

// A discovery address that is down affects only the service that uses it, until it is back.
func TestDiscoveryOfOneServiceIsDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	s := newProxyFixture(t, strings.Replace(twoServices, `kinds = ["slow-5"]`, fmt.Sprintf("discovery = %q", addr), 1), nil)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if status, _ := s.request(client, "pay.example.org", "/api", "hand-in", 400); status != 503 {
		t.Errorf("with nobody known: %d", status)
	}
	if status, body := s.request(client, "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("the other service: %d %q", status, body)
	}
	list := listText(9, true, memberOf("id-slow", s.backend["slow-5"], "slow-5", "active"))
	if l, err = net.Listen("tcp", addr); err != nil {
		t.Skipf("the port was taken meanwhile: %v", err)
	}
	back := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "9" {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, list)
	})}
	go func() { _ = back.Serve(l) }()
	defer func() { _ = back.Close() }()
	for start := time.Now(); ; {
		if status, body := s.request(client, "pay.example.org", "/api", "hand-in", 1000); status == 200 &&
			body == "slow-5" {
			break
		}
		if time.Since(start) > patience {
			t.Fatal("it is not served after its register is back")
		}
	}
}

// Two services that share a backend both send it no new request once it drains.
func TestSharedBackendDrainsForBothServices(t *testing.T) {
	s := newProxyFixture(t, strings.NewReplacer(`kinds = ["fast-5"]`, "", `kinds = ["slow-5"]`, "").Replace(twoServices), nil)
	s.lists <- listText(2, false, memberOf("id-slow", s.backend["slow-5"], "slow-5", "leaving"))
	time.Sleep(500 * time.Millisecond)
	before := s.served["slow-5"].Load()
	for i := range 20 {
		if status, body := s.request(http.DefaultClient, []string{"x.org", "pay.example.org"}[i%2], "/api", "hand-in",
			5000); status != 200 || body != "fast-5" {
			t.Errorf("%d %q", status, body)
		}
	}
	if got := s.served["slow-5"].Load(); got != before {
		t.Errorf("the server that drains got %d more", got-before)
	}
}

// A reload that removes a service lets its long response in flight come to its end.
func TestLongResponseOutlivesItsService(t *testing.T) {
	s := newProxyFixture(t, twoServices, nil)
	req, err := http.NewRequest("POST", "http://"+s.addr+"/api/long", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "pay.example.org"
	req.Header = http.Header{"X-Request-Id": {"long"}, "X-Priority-Class": {"hand-in"}, "X-Timeout-Ms": {"5000"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if !s.reload(strings.ReplaceAll(twoServices, "settlement", "payouts")) {
		t.Fatal("the change was not taken")
	}
	if status, body := s.request(http.DefaultClient, "pay.example.org", "/api", "hand-in", 5000); status != 200 ||
		body != "slow-5" {
		t.Errorf("the service in its place: %d %q", status, body)
	}
	close(s.release)
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(body), "end") || len(body) != 2*maxBufferedBody+3 {
		t.Errorf("%d bytes, %v", len(body), err)
	}
}

// A panic or an endless event in one engine does not affect the other service.
func TestFaultOfOneServiceStaysThere(t *testing.T) {
	s := newProxyFixture(t, twoServices, nil)
	sick := s.proxy.services.current.Load().byName["settlement"]
	stalled := make(chan struct{})
	sick.engine.Post(func() { panic("out of order") })
	sick.engine.Post(func() { <-stalled })
	for range 20 {
		if status, body := s.request(http.DefaultClient, "x.org", "/api", "hand-in", 5000); status != 200 {
			t.Fatalf("%d %q", status, body)
		}
	}
	close(stalled)
	if status, body := s.request(http.DefaultClient, "pay.example.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("after it: %d %q", status, body)
	}
}

// During a hot restart, when two processes share the limits, a reload keeps to this process's half; it has all again
// when the other process is gone.
func TestReloadDuringHotRestart(t *testing.T) {
	s := newProxyFixture(t, twoServices, nil)
	conns := func() int64 { return s.proxy.services.limits.Report().Conns.Total }
	whole := conns()
	s.proxy.services.setHalfCapacity(true)
	if !s.reload(strings.ReplaceAll(twoServices, "settlement", "payouts")) {
		t.Fatal("the change was not taken")
	}
	if got := conns(); got != whole/2 {
		t.Errorf("%d connections of %d while limits are shared", got, whole)
	}
	for _, svc := range s.proxy.services.current.Load().byName {
		if got := svc.pool.maxOpen; got != int(whole/2) {
			t.Errorf("%s: %d connections", svc.name, got)
		}
	}
	s.proxy.services.setHalfCapacity(false)
	if got := conns(); got != whole {
		t.Errorf("%d connections of %d after the upgrade", got, whole)
	}
}

// An operator's reload reads the file again and returns a summary; an invalid file is rejected with the reason, and the
// old one stays.
func TestRoutesReloadedByOperator(t *testing.T) {
	s := newProxyFixture(t, twoServices, nil)
	op := adminBackend{s.proxy}
	s.write(strings.ReplaceAll(twoServices, "settlement", "payouts"))
	if text, err := op.ReloadRoutes(); err != nil || text != "2 services, 2 routes" {
		t.Errorf("%q, %v", text, err)
	}
	s.write(strings.Replace(twoServices, "cap = 0.5", "cap = 7.0", 1))
	if _, err := op.ReloadRoutes(); err == nil || !strings.Contains(err.Error(), "services.toml") ||
		!strings.Contains(err.Error(), "cap 7") {
		t.Errorf("a bad file: %v", err)
	}
	if s.proxy.services.current.Load().byName["payouts"] == nil || s.proxy.counters.ReloadsFailed.Load() != 1 {
		t.Error("the file before does not hold")
	}
}

// Attempts a second are shared: a service that uses all it can get leaves the other its part, and a rejection has a
// Retry-After.
func TestAttemptQuotaIsShared(t *testing.T) {
	s := newProxyFixture(t, strings.Replace(twoServices, "version = 1", "version = 1\n[limits]\nattempts = 100.0", 1), nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	var served, refused atomic.Int64
	stop := make(chan struct{})
	began := time.Now()
	for range 8 {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				switch status, _ := s.request(client, "pay.example.org", "/api", "hand-in", 5000); status {
				case 200:
					served.Add(1)
				case 503:
					refused.Add(1)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	for range 20 { // 20 a second: well within its 40
		if status, body := s.request(client, "x.org", "/api", "hand-in", 5000); status != 200 {
			t.Errorf("dispatch: %d %q", status, body)
		}
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	all.Wait()
	most := 50*time.Since(began).Seconds() + 20 // its cap is a half, and a burst
	if n := float64(served.Load()); n > most || n < 10 || refused.Load() == 0 {
		t.Errorf("%v served, %d refused; %v at most", n, refused.Load(), most)
	}
}
