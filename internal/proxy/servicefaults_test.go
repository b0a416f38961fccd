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

// memberWithKind returns a list entry for a backend of a machine type.
func memberWithKind(id, addr, kind, state string) string {
	return strings.Replace(memberText(id, addr, state), `"fast-5"`, fmt.Sprintf("%q", kind), 1)
}

// A service added by a reload checks the health of its backends before requests are routed to it. A service whose
// discovery or backends are down is started too, but only after readinessWait.
func TestNewServiceChecksHealthFirst(t *testing.T) {
	s := newProxyFixture(t, strings.Split(twoServices, "[[service]]\nname = \"settlement\"")[0]+`[[route]]
name = "all"
path_prefix = "/api"
to = [{ service = "dispatch" }]
`, func(c *Config) { c.Decision.Capabilities.HealthChecks = true })
	if status, body := s.request(http.DefaultClient, "pay.example.org", "/api", "hand-in", 5000); status != 200 ||
		body != "fast-5" {
		t.Fatalf("request before the reload: status %d, body %q; want 200, \"fast-5\"", status, body)
	}
	if !s.reload(twoServices) {
		t.Fatal("the reload was rejected, want it accepted")
	}
	if status, body := s.request(http.DefaultClient, "pay.example.org", "/api", "hand-in", 5000); status != 200 ||
		body != "slow-5" {
		t.Errorf("request after the reload: status %d, body %q; want 200, \"slow-5\"", status, body)
	}
	if path := s.first["slow-5"].Load(); path == nil || *path == "/api" {
		t.Error("the first request to the new service's backend was not a health check")
	}
	startedAt := time.Now()
	if !s.reload(strings.Replace(twoServices, `kinds = ["slow-5"]`, `kinds = ["no-such"]`, 1)) {
		t.Fatal("the reload with a service without backends was rejected, want it accepted")
	}
	if took := time.Since(startedAt); took < readinessWait {
		t.Errorf("the reload with a service without backends took %v, want at least readinessWait (%v)", took, readinessWait)
	}
}

// A discovery address that is down affects only the service that uses it, until discovery is back.
func TestDiscoveryOfOneServiceIsDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening on a free port: %v", err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	s := newProxyFixture(t, strings.Replace(twoServices, `kinds = ["slow-5"]`, fmt.Sprintf("discovery = %q", addr), 1), nil)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if status, _ := s.request(client, "pay.example.org", "/api", "hand-in", 400); status != 503 {
		t.Errorf("request for the service without a known backend: status %d, want 503", status)
	}
	if status, body := s.request(client, "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("request for the other service: status %d, body %q; want 200", status, body)
	}
	list := listText(9, true, memberWithKind("id-slow", s.backend["slow-5"], "slow-5", "active"))
	if l, err = net.Listen("tcp", addr); err != nil {
		t.Skipf("another process has taken the port of discovery: %v", err)
	}
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "9" {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, list)
	})}
	go func() { _ = discovery.Serve(l) }()
	defer func() { _ = discovery.Close() }()
	for start := time.Now(); ; {
		if status, body := s.request(client, "pay.example.org", "/api", "hand-in", 1000); status == 200 &&
			body == "slow-5" {
			break
		}
		if time.Since(start) > patience {
			t.Fatalf("the service does not respond %v after its discovery is back", patience)
		}
	}
}

// If two services share a backend, neither sends it a new request once it drains.
func TestSharedBackendDrainsForBothServices(t *testing.T) {
	s := newProxyFixture(t, strings.NewReplacer(`kinds = ["fast-5"]`, "", `kinds = ["slow-5"]`, "").Replace(twoServices), nil)
	s.lists <- listText(2, false, memberWithKind("id-slow", s.backend["slow-5"], "slow-5", "leaving"))
	time.Sleep(500 * time.Millisecond)
	before := s.served["slow-5"].Load()
	for i := range 20 {
		if status, body := s.request(http.DefaultClient, []string{"x.org", "pay.example.org"}[i%2], "/api", "hand-in",
			5000); status != 200 || body != "fast-5" {
			t.Errorf("request after the drain: status %d, body %q; want 200, \"fast-5\"", status, body)
		}
	}
	if got := s.served["slow-5"].Load(); got != before {
		t.Errorf("the draining backend got %d more requests, want 0", got-before)
	}
}

