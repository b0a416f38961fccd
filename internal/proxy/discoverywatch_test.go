package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/discovery"
	"lapisspread/internal/discovery/guardedsource"
	"lapisspread/internal/engine"
)

// recordingUpstream is an upstream that records when a list first reports a draining backend.
type recordingUpstream struct {
	mu        sync.Mutex
	drainedAt time.Time // when the drain was reported; zero before
}

func (u *recordingUpstream) Update(list List) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, m := range list.Endpoints {
		if m.State == decision.Draining && u.drainedAt.IsZero() {
			u.drainedAt = time.Now()
		}
	}
}
func (u *recordingUpstream) Find(decision.BackendID) engine.Backend { return nil }
func (u *recordingUpstream) Release(decision.BackendID)             {}

// After any fault of discovery, of any length, the proxy learns of a drain well within 6 s of discovery's recovery, and
// within the drain's grace period if lists are pushed. The number of calls during the fault is bounded too.
func TestDrainIsLearntSoonAfterFault(t *testing.T) {
	for _, polled := range []bool{true, false} {
		for _, timing := range []struct{ maxListAge, connect, grace time.Duration }{
			{2 * time.Second, 30 * time.Millisecond, 500 * time.Millisecond}, {60 * time.Second, time.Second,
				250 * time.Millisecond}} {
			m := decision.Config{Instances: 24, Tick: 2 * time.Millisecond, PolledDiscovery: polled,
				Classes: []decision.Class{{Name: "c", LatencyObjective: time.Second, ClientTimeout: time.Second}},
				Constraints: decision.Constraints{MaxListAge: timing.maxListAge,
					DrainGrace: timing.grace},
				Capabilities: decision.Capabilities{ConnectTimeout: timing.connect, MaxAttempts: 1}}
			for _, fault := range []discoveryFault{refused, unreachable, hung, rejecting, reset, truncated, garbled,
				outdated, slow} {
				for _, source := range []string{"alone", "hub", "comeback"} {
					t.Run(fmt.Sprintf("polled %v/list age %v/%s/%s", polled, timing.maxListAge, fault, source),
						func(t *testing.T) {
							t.Parallel()
							phases := 1
							switch { // several phases if the time within a call at which the fault ends matters
							case source == "comeback" && !polled:
								return
							case polled && source == "alone" && (fault == hung || fault == unreachable || fault == slow):
								phases = 8
							}
							for phase := range phases {
								synctest.Test(t, func(t *testing.T) { expectDrainReported(t, m, fault, source, phase) })
							}
						})
				}
			}
		}
	}
}

