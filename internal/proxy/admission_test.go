package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/internal/admin"
)

// newAdmissionFixture starts a proxy with two services and admission control. text is the admission file without its
// version line, sockets the limit on descriptors.
func newAdmissionFixture(t *testing.T, text string, sockets int) *proxyFixture {
	path := filepath.Join(t.TempDir(), "admission.toml")
	if err := os.WriteFile(path, []byte("version = 1\n"+text), 0o600); err != nil {
		t.Fatalf("writing the admission file: %v", err)
	}
	return newProxyFixture(t, twoServices, func(c *Config) { c.Sockets, c.Admission, c.MemoryMB = sockets, path, 32 })
}

// clientFrom returns an HTTP client whose connections have the given source address.
func clientFrom(t *testing.T, source string) *http.Client {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	c := &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 8}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// A flood of incomplete request heads from many addresses must not displace clients that send complete requests on
// reused or new connections, and must not end a request in flight.
func TestFloodOfIncompleteHeadsLeavesRoomForClients(t *testing.T) {
	s := newAdmissionFixture(t, "", 128) // room for 57 client connections
	kept := clientFrom(t, "127.0.0.1")
	for range 4 {
		if status, body := s.request(kept, "x.org", "/api", "hand-in", 5000); status != 200 {
			t.Fatalf("request on a kept connection before the flood = status %d, body %q, want 200", status, body)
		}
	}
	s.stall["slow-5"].Store(1200)
	inFlightStatus := make(chan int, 1)
	go func() {
		status, _ := s.request(clientFrom(t, "127.0.7.7"), "pay.example.org", "/api", "hand-in", 5000)
		inFlightStatus <- status
	}()
	var flooders sync.WaitGroup
	stop := make(chan struct{})
	var opened atomic.Int64
	for k := range 8 {
		flooders.Go(func() {
			var conns []net.Conn
			for i := 0; ; i++ {
				select {
				case <-stop:
					for _, c := range conns {
						_ = c.Close()
					}
					return
				case <-time.After(4 * time.Millisecond):
				}
				d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 1, byte(k), byte(i%100))},
					Timeout: time.Second}
				c, err := d.Dial("tcp4", s.addr)
				if err != nil {
					continue
				}
				_, _ = io.WriteString(c, "POST /api HTTP/1.1\r\nHost: x")
				opened.Add(1)
				if conns = append(conns, c); len(conns) > 100 {
					_ = conns[0].Close()
					conns = conns[1:]
				}
			}
		})
	}
	for startedAt := time.Now(); opened.Load() < 200; time.Sleep(time.Millisecond) {
		if time.Since(startedAt) > patience {
			t.Fatalf("the flood opened %d connections within %v, want 200", opened.Load(), patience)
		}
	}
	for i := range 40 {
		if status, body := s.request(kept, "x.org", "/api", "hand-in", 5000); status != 200 {
			t.Errorf("request on a kept connection during the flood = status %d, body %q, want 200", status, body)
		}
		// A new client that is delayed between connecting and sending its head for longer than the grace period can't
		// be distinguished from the flood and may be evicted. It must be served after it connects again.
		newClient := clientFrom(t, fmt.Sprintf("127.2.%d.1", i))
		for startedAt := time.Now(); ; {
			status, body := s.request(newClient, "x.org", "/api", "hand-in", 5000)
			if status == 200 {
				break
			}
			if time.Since(startedAt) > patience {
				t.Fatalf("requests on new connections during the flood got no status 200 within %v; last: status %d, body %q",
					patience, status, body)
			}
		}
	}
	checkAdminDuringFlood(t, s.proxy)
	if status := <-inFlightStatus; status != 200 {
		t.Errorf("the request that was in flight during the flood = status %d, want 200", status)
	}
	close(stop)
	flooders.Wait()
	r := s.proxy.conns.admission.Report()
	t.Logf("admission counts after the flood: %+v", r.Counts)
	if r.Open > r.MaxConns || r.Rejected["room"]+r.Rejected["full"] == 0 || len(r.Top) == 0 {
		t.Errorf("admission report after the flood = %+v, want Open <= MaxConns, rejections and top addresses", r)
	}
	for startedAt := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if r = s.proxy.conns.admission.Report(); r.Open <= 60 {
			break
		}
		if time.Since(startedAt) > patience {
			t.Fatalf("%d connections are counted as open %v after the flood ended, want at most 60", r.Open, patience)
		}
	}
}

