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

// newAdmissionStage starts a stage with admission control by the given settings.
func newAdmissionStage(t *testing.T, text string, sockets int) *stage {
	path := filepath.Join(t.TempDir(), "admission.toml")
	if err := os.WriteFile(path, []byte("version = 1\n"+text), 0o600); err != nil {
		t.Fatal(err)
	}
	return newStage(t, twoServices, func(c *Config) { c.Sockets, c.Admission, c.MemoryMB = sockets, path, 32 })
}

func clientFrom(t *testing.T, from string) *http.Client {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c := &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 8}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// A flood of incomplete heads from many addresses takes no place from clients that send requests, on reused connections
// and on new ones, and doesn't end a request in flight.
func TestFloodOfIncompleteHeadsLeavesRoomForClients(t *testing.T) {
	s := newAdmissionStage(t, "", 128) // 57 places
	kept := clientFrom(t, "127.0.0.1")
	for range 4 {
		if status, body := s.request(kept, "x.org", "/api", "hand-in", 5000); status != 200 {
			t.Fatalf("before: %d %q", status, body)
		}
	}
	s.stall["slow-5"].Store(1200)
	inHand := make(chan int, 1)
	go func() {
		status, _ := s.request(clientFrom(t, "127.0.7.7"), "pay.example.org", "/api", "hand-in", 5000)
		inHand <- status
	}()
	var all sync.WaitGroup
	stop := make(chan struct{})
	var opened atomic.Int64
	for k := range 8 {
		all.Go(func() {
			var mine []net.Conn
			for i := 0; ; i++ {
				select {
				case <-stop:
					for _, c := range mine {
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
				if mine = append(mine, c); len(mine) > 100 {
					_ = mine[0].Close()
					mine = mine[1:]
				}
			}
		})
	}
	for begun := time.Now(); opened.Load() < 200; time.Sleep(time.Millisecond) {
		if time.Since(begun) > patience {
			t.Fatal("the flood does not come")
		}
	}
	for i := range 40 {
		if status, body := s.request(kept, "x.org", "/api", "hand-in", 5000); status != 200 {
			t.Errorf("on a kept connection: %d %q", status, body)
		}
		// A new client that is delayed between its connect and its head for longer than the grace period can't be told
		// from the flood and may be evicted. It connects again and is served at last.
		stranger := clientFrom(t, fmt.Sprintf("127.2.%d.1", i))
		for begun := time.Now(); ; {
			status, body := s.request(stranger, "x.org", "/api", "hand-in", 5000)
			if status == 200 {
				break
			}
			if time.Since(begun) > patience {
				t.Fatalf("on new ones, again and again: %d %q", status, body)
			}
		}
	}
	checkAdminDuringFlood(t, s.proxy)
	if status := <-inHand; status != 200 {
		t.Errorf("the request in flight: %d", status)
	}
	close(stop)
	all.Wait()
	r := s.proxy.conns.admission.Report()
	t.Logf("%+v", r.Counts)
	if r.Open > r.MaxConns || r.Rejected["room"]+r.Rejected["full"] == 0 || len(r.Top) == 0 {
		t.Errorf("%+v", r)
	}
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if r = s.proxy.conns.admission.Report(); r.Open <= 60 {
			break
		}
		if time.Since(begun) > patience {
			t.Fatalf("%d places are taken after all have left", r.Open)
		}
	}
}

// An operator's block rejects an address with a response, and expires. SIGHUP takes in new settings, and keeps the old
// ones if the new are invalid.
func TestAdmissionBlocksAndReload(t *testing.T) {
	s := newAdmissionStage(t, "", 128)
	op := adminBackend{s.proxy}
	if err := op.Block("127.3.0.0/16", time.Hour); err != nil {
		t.Fatal(err)
	}
	if status, _ := s.request(clientFrom(t, "127.3.0.9"), "x.org", "/api", "hand-in", 5000); status == 200 {
		t.Error("a blocked address was served")
	}
	if status, _ := s.request(clientFrom(t, "127.4.0.9"), "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("another address: %d", status)
	}
	if err := op.Block("nobody", time.Hour); err == nil || !strings.Contains(err.Error(), "nobody") {
		t.Errorf("a block of nobody: %v", err)
	}
	if err := op.Unblock("127.3.0.0/16"); err != nil {
		t.Error(err)
	}
	if status, _ := s.request(clientFrom(t, "127.3.0.9"), "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("after the block: %d", status)
	}
	for text, want := range map[string]int{"version = 1\n[connections]\nplaces = 7\n": 7,
		"version = 1\n[connections]\nplaces = -7\n": 57} {
		if err := os.WriteFile(s.proxy.cfg.Admission, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		err := s.proxy.reloadAdmission()
		if r, _ := op.Admission(); (err == nil) != (want == 7) || want == 7 && r.(admissionReport).MaxConns != want {
			t.Errorf("%q: %v, %+v", text, err, r)
		}
	}
	if _, err := (adminBackend{&Proxy{conns: newClientConns(1)}}).Admission(); err == nil {
		t.Error("without admission")
	}
	if a := netip.MustParsePrefix("127.3.0.0/16"); s.proxy.conns.admission.Unblock(a) == nil {
		t.Error("a block is there yet")
	}
}

// Requests in flight are limited where the file says so, and a rejection has a Retry-After.
func TestRequestsInFlightAreLimited(t *testing.T) {
	s := newAdmissionStage(t, "[requests]\nin_hand = 4\nretry_after = \"1s\"\n", 512)
	s.stall["fast-5"].Store(300)
	var all sync.WaitGroup
	var served, refused atomic.Int64
	client := clientFrom(t, "127.0.0.1")
	for range 12 {
		all.Go(func() {
			switch status, _ := s.request(client, "x.org", "/api", "hand-in", 5000); status {
			case 200:
				served.Add(1)
			case 503:
				refused.Add(1)
			}
		})
	}
	all.Wait()
	if served.Load() < 4 || served.Load()+refused.Load() != 12 || refused.Load() < 4 {
		t.Errorf("%d served, %d refused", served.Load(), refused.Load())
	}
	if status, _ := s.request(client, "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("after all: %d", status)
	}
}

// Slow bodies of one address don't use up the memory of all: other clients are served, and so is that address once it
// has released some.
func TestSlowBodiesOfOneAddressAreLimited(t *testing.T) {
	s := newAdmissionStage(t, "[connections]\nshort = 0.6\n", 512)
	var slow []net.Conn
	refused := 0
	for i := range 60 { // 64 would fill the room
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 5, 0, 1)}}
		c, err := d.Dial("tcp4", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c,
			"POST /api HTTP/1.1\r\nHost: x.org\r\nX-Request-Id: slow-%d\r\nX-Priority-Class: hand-in\r\n"+
				"X-Timeout-Ms: 5000\r\nContent-Length: %d\r\n\r\nx", i, maxBufferedBody)
		slow = append(slow, c)
	}
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		if refused = int(s.proxy.conns.admission.Report().BodyRejections); refused > 0 {
			break
		}
		if time.Since(begun) > patience {
			t.Fatalf("no body was refused: %+v", s.proxy.conns.admission.Report())
		}
	}
	if status, body := s.request(clientFrom(t, "127.6.0.1"), "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("another address: %d %q", status, body)
	}
	for _, c := range slow {
		_ = c.Close()
	}
	for begun := time.Now(); s.proxy.conns.admission.Report().Bytes > 0; time.Sleep(time.Millisecond) {
		if time.Since(begun) > patience {
			t.Fatalf("bytes are left: %+v", s.proxy.conns.admission.Report())
		}
	}
	if status, body := s.request(clientFrom(t, "127.5.0.1"), "x.org", "/api", "hand-in", 5000); status != 200 {
		t.Errorf("the same address after it: %d %q", status, body)
	}
}

// checkAdminDuringFlood has an operator read the admission report and block a part of the flood: admin connections
// don't compete with clients for places.
func checkAdminDuringFlood(t *testing.T, p *Proxy) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { ended <- admin.New(adminBackend{p}, slog.New(slog.DiscardHandler)).Serve(ctx, l) }()
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	for call, want := range map[string]string{"ADMISSION": `"top":[{"address":"127.`,
		"BLOCK 127.1.0.0/16 1m": "200 127.1.0.0/16", "PING": "200 serving"} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(patience))
		_, _ = fmt.Fprintf(c, "%s\n", call)
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil || !strings.Contains(line, want) {
			t.Errorf("%s: %.200q, %v", call, line, err)
		}
		_ = c.Close()
	}
	if len(p.conns.admission.Report().Blocks) != 1 {
		t.Error("the block does not hold")
	}
}