// A reload that removes a service does not interrupt its long response in flight.
func TestLongResponseOutlivesItsService(t *testing.T) {
	s := newProxyFixture(t, twoServices, nil)
	req, err := http.NewRequest("POST", "http://"+s.addr+"/api/long", nil)
	if err != nil {
		t.Fatalf("NewRequest(): %v", err)
	}
	req.Host = "pay.example.org"
	req.Header = http.Header{"X-Request-Id": {"long"}, "X-Priority-Class": {"hand-in"}, "X-Timeout-Ms": {"5000"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("request to the proxy: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if !s.reload(strings.ReplaceAll(twoServices, "settlement", "payouts")) {
		t.Fatal("the reload was rejected, want it accepted")
	}
	if status, body := s.request(http.DefaultClient, "pay.example.org", "/api", "hand-in", 5000); status != 200 ||
		body != "slow-5" {
		t.Errorf("request for the service that replaced it: status %d, body %q; want 200, \"slow-5\"", status, body)
	}
	close(s.release)
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(body), "end") || len(body) != 2*maxBufferedBody+3 {
		t.Errorf("long response of the removed service: %d bytes, error %v; want all %d bytes", len(body), err,
			2*maxBufferedBody+3)
	}
}

// A panic or a blocked event in one service's engine does not affect the other service.
func TestFaultOfOneServiceStaysThere(t *testing.T) {
	s := newProxyFixture(t, twoServices, nil)
	faulty := s.proxy.services.current.Load().byName["settlement"]
	stalled := make(chan struct{})
	faulty.engine.Post(func() { panic("out of order") })
	faulty.engine.Post(func() { <-stalled })
	for range 20 {
		if status, body := s.request(http.DefaultClient, "x.org", "/api", "hand-in", 5000); status != 200 {
			t.Fatalf("request for the other service: status %d, body %q; want 200", status, body)
		}
	}
	close(stalled)
	if status, body := s.request(http.DefaultClient, "pay.example.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("request for the service after its fault: status %d, body %q; want 200", status, body)
	}
}

// During a hot restart two processes share the limits. A reload keeps this process at its half; it has the full limits
// again once the other process is gone.
func TestReloadDuringHotRestart(t *testing.T) {
	s := newProxyFixture(t, twoServices, nil)
	conns := func() int64 { return s.proxy.services.limits.Report().Conns.Total }
	all := conns()
	s.proxy.services.setHalfCapacity(true)
	if !s.reload(strings.ReplaceAll(twoServices, "settlement", "payouts")) {
		t.Fatal("the reload was rejected, want it accepted")
	}
	if got := conns(); got != all/2 {
		t.Errorf("proxy: limit of %d connections while two processes share %d, want half", got, all)
	}
	for _, svc := range s.proxy.services.current.Load().byName {
		if got := svc.pool.maxOpen; got != int(all/2) {
			t.Errorf("service %s: limit of %d connections while two processes share %d, want half", svc.name, got, all)
		}
	}
	s.proxy.services.setHalfCapacity(false)
	if got := conns(); got != all {
		t.Errorf("proxy: limit of %d connections after the hot restart, want %d", got, all)
	}
}

// A reload by an operator reads the file of services again and returns a summary. An invalid file is rejected with the
// reason, and the previous one stays in use.
func TestRoutesReloadedByOperator(t *testing.T) {
	s := newProxyFixture(t, twoServices, nil)
	admin := adminBackend{s.proxy}
	s.write(strings.ReplaceAll(twoServices, "settlement", "payouts"))
	if text, err := admin.ReloadRoutes(); err != nil || text != "2 services, 2 routes" {
		t.Errorf("ReloadRoutes() = %q, error %v; want %q", text, err, "2 services, 2 routes")
	}
	s.write(strings.Replace(twoServices, "cap = 0.5", "cap = 7.0", 1))
	if _, err := admin.ReloadRoutes(); err == nil || !strings.Contains(err.Error(), "services.toml") ||
		!strings.Contains(err.Error(), "cap 7") {
		t.Errorf("ReloadRoutes() of an invalid file: error %v, want one that names services.toml and cap 7", err)
	}
	if s.proxy.services.current.Load().byName["payouts"] == nil || s.proxy.counters.ReloadsFailed.Load() != 1 {
		t.Errorf("after the failed reload: service payouts known: %v, ReloadsFailed = %d; want true and 1",
			s.proxy.services.current.Load().byName["payouts"] != nil, s.proxy.counters.ReloadsFailed.Load())
	}
}

// The services share a quota of attempts a second: a service that uses all it can get leaves the other its share. Its
// requests beyond that are rejected with status 503 and a Retry-After.
func TestAttemptQuotaIsShared(t *testing.T) {
	s := newProxyFixture(t, strings.Replace(twoServices, "version = 1", "version = 1\n[limits]\nattempts = 100.0", 1), nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	defer client.CloseIdleConnections()
	var clients sync.WaitGroup
	var served, rejected atomic.Int64
	stop := make(chan struct{})
	startedAt := time.Now()
	for range 8 {
		clients.Go(func() {
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
					rejected.Add(1)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	for range 20 { // 20 a second, well within its share of 40
		if status, body := s.request(client, "x.org", "/api", "hand-in", 5000); status != 200 {
			t.Errorf("request for service dispatch: status %d, body %q; want 200", status, body)
		}
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	limit := 50*time.Since(startedAt).Seconds() + 20 // the service's cap is half of the quota, plus a burst
	if n := float64(served.Load()); n > limit || n < 10 || rejected.Load() == 0 {
		t.Errorf("requests for service settlement: %v served, %d rejected; want 10 to %v served and some rejected", n,
			rejected.Load(), limit)
	}
}