// A block set by an operator rejects requests from the blocked client addresses until the operator removes it. A
// reload applies new admission settings, and keeps the old ones if the new ones are invalid.
func TestAdmissionBlocksAndReload(t *testing.T) {
	s := newAdmissionFixture(t, "", 128)
	op := adminBackend{s.proxy}
	if err := op.Block("127.3.0.0/16", time.Hour); err != nil {
		t.Fatalf("Block(127.3.0.0/16, 1h) = %v, want nil", err)
	}
	if status, _ := s.request(clientFrom(t, "127.3.0.9"), "x.org", "/api", "hand-in", 5000); status == 200 {
		t.Error("request from 127.3.0.9 while 127.3.0.0/16 is blocked = status 200, want a rejection")
	}
	if status, _ := s.request(clientFrom(t, "127.4.0.9"), "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("request from 127.4.0.9 while 127.3.0.0/16 is blocked = status %d, want 200", status)
	}
	if err := op.Block("nobody", time.Hour); err == nil || !strings.Contains(err.Error(), "nobody") {
		t.Errorf("Block(\"nobody\") = %v, want an error that contains \"nobody\"", err)
	}
	if err := op.Unblock("127.3.0.0/16"); err != nil {
		t.Errorf("Unblock(127.3.0.0/16) = %v, want nil", err)
	}
	if status, _ := s.request(clientFrom(t, "127.3.0.9"), "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("request from 127.3.0.9 after the block was removed = status %d, want 200", status)
	}
	for text, want := range map[string]int{"version = 1\n[connections]\nplaces = 7\n": 7,
		"version = 1\n[connections]\nplaces = -7\n": 57} {
		if err := os.WriteFile(s.proxy.cfg.Admission, []byte(text), 0o600); err != nil {
			t.Fatalf("writing the admission file: %v", err)
		}
		err := s.proxy.reloadAdmission()
		if r, _ := op.Admission(); (err == nil) != (want == 7) || want == 7 && r.(admissionReport).MaxConns != want {
			t.Errorf("reloadAdmission with %q = %v, report %+v; want nil and MaxConns 7 for places = 7, an error for -7",
				text, err, r)
		}
	}
	if _, err := (adminBackend{&Proxy{conns: newClientConns(1)}}).Admission(); err == nil {
		t.Error("Admission() of a proxy without admission control returned no error")
	}
	if a := netip.MustParsePrefix("127.3.0.0/16"); s.proxy.conns.admission.Unblock(a) == nil {
		t.Errorf("Unblock(%v) of a removed block = nil, want an error", a)
	}
}

// The admission file can limit the requests in flight: requests beyond the limit are rejected with status 503 and a
// Retry-After.
func TestRequestsInFlightAreLimited(t *testing.T) {
	s := newAdmissionFixture(t, "[requests]\nin_hand = 4\nretry_after = \"1s\"\n", 512)
	s.stall["fast-5"].Store(300)
	var requests sync.WaitGroup
	var served, rejected atomic.Int64
	client := clientFrom(t, "127.0.0.1")
	for range 12 {
		requests.Go(func() {
			switch status, _ := s.request(client, "x.org", "/api", "hand-in", 5000); status {
			case 200:
				served.Add(1)
			case 503:
				rejected.Add(1)
			}
		})
	}
	requests.Wait()
	if served.Load() < 4 || served.Load()+rejected.Load() != 12 || rejected.Load() < 4 {
		t.Errorf("12 concurrent requests, limit 4: %d served, %d rejected; want at least 4 of each and no other result",
			served.Load(), rejected.Load())
	}
	if status, _ := s.request(client, "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("request after all others have ended = status %d, want 200", status)
	}
}

// Slow request bodies from one address must not use up the memory for all bodies: other clients are still served, and
// so is that address once its bodies have ended.
func TestSlowBodiesOfOneAddressAreLimited(t *testing.T) {
	s := newAdmissionFixture(t, "[connections]\nshort = 0.6\n", 512)
	var slow []net.Conn
	rejected := 0
	for i := range 60 { // 64 would use up the memory for bodies
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 5, 0, 1)}}
		c, err := d.Dial("tcp4", s.addr)
		if err != nil {
			t.Fatalf("connecting slow client %d: %v", i, err)
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c,
			"POST /api HTTP/1.1\r\nHost: x.org\r\nX-Request-Id: slow-%d\r\nX-Priority-Class: hand-in\r\n"+
				"X-Timeout-Ms: 5000\r\nContent-Length: %d\r\n\r\nx", i, maxBufferedBody)
		slow = append(slow, c)
	}
	for startedAt := time.Now(); ; time.Sleep(time.Millisecond) {
		if rejected = int(s.proxy.conns.admission.Report().BodyRejections); rejected > 0 {
			break
		}
		if time.Since(startedAt) > patience {
			t.Fatalf("no body was rejected within %v after 60 slow bodies from one address; admission report %+v", patience,
				s.proxy.conns.admission.Report())
		}
	}
	if status, body := s.request(clientFrom(t, "127.6.0.1"), "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("request from another address beside slow bodies = status %d, body %q, want 200", status, body)
	}
	for _, c := range slow {
		_ = c.Close()
	}
	for startedAt := time.Now(); s.proxy.conns.admission.Report().Bytes > 0; time.Sleep(time.Millisecond) {
		if time.Since(startedAt) > patience {
			t.Fatalf("body bytes still reserved %v after all slow clients closed; admission report %+v, want Bytes 0", patience,
				s.proxy.conns.admission.Report())
		}
	}
	if status, body := s.request(clientFrom(t, "127.5.0.1"), "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("request from the same address after its slow bodies ended = status %d, body %q, want 200", status, body)
	}
}

// checkAdminDuringFlood reads the admission report and blocks part of the flood through an admin connection: admin
// connections don't count against the limit on client connections.
func checkAdminDuringFlood(t *testing.T, p *Proxy) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening for admin connections: %v", err)
	}
	go func() { ended <- admin.New(adminBackend{p}, slog.New(slog.DiscardHandler)).Serve(ctx, l) }()
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Serve of the admin server = %v, want nil", err)
		}
	}()
	for call, want := range map[string]string{"ADMISSION": `"top":[{"address":"127.`,
		"BLOCK 127.1.0.0/16 1m": "200 127.1.0.0/16", "PING": "200 serving"} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatalf("connecting to the admin server: %v", err)
		}
		_ = c.SetDeadline(time.Now().Add(patience))
		_, _ = fmt.Fprintf(c, "%s\n", call)
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil || !strings.Contains(line, want) {
			t.Errorf("admin command %s: reply %.200q, error %v; want a line that contains %q", call, line, err, want)
		}
		_ = c.Close()
	}
	if len(p.conns.admission.Report().Blocks) != 1 {
		t.Errorf("%d blocks after one BLOCK command, want 1", len(p.conns.admission.Report().Blocks))
	}
}
