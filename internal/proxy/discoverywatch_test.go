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

// recordingUpstream is an upstream that records when it learns that its backend drains.
type recordingUpstream struct {
	mu sync.Mutex
	at time.Time
}

func (l *recordingUpstream) Update(list List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range list.Endpoints {
		if m.State == decision.Draining && l.at.IsZero() {
			l.at = time.Now()
		}
	}
}
func (l *recordingUpstream) Find(decision.BackendID) engine.Backend { return nil }
func (l *recordingUpstream) Release(decision.BackendID)             {}

// Whatever call for the list has failed, and for however long: a drain is learnt well within 6 s of discovery being
// back, and within its grace period where lists are pushed. The number of calls is bounded too.
func TestDrainIsLearntSoonAfterFault(t *testing.T) {
	for _, onRequest := range []bool{true, false} {
		for _, other := range []struct{ asked, connect, grace time.Duration }{
			{2 * time.Second, 30 * time.Millisecond, 500 * time.Millisecond}, {60 * time.Second, time.Second,
				250 * time.Millisecond}} {
			m := decision.Config{Instances: 24, Tick: 2 * time.Millisecond, PolledDiscovery: onRequest,
				Classes: []decision.Class{{Name: "c", LatencyObjective: time.Second, ClientTimeout: time.Second}},
				Constraints: decision.Constraints{MaxListAge: other.asked,
					DrainGrace: other.grace},
				Capabilities: decision.Capabilities{ConnectTimeout: other.connect, MaxAttempts: 1}}
			for _, what := range []discoveryFault{refused, unreachable, hung, rejecting, reset, truncated, garbled, outdated, slow} {
				for _, by := range []string{"alone", "hub", "comeback"} {
					t.Run(fmt.Sprintf("on request %v/asked every %v/%s/%s", onRequest, other.asked, what, by),
						func(t *testing.T) {
							t.Parallel()
							phases := 1
							switch { // where the time of the fault's end within a call matters
							case by == "comeback" && !onRequest:
								return
							case onRequest && by == "alone" && (what == hung || what == unreachable || what == slow):
								phases = 8
							}
							for phase := range phases {
								synctest.Test(t, func(t *testing.T) { expectLearnt(t, m, what, by, phase) })
							}
						})
				}
			}
		}
	}
}

