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

// startControlPlane starts one control-plane server that divides a quota, and returns the fleet's file, with more at
// its end, and a function that ends the server.
func startControlPlane(t *testing.T, whole, burst float64, more ...string) (path string, end func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path = filepath.Join(dir, "fleet.toml")
	text := fmt.Sprintf("version = 1\nfleet = \"north\"\nlongest = \"1s\"\nstate = %q\n[[stewards]]\nname = "+
		"\"s1\"\nnumber = 1\naddress = %q\n"+
		"[[budgets]]\nname = \"attempts\"\nof = { counts = \"attempts\" }\nwhole = %f\nburst = %f\nlease = \"1s\"\n",
		filepath.Join(dir, "proxy"), l.Addr().String(), whole, burst) + strings.Join(more, "")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := api.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	s, err := server.New(server.Config{Fleet: f, Name: "s1", StateDir: t.TempDir(),
		TickInterval: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, l) }()
	end = func() {
		cancel()
		if err := <-ended; err != nil && !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
		ended <- nil
	}
	t.Cleanup(end)
	keys, err := f.LoadTLSKeys()
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: api.NewTransport(keys)}
	defer client.CloseIdleConnections()
	if err := f.Bootstrap(ctx, client, 1); err != nil {
		t.Fatal(err)
	}
	for by := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, err = f.SetQuotas(ctx, client, 0, nil); err == nil {
			return path, end
		}
		if time.Now().After(by) {
			t.Fatal(err)
		}
	}
}

func TestAttemptsUseFleetQuota(t *testing.T) {
	path, end := startControlPlane(t, 20, 2)
	got := make(chan *http.Request, 1024)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t),
		func(c *Config) { c.Fleet = path })
	begun := time.Now()
	served, refused := 0, 0
	for by := time.Now().Add(30 * time.Second); (served < 30 || refused < 30) &&
		time.Now().Before(by); time.Sleep(2 * time.Millisecond) {
		resp, _, err := p.request(t, "hand-in", 10000, "homework")
		if err != nil {
			t.Fatal(err)
		}
		switch resp.StatusCode {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		default:
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	if most := 20*time.Since(begun).Seconds() + 2; served < 30 || refused < 30 || float64(len(got)) > most {
		t.Errorf("%d served, %d refused, %d at the server of %.1f", served, refused, len(got), most)
	}
	for range len(got) {
		if token := (<-got).Header.Get("X-Fleet-Token"); !strings.HasPrefix(token, "n0;1.") {
			t.Errorf("token %q", token)
		}
	}
	end()
	time.Sleep(1100 * time.Millisecond) // the lease
	for range 20 {
		mustRespond(t, http.StatusServiceUnavailable)(p.request(t, "hand-in", 10000, "homework"))
	}
	r, err := adminBackend{p.proxy}.QuotaLeases()
	if err != nil {
		t.Fatal(err)
	}
	if report := r.(client.Status); len(got) > 0 || report.Quotas["attempts"].Granted > 0 || len(report.Faults) == 0 ||
		report.Faults[0].Advice == "" {
		t.Errorf("without a control plane: %d sent, %+v", len(got), report)
	}
}

func TestNoQuotaWithoutControlPlane(t *testing.T) {
	got := make(chan *http.Request, 1)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	mustRespond(t, 200)(p.request(t, "hand-in", 10000, "homework"))
	if h := within(t, got, "the backend got nothing").Header; h.Get("X-Fleet-Token") != "" {
		t.Errorf("%v", h)
	}
	if _, err := (adminBackend{p.proxy}).QuotaLeases(); err == nil || !strings.Contains(err.Error(), "--fleet") {
		t.Errorf("the console says %v", err)
	}
}

// Where the fleet's file configures TLS, quotas and policies both use it.
func TestControlPlaneUsesTLS(t *testing.T) {
	files := tlstest.NewCA(t).Issue(t, "steward", time.Hour)
	path, _ := startControlPlane(t, 20, 2, fmt.Sprintf("[tls]\ncertificate = %q\nkey = %q\nca = %q\n",
		files.Certificate, files.Key, files.CA))
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, make(chan *http.Request, 1)), "active")),
		newCatalog(t), func(c *Config) { c.Fleet = path })
	for by := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		r, err := adminBackend{p.proxy}.QuotaLeases() // an error until the proxy has joined it
		report, _ := r.(client.Status)
		if report.Answered > 0 && report.Policy != nil && report.Policy.Answered > 0 {
			return
		}
		if time.Now().After(by) {
			t.Fatalf("the control plane never answers: %v, %+v, policy %+v", err, report, report.Policy)
		}
	}
}
