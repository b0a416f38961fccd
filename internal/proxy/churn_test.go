package proxy

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/internal/proxy/rawsocket"
)

// churningBackend is a backend that drains, is removed, is listed again, restarts at another address and sends valid
// and invalid responses while it gets requests.
type churningBackend struct {
	*churn
	name, state string
	addr        string
	listener    net.Listener
	conns       map[net.Conn]bool
	inactiveAt  time.Time // when the list first said that the backend is not active; zero while it is active
}

// churn is the state that the churning backends share.
type churn struct {
	mu      sync.Mutex
	rng     *rand.Rand
	valid   bool           // all responses are valid
	ran     map[string]int // complete POST requests that may have run, by request ID
	late    []string       // failure texts for requests that arrived long after their backend began to drain
	machine *lateness
	reached int // requests that reached a backend
}

// drainLimit is the time after which a draining backend must get no more requests. It is longer than the
// required 500 ms; the lateness of this machine is added to it.
const drainLimit = 1000 * time.Millisecond

// lateness is the longest delay seen so far between a timer's time and the wake-up of its goroutine. On a busy machine
// the proxy may miss a deadline without a defect.
type lateness struct{ worst atomic.Int64 } // in nanoseconds

func watchLateness(t *testing.T) *lateness {
	l, stop := &lateness{}, make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			startedAt := time.Now()
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			l.worst.Store(max(l.worst.Load(), int64(time.Since(startedAt)-time.Millisecond)))
		}
	})
	t.Cleanup(func() { close(stop); running.Wait() })
	return l
}

// extend returns bound plus the delay that the machine may add to 20 consecutive wake-ups.
func (l *lateness) extend(bound time.Duration) time.Duration {
	return bound + 20*time.Duration(l.worst.Load())
}

// open starts the backend at an address that was not used before. The lock must be held.
func (b *churningBackend) open(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Errorf("listening for backend %s: %v", b.name, err)
		return
	}
	b.listener, b.addr, b.conns = l, l.Addr().String(), map[net.Conn]bool{}
	go serveRaw(l, b.serve)
}

// kill stops the backend: its listener and connections are closed. The lock must be held.
func (b *churningBackend) kill() {
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
}

func (b *churningBackend) serve(_ int, c net.Conn, in *bufio.Reader) {
	b.mu.Lock()
	b.conns[c] = true
	b.mu.Unlock()
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if req.URL.Path == "/ping" {
			writeText(c, served)
			continue
		}
		b.mu.Lock()
		b.reached++
		if !b.inactiveAt.IsZero() && time.Since(b.inactiveAt) > b.machine.extend(drainLimit) {
			b.late = append(b.late, fmt.Sprintf("backend %s got request %s %v after it was listed as %s, want none", b.name,
				req.Header.Get("X-Request-ID"), time.Since(b.inactiveAt), b.state))
		}
		action := b.rng.IntN(16)
		if b.valid {
			action = 9 // an immediate valid response
		}
		if req.Method == "POST" && action != 0 {
			b.ran[req.Header.Get("X-Request-ID")]++
		}
		b.mu.Unlock()
		switch action {
		case 0:
			writeText(c, "HTTP/1.1 503 Busy\nX-Not-Processed: 1\nContent-Length: 0\n\n")
			continue
		case 1:
			writeText(c, "HTTP/1.1 500 Error\nContent-Length: 0\n\n")
			continue
		case 2:
			return
		case 3:
			writeText(c, "HTTP/1.1 200 OK\nContent-Length: 40\n\nfi")
			return
		case 4:
			time.Sleep(30 * time.Millisecond)
		case 5:
			_, _ = in.Peek(1) // no response until the proxy closes the connection
			return
		}
		writeText(c, served)
	}
}