func expectLearnt(t *testing.T, m decision.Config, what discoveryFault, by string, phase int) {
	p := timingFor(&m)
	down := p.watchHold + 3*time.Second + time.Duration(phase)*770*time.Millisecond
	reg, up := newFaultyDiscovery(), &recordingUpstream{}
	log := slog.New(slog.DiscardHandler)
	d := newDiscoveryClient("register.test:1", p, log)
	d.dial = reg.dial(p.slack)
	known, _ := parseList([]byte(listText(7, true, memberText("a", "127.0.0.1:1", "active"))))
	var asked engine.Source = d
	switch by {
	case "hub":
		asked = discovery.NewRegistry(p.maxBackoff, func(string) engine.Source { return d }).Subscribe(d.addr, known)
	case "comeback":
		f, err := guardedsource.Parse("comeback.toml", []byte("version = 1\n[calls]\nrate = 4.0\n"))
		if err != nil {
			t.Fatal(err)
		}
		w := guardedsource.NewCoordinator(f, m.Instances, uint64(phase), engine.NewClock().Now,
			log).LimitBackoff(p.maxBackoff).Wrap("", d, known)
		d.watchHold = func() time.Duration { return w.WatchTimeout(p.watchHold) }
		down += 20 * time.Second // which is how long it holds them
		asked = w
	}
	e, err := engine.New(engine.Options{Decision: m, Seed: uint64(phase), InitialEndpoints: known, Upstream: up,
		Source: asked, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { e.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended; reg.setFault(reset); time.Sleep(time.Minute) }()
	time.Sleep(3 * time.Second)
	reg.setFault(what)
	before := reg.callCount()
	time.Sleep(down)
	synctest.Wait()
	made := reg.callCount() - before
	back := time.Now()
	most := 5500 * time.Millisecond
	if !m.PolledDiscovery && what != hung && what != unreachable {
		most = m.Constraints.DrainGrace
	}
	if what != slow {
		reg.setFault(noFault)
	} else if !m.PolledDiscovery { // an agent on this machine is never so slow
		return
	}
	reg.drain(12)
	time.Sleep(10 * time.Second)
	synctest.Wait()
	up.mu.Lock()
	defer up.mu.Unlock()
	if took := up.at.Sub(back); up.at.IsZero() || took > most {
		t.Errorf("down for %v, with %d calls meanwhile: the drain is learnt after %v, %v at most", down, made, took,
			most)
	}
	rest := max(p.maxBackoff, 50*time.Millisecond)
	if bound := 20 + 4*int(down/rest); made > bound {
		t.Errorf("%d calls in %v, the rest is %v at most", made, down, rest)
	}
}

// Discovery that restarts its versions is asked for the whole list, and its changes don't count as old ones.
func TestDiscoveryVersionRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := decision.Config{Instances: 1, Tick: time.Millisecond, Classes: []decision.Class{{Name: "c",
			LatencyObjective: time.Second, ClientTimeout: time.Second}},
			Constraints:  decision.Constraints{DrainGrace: 250 * time.Millisecond},
			Capabilities: decision.Capabilities{MaxAttempts: 1}}
		reg, up := newFaultyDiscovery(), &recordingUpstream{}
		d := newDiscoveryClient("register.test:1", timingFor(&m), slog.New(slog.DiscardHandler))
		d.dial = reg.dial(time.Second)
		known, _ := parseList([]byte(listText(7, true, memberText("a", "127.0.0.1:1", "active"))))
		e, err := engine.New(engine.Options{Decision: m, InitialEndpoints: known, Upstream: up, Source: d})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { e.Run(ctx); close(ended) }()
		time.Sleep(500 * time.Millisecond)
		reg.drain(3)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		up.mu.Lock()
		if up.at.IsZero() {
			t.Error("the drain is not learnt")
		}
		up.mu.Unlock()
		before := reg.callCount()
		time.Sleep(10 * time.Second)
		if made := reg.callCount() - before; made < 5 || made > 15 {
			t.Errorf("%d calls in 10 s after that, each held for a second", made)
		}
		cancel()
		<-ended
	})
}

// Discovery that answers each watch at once without news is polled with pauses; news is taken in at once.
func TestAnswersWithoutNewsArePaced(t *testing.T) {
	for name, answer := range map[string]string{"no changes": listText(7, false), "the same list": listText(7, true),
		"past changes": listText(3, false, memberText("a", "127.0.0.1:1", "active"))} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDiscoveryClient("register.test:1", discoveryTiming{watchHold: time.Second, slack: time.Second,
					fetchTimeout: time.Second}, slog.New(slog.DiscardHandler))
				calls := 0 // of one goroutine at a time
				d.dial = func(context.Context, string, string) (net.Conn, error) {
					ours, theirs := net.Pipe()
					go func() {
						defer func() { _ = theirs.Close() }()
						in := bufio.NewReader(theirs)
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
							_, _ = fmt.Fprintf(theirs, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text),
								text)
						}
					}()
					return ours, nil
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if err := d.Watch(ctx, 7, func(List) {}); !errors.Is(err, context.DeadlineExceeded) {
					t.Error(err)
				}
				d.Close()
				synctest.Wait()
				if calls < 50 || calls > 200 {
					t.Errorf("%d calls in 10 s", calls)
				}
			})
		})
	}
}

// stoppedReader is a socket whose reader stops before each read, as in a stopped process, until it is released.
type stoppedReader struct {
	*net.TCPConn
	stands, goOn chan struct{}
}

func (c *stoppedReader) Read(p []byte) (int, error) {
	c.stands <- struct{}{}
	<-c.goOn
	return c.TCPConn.Read(p)
}

