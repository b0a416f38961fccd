package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/controlplane/server"
	"lapisspread/internal/tlskeys/tlstest"
)

// startControlPlane starts one control-plane server with a quota of rate attempts a second. It returns the path of the
// fleet's file, which ends with the lines in extra, and a function that stops the server.
func startControlPlane(t *testing.T, rate, burst float64, extra ...string) (path string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening for the control plane: %v", err)
	}
	dir := t.TempDir()
	path = filepath.Join(dir, "fleet.toml")
	text := fmt.Sprintf("version = 1\nfleet = \"north\"\nlongest = \"1s\"\nstate = %q\n[[stewards]]\nname = "+
		"\"s1\"\nnumber = 1\naddress = %q\n"+
		"[[budgets]]\nname = \"attempts\"\nof = { counts = \"attempts\" }\nwhole = %f\nburst = %f\nlease = \"1s\"\n",
		filepath.Join(dir, "proxy"), l.Addr().String(), rate, burst) + strings.Join(extra, "")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatalf("writing the fleet's file: %v", err)
	}
	f, err := api.Load(path)
	if err != nil {
		t.Fatalf("api.Load() of the fleet's file: %v", err)
	}
	s, err := server.New(server.Config{Fleet: f, Name: "s1", StateDir: t.TempDir(),
		TickInterval: 20 * time.Millisecond})
	if err != nil {
		t.Fatalf("server.New(): %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, l) }()
	stop = func() {
		cancel()
		if err := <-ended; err != nil && !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("the control-plane server's Run() ended with %v, want nil or ErrServerClosed", err)
		}
		ended <- nil
	}
	t.Cleanup(stop)
	keys, err := f.LoadTLSKeys()
	if err != nil {
		t.Fatalf("LoadTLSKeys(): %v", err)
	}
	client := &http.Client{Transport: api.NewTransport(keys)}
	defer client.CloseIdleConnections()
	if err := f.Bootstrap(ctx, client, 1); err != nil {
		t.Fatalf("Bootstrap() of the control plane: %v", err)
	}
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, err = f.SetQuotas(ctx, client, 0, nil); err == nil {
			return path, stop
		}
		if time.Now().After(deadline) {
			t.Fatalf("SetQuotas() still fails after 30 s: %v", err)
		}
	}
}

func TestAttemptsUseFleetQuota(t *testing.T) {
	path, stop := startControlPlane(t, 20, 2)
	got := make(chan *http.Request, 1024)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t),
		func(c *Config) { c.Fleet = path })
	startedAt := time.Now()
	served, rejected := 0, 0
	for deadline := time.Now().Add(30 * time.Second); (served < 30 || rejected < 30) &&
		time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		resp, _, err := p.request(t, "hand-in", 10000, "homework")
		if err != nil {
			t.Fatalf("request to the proxy: %v", err)
		}
		switch resp.StatusCode {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			rejected++
		default:
			t.Fatalf("request to the proxy: status %d, want 200 or 503", resp.StatusCode)
		}
	}
	if limit := 20*time.Since(startedAt).Seconds() + 2; served < 30 || rejected < 30 || float64(len(got)) > limit {
		t.Errorf("%d served, %d rejected, %d attempts at the backend; want at least 30, at least 30, and at most %.1f",
			served, rejected, len(got), limit)
	}
	for range len(got) {
		if token := (<-got).Header.Get("X-Fleet-Token"); !strings.HasPrefix(token, "n0;1.") {
			t.Errorf("X-Fleet-Token of an attempt is %q, want the prefix %q", token, "n0;1.")
		}
	}
	stop()
	time.Sleep(1100 * time.Millisecond) // until the lease has expired
	for range 20 {
		mustRespond(t, http.StatusServiceUnavailable)(p.request(t, "hand-in", 10000, "homework"))
	}
	r, err := adminBackend{p.proxy}.QuotaLeases()
	if err != nil {
		t.Fatalf("QuotaLeases(): %v", err)
	}
	if report := r.(client.Status); len(got) > 0 || report.Quotas["attempts"].Granted > 0 || len(report.Faults) == 0 ||
		report.Faults[0].Advice == "" {
		t.Errorf("without a control plane: %d attempts sent, QuotaLeases() = %+v; want no attempt, no granted units and a "+
			"fault with advice", len(got), report)
	}
}

func TestNoQuotaWithoutControlPlane(t *testing.T) {
	got := make(chan *http.Request, 1)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	mustRespond(t, 200)(p.request(t, "hand-in", 10000, "homework"))
	if h := within(t, got, "the backend got no request").Header; h.Get("X-Fleet-Token") != "" {
		t.Errorf("headers at the backend without --fleet are %v, want no X-Fleet-Token", h)
	}
	if _, err := (adminBackend{p.proxy}).QuotaLeases(); err == nil || !strings.Contains(err.Error(), "--fleet") {
		t.Errorf("QuotaLeases() without --fleet: error %v, want one that names --fleet", err)
	}
}

// If the fleet's file configures TLS, the clients for quotas and for policies both use it.
func TestControlPlaneUsesTLS(t *testing.T) {
	files := tlstest.NewCA(t).Issue(t, "steward", time.Hour)
	path, _ := startControlPlane(t, 20, 2, fmt.Sprintf("[tls]\ncertificate = %q\nkey = %q\nca = %q\n",
		files.Certificate, files.Key, files.CA))
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, make(chan *http.Request, 1)), "active")),
		newCatalog(t), func(c *Config) { c.Fleet = path })
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		r, err := adminBackend{p.proxy}.QuotaLeases() // an error until the proxy has joined the control plane
		report, _ := r.(client.Status)
		if report.Answered > 0 && report.Policy != nil && report.Policy.Answered > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("QuotaLeases() after 30 s with TLS = %+v, policy %+v, error %v; want answered calls for quotas and "+
				"policies", report, report.Policy, err)
		}
	}
}