// expectDrainReported runs an engine against a faulty discovery and checks how soon after the fault a drain is reported
// and how many calls are made during the fault. The kind of the source is "alone" (a discovery client), "hub" (a client
// shared by services) or "comeback" (a client with a list guard). The fault lasts 770 ms longer for each phase.
func expectDrainReported(t *testing.T, m decision.Config, fault discoveryFault, sourceKind string, phase int) {
	p := timingFor(&m)
	faultDuration := p.watchHold + 3*time.Second + time.Duration(phase)*770*time.Millisecond
	server, upstream := newFaultyDiscovery(), &recordingUpstream{}
	log := slog.New(slog.DiscardHandler)
	d := newDiscoveryClient("register.test:1", p, log)
	d.dial = server.dial(p.slack)
	known, _ := parseList([]byte(listText(7, true, memberText("a", "127.0.0.1:1", "active"))))
	var source engine.Source = d
	switch sourceKind {
	case "hub":
		source = discovery.NewRegistry(p.maxBackoff, func(string) engine.Source { return d }).Subscribe(d.addr, known)
	case "comeback":
		settings, err := guardedsource.Parse("comeback.toml", []byte("version = 1\n[calls]\nrate = 4.0\n"))
		if err != nil {
			t.Fatalf("guardedsource.Parse(): %v", err)
		}
		w := guardedsource.NewCoordinator(settings, m.Instances, uint64(phase), engine.NewClock().Now,
			log).LimitBackoff(p.maxBackoff).Wrap("", d, known)
		d.watchHold = func() time.Duration { return w.WatchTimeout(p.watchHold) }
		faultDuration += 20 * time.Second // the list guard makes discovery hold watches for up to 20 s
		source = w
	}
	e, err := engine.New(engine.Options{Decision: m, Seed: uint64(phase), InitialEndpoints: known, Upstream: upstream,
		Source: source, Log: log})
	if err != nil {
		t.Fatalf("engine.New(): %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { e.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended; server.setFault(reset); time.Sleep(time.Minute) }()
	time.Sleep(3 * time.Second)
	server.setFault(fault)
	before := server.callCount()
	time.Sleep(faultDuration)
	synctest.Wait()
	calls := server.callCount() - before
	recoveredAt := time.Now()
	limit := 5500 * time.Millisecond
	if !m.PolledDiscovery && fault != hung && fault != unreachable {
		limit = m.Constraints.DrainGrace
	}
	if fault != slow {
		server.setFault(noFault)
	} else if !m.PolledDiscovery { // an agent on the same machine never takes seconds
		return
	}
	server.drain(12)
	time.Sleep(10 * time.Second)
	synctest.Wait()
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if took := upstream.drainedAt.Sub(recoveredAt); upstream.drainedAt.IsZero() || took > limit {
		t.Errorf("drain reported %v after a fault of %v with %d calls (reported at all: %v), want at most %v", took,
			faultDuration, calls, !upstream.drainedAt.IsZero(), limit)
	}
	backoff := max(p.maxBackoff, 50*time.Millisecond)
	if bound := 20 + 4*int(faultDuration/backoff); calls > bound {
		t.Errorf("%d calls during a fault of %v, want at most %d with a longest backoff of %v", calls, faultDuration,
			bound, backoff)
	}
}

// If discovery restarts its versions, the proxy fetches the whole list and applies later changes, although their
// versions are lower than those before the restart.
func TestDiscoveryVersionRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := decision.Config{Instances: 1, Tick: time.Millisecond, Classes: []decision.Class{{Name: "c",
			LatencyObjective: time.Second, ClientTimeout: time.Second}},
			Constraints:  decision.Constraints{DrainGrace: 250 * time.Millisecond},
			Capabilities: decision.Capabilities{MaxAttempts: 1}}
		server, upstream := newFaultyDiscovery(), &recordingUpstream{}
		d := newDiscoveryClient("register.test:1", timingFor(&m), slog.New(slog.DiscardHandler))
		d.dial = server.dial(time.Second)
		known, _ := parseList([]byte(listText(7, true, memberText("a", "127.0.0.1:1", "active"))))
		e, err := engine.New(engine.Options{Decision: m, InitialEndpoints: known, Upstream: upstream, Source: d})
		if err != nil {
			t.Fatalf("engine.New(): %v", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { e.Run(ctx); close(ended) }()
		time.Sleep(500 * time.Millisecond)
		server.drain(3)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		upstream.mu.Lock()
		if upstream.drainedAt.IsZero() {
			t.Error("drain under a lower version was not reported within 100 ms")
		}
		upstream.mu.Unlock()
		before := server.callCount()
		time.Sleep(10 * time.Second)
		if calls := server.callCount() - before; calls < 5 || calls > 15 {
			t.Errorf("%d calls in 10 s after the restart, want 5 to 15, since each is held for a second", calls)
		}
		cancel()
		<-ended
	})
}

// If discovery answers each watch at once without a change, the proxy pauses between calls.
func TestAnswersWithoutNewsArePaced(t *testing.T) {
	for name, answer := range map[string]string{"no changes": listText(7, false), "the same list": listText(7, true),
		"past changes": listText(3, false, memberText("a", "127.0.0.1:1", "active"))} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDiscoveryClient("register.test:1", discoveryTiming{watchHold: time.Second, slack: time.Second,
					fetchTimeout: time.Second}, slog.New(slog.DiscardHandler))
				calls := 0 // changed by one goroutine at a time
				d.dial = func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						defer func() { _ = far.Close() }()
						in := bufio.NewReader(far)
						for {
							req, err := http.ReadRequest(in)
							if err != nil {
								return
							}
							if calls++; calls > 5000 {
								_, _ = in.Peek(1)
								return
							}
							text := answer
							if !req.URL.Query().Has("from") {
								text = listText(7, true)
							}
							_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text),
								text)
						}
					}()
					return near, nil
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if err := d.Watch(ctx, 7, func(List) {}); !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("Watch() ended with %v, want context.DeadlineExceeded", err)
				}
				d.Close()
				synctest.Wait()
				if calls < 50 || calls > 200 {
					t.Errorf("Watch() made %d calls in 10 s, want 50 to 200", calls)
				}
			})
		})
	}
}

// stoppedReader is a socket whose reader stops before each read until it is released, as in a stopped process.
type stoppedReader struct {
	*net.TCPConn
	stopped chan struct{} // gets a value when a read stops
	resume  chan struct{} // each value resumes one read; closing it resumes all reads
}