// A process that was stopped past its call's timeout finds the answer in its socket: the answer counts, and the call is
// not repeated.
func TestUnreadAnswerIsNoTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
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
		answer(listText(8, false)) // it stands there before the call is made
		close(written)
		_, _ = io.Copy(io.Discard, in)
	}()
	d := newDiscoveryClient(l.Addr().String(), discoveryTiming{slack: patience}, slog.New(slog.DiscardHandler))
	defer d.Close()
	d.lateReadGrace = patience
	stands, goOn, dials := make(chan struct{}, 100), make(chan struct{}, 1), 0
	d.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials++
		nc, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &stoppedReader{nc.(*net.TCPConn), stands, goOn}, nil
	}
	goOn <- struct{}{}
	if _, err := d.call(t.Context(), "", patience); err != nil {
		t.Fatal(err)
	}
	within(t, stands, "nothing is read")
	within(t, stands, "the next answer is not waited for")
	close(second)
	within(t, written, "nothing is written")
	go func() {
		time.Sleep(600 * time.Millisecond) // the call's time is up
		close(goOn)
	}()
	list, err := d.call(t.Context(), watchQuery(7, probeHold), 300*time.Millisecond)
	if err != nil || list.Version != 8 || dials != 1 {
		t.Errorf("%+v, %v; %d connections", list, err, dials)
	}
}

// pushed has a proxy watch an agent on its machine with the timing of its settings.
func pushed(cfg *Config) {
	cfg.Decision.PolledDiscovery = false
	cfg.timing = timingFor(&cfg.Decision)
}

// expectAvoided waits until a proxy has learnt that a backend drains, and checks that nothing is sent to it from then
// on.
func (p *running) expectAvoided(t *testing.T, on chan *http.Request) {
	t.Helper()
	for start := time.Now(); !strings.Contains(p.logs.String(), "state=draining"); time.Sleep(time.Millisecond) {
		if time.Since(start) > patience {
			t.Fatal("the drain is not learnt")
		}
	}
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, "")) // the list was logged just before it was handed on
	before := len(on)
	for range 20 {
		mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	}
	if n := len(on) - before; n != 0 {
		t.Errorf("%d requests to the draining server", n)
	}
}

// A backend begins to drain while the watch is silent, cut or rejected, or gets invalid lists. The last valid list
// holds meanwhile and all requests are served; the drain is learnt once discovery is back.
func TestMissedDrain(t *testing.T) {
	for _, what := range []discoveryFault{hung, refused, reset, rejecting, truncated, garbled, outdated, endless} {
		t.Run(string(what), func(t *testing.T) {
			t.Parallel()
			reg, known, onA, _ := startDraining(t)
			addr := reg.listen(t)
			p := startProxy(t, known, newCatalog(t), func(cfg *Config) { pushed(cfg); cfg.Discovery = addr })
			until := func(made int) {
				t.Helper()
				for start := time.Now(); reg.callCount() < made; time.Sleep(time.Millisecond) {
					if time.Since(start) > patience {
						t.Fatalf("%d calls", reg.callCount())
					}
				}
			}
			until(2) // the probing call, and a watch
			reg.setFault(what)
			began, before := time.Now(), reg.callCount()
			reg.drain(9)
			until(before + 2)
			mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
			if strings.Contains(p.logs.String(), "state=draining") {
				t.Error("the drain is learnt from what is no list")
			}
			if made, most := reg.callCount()-before, 20+int(time.Since(began)/(20*time.Millisecond)); made > most {
				t.Errorf("%d calls in %v", made, time.Since(began))
			}
			reg.setFault(noFault)
			p.expectAvoided(t, onA)
			if bad := p.proxy.counters.InvalidLists.Load() > 0; bad != (what == truncated || what == garbled ||
				what == endless) {
				t.Errorf("%d bad lists are counted", p.proxy.counters.InvalidLists.Load())
			}
		})
	}
}