// While the endpoint list changes in every way under load, each request gets one complete response in time, a request
// that is not idempotent runs at most once, and a draining or removed backend gets no new request.
func TestEndpointListChangesUnderLoad(t *testing.T) {
	const duration, clients = 3500 * time.Millisecond, 12
	shared := &churn{machine: watchLateness(t), rng: rand.New(rand.NewPCG(1, 2)), ran: map[string]int{}}
	var backends []*churningBackend
	for i := range 5 {
		b := &churningBackend{churn: shared, name: fmt.Sprint("s", i), state: "active"}
		b.open(t)
		backends = append(backends, b)
	}
	defer func() {
		shared.mu.Lock()
		defer shared.mu.Unlock()
		for _, b := range backends {
			b.kill()
		}
	}()
	entry := func(b *churningBackend) string { return memberText(b.name, b.addr, b.state) }
	entries := func() (list []string) {
		for _, b := range backends {
			if b.state != "left" {
				list = append(list, entry(b))
			}
		}
		return list
	}
	// The list's version wraps around. A watch from the previous version gets the last change, any other the full
	// list.
	version, change, changed := math.MaxUint32-5, "", make(chan struct{})
	c := &catalog{Server: httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, r *http.Request) {
		from := r.URL.Query().Get("from")
		for {
			shared.mu.Lock()
			text, nextChange := listText(version&math.MaxUint32, true, entries()...), changed
			if from == fmt.Sprint((version-1)&math.MaxUint32) && change != "" {
				text = change
			}
			current := from == fmt.Sprint(version&math.MaxUint32)
			shared.mu.Unlock()
			if !current {
				_, _ = io.WriteString(to, text)
				return
			}
			select {
			case <-nextChange:
			case <-r.Context().Done():
				return
			}
		}
	}))}
	t.Cleanup(func() { c.CloseClientConnections(); c.Close() })
	p := startProxy(t, listText(version, true, entries()...), c, func(cfg *Config) {
		cfg.Decision.PolledDiscovery = false
		cfg.Decision.Capabilities.HealthChecks = true
		cfg.Decision.Capabilities.HedgedRequests = true
	})
	end := time.Now().Add(duration)
	var running sync.WaitGroup
	running.Go(func() {
		rng := rand.New(rand.NewPCG(3, 4))
		for n := 0; time.Now().Before(end); n++ {
			shared.mu.Lock()
			b := backends[rng.IntN(3)]
			b.state = []string{"active", "active", "leaving", "left"}[rng.IntN(4)]
			if n < 2 { // two backends become inactive for a long time
				b = backends[3+n]
				b.state = []string{"leaving", "left"}[n]
			}
			if n >= 2 && rng.IntN(6) == 0 { // restart at another address
				b.kill()
				b.open(t)
			}
			if b.state == "active" {
				b.inactiveAt = time.Time{}
			} else if b.inactiveAt.IsZero() {
				b.inactiveAt = time.Now()
			}
			version++
			if change = listText(version&math.MaxUint32, false, entry(b)); rng.IntN(30) == 0 {
				change = ""
			}
			close(changed)
			changed = make(chan struct{})
			shared.mu.Unlock()
			time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
		}
		shared.mu.Lock()
		shared.valid = true
		for _, b := range backends {
			b.kill()
			b.open(t)
			b.state, b.inactiveAt = "active", time.Time{}
		}
		version, change = version+1, ""
		close(changed)
		changed = make(chan struct{})
		shared.mu.Unlock()
	})
	var mu sync.Mutex
	responses := map[int]int{}
	for n := range clients {
		running.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 5))
			for time.Now().Before(end) {
				class, timeout := []string{"fetch-work", "hand-in"}[rng.IntN(2)], 100+rng.IntN(900)
				startedAt := time.Now()
				resp, body, err := p.request(t, class, timeout, []string{"", "body"}[rng.IntN(2)])
				took := time.Since(startedAt)
				if err != nil {
					t.Errorf("client %d: request failed, want a complete response: %v", n, err)
					return
				}
				if resp.StatusCode == 200 && body != "fine" {
					t.Errorf("client %d: status 200 with body %q, want %q", n, body, "fine")
				}
				if took > shared.machine.extend(time.Duration(timeout)*time.Millisecond+time.Second) {
					t.Errorf("client %d: response after %v, want it within a second of the timeout of %d ms", n, took, timeout)
				}
				mu.Lock()
				responses[resp.StatusCode]++
				mu.Unlock()
			}
		})
	}
	running.Wait()
	shared.mu.Lock()
	for id, n := range shared.ran {
		if n > 1 {
			t.Errorf("request %s, which is not idempotent, ran %d times, want at most once", id, n)
		}
	}
	for _, text := range shared.late {
		t.Error(text)
	}
	t.Logf("%d lists, %d requests at backends, responses by status: %v", version-(math.MaxUint32-5), shared.reached,
		responses)
	if shared.reached < 100 || responses[200] < 100 {
		t.Errorf("%d requests at backends, responses by status: %v; want at least 100 of each for a valid test", shared.reached,
			responses)
	}
	shared.mu.Unlock()
	for try := 0; ; try++ { // once all backends are active, requests are served
		resp, _, err := p.request(t, "fetch-work", 2000, "")
		if err == nil && resp.StatusCode == 200 {
			break
		}
		if try > 40 {
			t.Fatalf("request with all backends active again: response %v, error %v, want status 200", resp, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// If the process was not scheduled for a while, the idle timeout may have expired although bytes of a request have
// arrived: the request is served. Without a request the timeout applies, and within a request it always applies.
func TestRequestInTimeWinsOverIdleTimeout(t *testing.T) {
	for name, c := range map[string]struct{ sent, idle, unused, wantRead bool }{
		"between requests":             {true, true, false, true},
		"first request":                {true, false, true, true},
		"no bytes":                     {false, true, false, false},
		"within a request":             {true, false, false, false},
		"no bytes on a new connection": {false, false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			client, conn := clientPair(t, newClientConns(4))
			defer func() { _ = conn.Close() }()
			conn.idle, conn.unused = c.idle, c.unused
			if c.sent {
				_, _ = io.WriteString(client, "GET / HTTP/1.1\r\n")
				for rawsocket.Silent(conn.Conn) {
					time.Sleep(time.Millisecond)
				}
			}
			_ = conn.SetReadDeadline(time.Now().Add(-time.Second))
			if n, err := conn.Read(make([]byte, 64)); (n > 0) != c.wantRead || !c.wantRead && !isTimeout(err) {
				t.Errorf("Read() after the deadline = %d bytes, error %v; want some bytes: %v, else a timeout", n, err,
					c.wantRead)
			}
		})
	}
}