func (c *stoppedReader) Read(p []byte) (int, error) {
	c.stopped <- struct{}{}
	<-c.resume
	return c.TCPConn.Read(p)
}

// A process that was stopped past its call's timeout finds the answer in its socket: the answer is used, and the call
// is not repeated.
func TestUnreadAnswerIsNoTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening for discovery: %v", err)
	}
	defer func() { _ = l.Close() }()
	second, written := make(chan struct{}), make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		answer := func(text string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		answer(listText(7, true))
		<-second
		answer(listText(8, false)) // written before the client makes its second call
		close(written)
		_, _ = io.Copy(io.Discard, in)
	}()
	d := newDiscoveryClient(l.Addr().String(), discoveryTiming{slack: patience}, slog.New(slog.DiscardHandler))
	defer d.Close()
	d.lateReadGrace = patience
	stopped, resume, dials := make(chan struct{}, 100), make(chan struct{}, 1), 0
	d.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials++
		nc, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &stoppedReader{nc.(*net.TCPConn), stopped, resume}, nil
	}
	resume <- struct{}{}
	if _, err := d.call(t.Context(), "", patience); err != nil {
		t.Fatalf("first call(): %v", err)
	}
	within(t, stopped, "the client did not read the first answer")
	within(t, stopped, "the client did not read on after the first answer")
	close(second)
	within(t, written, "the second answer was not written")
	go func() {
		time.Sleep(600 * time.Millisecond) // the call's timeout has passed
		close(resume)
	}()
	list, err := d.call(t.Context(), watchQuery(7, probeHold), 300*time.Millisecond)
	if err != nil || list.Version != 8 || dials != 1 {
		t.Errorf("call() = %+v, error %v on %d connections; want version 8 on 1 connection", list, err, dials)
	}
}

// pushed configures a proxy for pushed lists: it watches an agent on its own machine with the timing for that.
func pushed(cfg *Config) {
	cfg.Decision.PolledDiscovery = false
	cfg.timing = timingFor(&cfg.Decision)
}

// expectAvoided waits until a proxy has logged that a backend drains, and checks that the backend, whose requests
// arrive on the channel, gets none from then on.
func (p *running) expectAvoided(t *testing.T, requests chan *http.Request) {
	t.Helper()
	for start := time.Now(); !strings.Contains(p.logs.String(), "state=draining"); time.Sleep(time.Millisecond) {
		if time.Since(start) > patience {
			t.Fatalf("the proxy has not logged a draining backend after %v", patience)
		}
	}
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, "")) // the list is logged just before it is passed to the engine
	before := len(requests)
	for range 20 {
		mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	}
	if n := len(requests) - before; n != 0 {
		t.Errorf("%d requests to the draining backend, want 0", n)
	}
}

// A backend starts to drain while the watch gets no answer, is interrupted or rejected, or gets invalid lists. The last
// valid list is used meanwhile and all requests are served. The drain is reported once discovery has recovered.
func TestMissedDrain(t *testing.T) {
	for _, fault := range []discoveryFault{hung, refused, reset, rejecting, truncated, garbled, outdated, endless} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			server, known, onA, _ := startDraining(t)
			addr := server.listen(t)
			p := startProxy(t, known, newCatalog(t), func(cfg *Config) { pushed(cfg); cfg.Discovery = addr })
			waitForCalls := func(count int) {
				t.Helper()
				for start := time.Now(); server.callCount() < count; time.Sleep(time.Millisecond) {
					if time.Since(start) > patience {
						t.Fatalf("discovery got %d calls in %v, want %d", server.callCount(), patience, count)
					}
				}
			}
			waitForCalls(2) // the probing call and a watch
			server.setFault(fault)
			startedAt, before := time.Now(), server.callCount()
			server.drain(9)
			waitForCalls(before + 2)
			mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
			if strings.Contains(p.logs.String(), "state=draining") {
				t.Error("the proxy logged a drain during the fault, want none before discovery has recovered")
			}
			if calls, limit := server.callCount()-before, 20+int(time.Since(startedAt)/(20*time.Millisecond)); calls > limit {
				t.Errorf("%d calls in %v during the fault, want at most %d", calls, time.Since(startedAt), limit)
			}
			server.setFault(noFault)
			p.expectAvoided(t, onA)
			invalid := fault == truncated || fault == garbled || fault == endless
			if counted := p.proxy.counters.InvalidLists.Load() > 0; counted != invalid {
				t.Errorf("InvalidLists = %d, want above 0 if the fault sends invalid lists (%v), else 0",
					p.proxy.counters.InvalidLists.Load(), invalid)
			}
		})
	}
}
