package node

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/internal/diameter"
	"lapisspread/internal/diameter/peer"
)

const creditControl = 4

// echo answers a request with success and its session.
func echo(r *Request) {
	d := diameter.Base()
	s, _ := r.Message.Find(0, d.Named("Session-Id").Code)
	m, _ := diameter.Answer(nil, r.Header, diameter.Success).Raw(s.Raw()).Uint32(d.Named("Result-Code"), 2001).Message()
	r.Answer(m)
}

func ask(session string) diameter.Message {
	d := diameter.Base()
	m, err := diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request | diameter.Proxiable, Command: 272, App: creditControl, EndToEnd: 7}).
		Text(d.Named("Session-Id"), session).Message()
	if err != nil {
		panic(err)
	}
	return m
}

func sessionOf(m diameter.Message) string {
	a, _ := m.Find(0, diameter.Base().Named("Session-Id").Code)
	return string(a.Data)
}

// world is nodes with a network of pipes between them.
type world struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[string]*Node // by address
	cut   func(addr string) bool
	last  net.Conn // our end of the connection made last
}

func (w *world) node(addr string, change func(*Settings)) *Node {
	w.t.Helper()
	s := Settings{Host: addr + ".example", Realm: "example", Apps: []uint32{creditControl}, Handle: echo, Watchdog: 6 * time.Second, Seed: 3,
		Dial: func(ctx context.Context, to string) (net.Conn, error) {
			w.mu.Lock()
			n := w.nodes[to]
			w.mu.Unlock()
			if n == nil || w.cut != nil && w.cut(to) {
				return nil, errors.New("nobody is there")
			}
			a, b := net.Pipe()
			n.ServeConn(b)
			w.mu.Lock()
			w.last = a
			w.mu.Unlock()
			return a, nil
		}}
	if change != nil {
		change(&s)
	}
	n, err := New(s)
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	w.nodes[addr] = n
	w.mu.Unlock()
	return n
}

func play(t *testing.T, do func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, nodes: map[string]*Node{}}
		do(t, w)
		for _, n := range w.nodes {
			n.Close()
		}
		synctest.Wait()
	})
}

func (w *world) connect(n *Node, to string) *Peer {
	w.t.Helper()
	p, err := n.Connect(to, "")
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

func TestRequestsShareAConnection(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		var together sync.WaitGroup
		together.Add(10000)
		w.node("server", func(s *Settings) {
			s.InHand, s.Outstanding = 20000, 20000
			s.Handle = func(r *Request) {
				together.Done()
				together.Wait() // all of them are in hand at once
				echo(r)
			}
		})
		client := w.node("client", func(s *Settings) { s.Queue = 16 << 20 })
		p := w.connect(client, "server")
		p.mu.Lock()
		p.nextID = 1<<32 - 500 // identifiers wrap around amid it
		p.mu.Unlock()
		var all sync.WaitGroup
		for i := range 10000 {
			all.Go(func() {
				want := fmt.Sprint("s", i)
				a, _, err := p.Send(t.Context(), ask(want))
				if err != nil || sessionOf(a) != want {
					t.Errorf("%s: %v", want, err)
				}
			})
		}
		all.Wait()
		if client.Counts.Connected.Load() != 1 || client.Counts.Unknown.Load() != 0 {
			t.Errorf("%d connections, %d unknown", client.Counts.Connected.Load(), client.Counts.Unknown.Load())
		}
	})
}

// A request is in hand until its answer is on its way: a node that ends waits for that, however long it takes.
func TestAnAnswerGoesBeforeTheGoodbye(t *testing.T) {
	w := &world{t: t, nodes: map[string]*Node{}}
	held := make(chan *Request, 1)
	server := w.node("server", func(s *Settings) { s.Handle = func(r *Request) { held <- r } })
	defer server.Close()
	client := w.node("client", nil)
	defer client.Close()
	p := w.connect(client, "server")
	if !p.wait(t.Context(), func() bool { return p.open != nil }) {
		t.Fatal("no connection")
	}
	sent := make(chan error, 1)
	go func() { _, _, err := p.Send(t.Context(), ask("one")); sent <- err }()
	r := <-held
	r.conn.mu.Lock() // whoever sends on the connection waits
	go echo(r)
	over := make(chan bool)
	go func() { server.inHand.Wait(); close(over) }()
	select {
	case <-over:
		t.Error("nothing is in hand, and the answer is not sent")
	case <-time.After(100 * time.Millisecond):
	}
	r.conn.mu.Unlock()
	server.Drain(t.Context())
	if err := <-sent; err != nil {
		t.Error(err)
	}
}

// What was in the queue when the connection broke never ran; what was written may have.
func TestABrokenConnectionTellsWhatWasSent(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		var ran atomic.Int64
		w.node("server", func(s *Settings) { s.Handle = func(r *Request) { ran.Add(1); <-r.Gone(); r.Drop() } })
		client := w.node("client", nil)
		p := w.connect(client, "server")
		first := make(chan error, 1)
		go func() {
			_, unsent, err := p.Send(t.Context(), ask("one"))
			if unsent || err != ErrBroken {
				err = fmt.Errorf("sent: unsent %v, %w", unsent, err)
			}
			first <- err
		}()
		synctest.Wait()
		if ran.Load() != 1 {
			t.Fatalf("%d ran", ran.Load())
		}
		w.last.Close()
		if err := <-first; err != ErrBroken {
			t.Error(err)
		}
		w.cut = func(string) bool { return true }
		synctest.Wait()
		if _, unsent, err := p.Send(t.Context(), ask("two")); !unsent || err == nil {
			t.Errorf("without a connection: unsent %v, %v", unsent, err)
		}
		w.cut = nil
		// It comes back, and shows by watchdogs that it is well before anything goes to it.
		if !p.wait(t.Context(), func() bool { return p.open != nil }) {
			t.Fatal("it does not come back")
		}
		if _, unsent, err := p.Send(t.Context(), ask("three")); !unsent || err != ErrNotOpen {
			t.Errorf("while it is suspect: unsent %v, %v", unsent, err)
		}
		began := time.Now()
		p.wait(t.Context(), func() bool { return p.open != nil && !p.suspect })
		if took := time.Since(began); took > 7*time.Second {
			t.Errorf("well after %v", took)
		}
	})
}

// A request that was given up before it was written is not written any more.
func TestGivenUpBeforeItWasWritten(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		client := w.node("client", nil)
		server := &script{t: t}
		client.set.Dial = server.dial
		p := w.connect(client, "server")
		server.welcome()
		ctx, cancel := context.WithCancel(t.Context())
		var errs [2]error
		var unsent [2]bool
		var all sync.WaitGroup
		for i := range 2 { // the first fills the pipe: nobody reads
			all.Go(func() { _, unsent[i], errs[i] = p.Send(ctx, ask(fmt.Sprint(i))) })
			synctest.Wait()
		}
		cancel()
		all.Wait()
		if unsent[0] || !unsent[1] || errs[0] == nil || errs[1] == nil {
			t.Errorf("unsent: %v, %v", unsent, errs)
		}
		if m := server.read(); sessionOf(m) != "0" {
			t.Errorf("read %q", sessionOf(m))
		}
		go p.Send(t.Context(), ask("2"))
		if m := server.read(); sessionOf(m) != "2" {
			t.Errorf("what was given up was sent: %q", sessionOf(m))
		}
		server.nc.Close()
	})
}

// script is a server's end that a test plays.
type script struct {
	t  *testing.T
	nc net.Conn
	r  *diameter.Reader
}

func (s *script) dial(context.Context, string) (net.Conn, error) {
	a, b := net.Pipe()
	s.nc, s.r = b, diameter.NewReader(b, nil)
	return a, nil
}

func (s *script) read() diameter.Message {
	m, _, err := s.r.Next()
	if err != nil {
		s.t.Errorf("reading: %v", err)
	}
	return append(diameter.Message(nil), m...)
}

func (s *script) write(m diameter.Message, err error) {
	if err == nil {
		_, err = s.nc.Write(m)
	}
	if err != nil {
		s.t.Errorf("writing: %v", err)
	}
}

func (s *script) welcome() {
	synctest.Wait()
	n, _ := New(Settings{Host: "server.example", Realm: "example", Apps: []uint32{creditControl}})
	s.write(n.cea(s.read().Header(), nil, 2001))
	synctest.Wait()
}

func answerTo(m diameter.Message, session string) (diameter.Message, error) {
	d := diameter.Base()
	return diameter.Answer(nil, m.Header(), diameter.Success).Text(d.Named("Session-Id"), session).Uint32(d.Named("Result-Code"), 2001).Message()
}

// Answers with identifiers that are not out, or came already, reach nobody.
func TestIdentifiersOfOthers(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		client := w.node("client", nil)
		server := &script{t: t}
		client.set.Dial = server.dial
		p := w.connect(client, "server")
		server.welcome()
		got := make([]string, 2)
		var all sync.WaitGroup
		var asked []diameter.Message
		for i := range 2 {
			all.Go(func() {
				a, _, err := p.Send(t.Context(), ask(fmt.Sprint(i)))
				if err != nil {
					t.Error(err)
				}
				got[i] = sessionOf(a)
			})
			asked = append(asked, server.read())
		}
		stray := append(diameter.Message(nil), asked[0]...)
		stray.SetHopByHop(asked[0].Header().HopByHop + 100)
		server.write(answerTo(stray, "stray"))
		server.write(answerTo(asked[0], "first"))
		server.write(answerTo(asked[0], "twice"))
		server.write(answerTo(asked[1], "second"))
		all.Wait()
		if got[0] != "first" || got[1] != "second" || client.Counts.Unknown.Load() != 2 {
			t.Errorf("%q, %d unknown", got, client.Counts.Unknown.Load())
		}
		server.nc.Close()
	})
}

// A peer that says goodbye gets nothing new at once, and its goodbye is answered when what is out has come back.
func TestAServerThatSaysGoodbyeWithAThousandInHand(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		server := w.node("server", func(s *Settings) {
			s.InHand = 2000
			s.Handle = func(r *Request) { time.Sleep(300 * time.Millisecond); echo(r) }
		})
		client := w.node("client", nil)
		p := w.connect(client, "server")
		var served, failed atomic.Int64
		var all sync.WaitGroup
		for i := range 1000 {
			all.Go(func() {
				if _, _, err := p.Send(t.Context(), ask(fmt.Sprint(i))); err != nil {
					failed.Add(1)
				} else {
					served.Add(1)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		for _, sp := range server.Peers() {
			sp.Stop(peer.Rebooting)
		}
		synctest.Wait()
		before := server.Counts.Requests.Load()
		if _, unsent, err := p.Send(t.Context(), ask("new")); !unsent || err == nil {
			t.Errorf("something new after the goodbye: %v, %v", unsent, err)
		}
		all.Wait()
		if served.Load() != 1000 || server.Counts.Requests.Load() != before {
			t.Errorf("%d served, %d failed", served.Load(), failed.Load())
		}
	})
}

func TestADrainAnswersWhatIsInHand(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		server := w.node("server", func(s *Settings) { s.Handle = func(r *Request) { time.Sleep(200 * time.Millisecond); echo(r) } })
		client := w.node("client", nil)
		p := w.connect(client, "server")
		result := make(chan error, 1)
		go func() { _, _, err := p.Send(t.Context(), ask("in hand")); result <- err }()
		time.Sleep(50 * time.Millisecond)
		ended := make(chan struct{})
		go func() { server.Drain(t.Context()); close(ended) }()
		time.Sleep(10 * time.Millisecond)
		a, _, err := p.Send(t.Context(), ask("late"))
		if code, found := a.Find(0, 268); err != nil || !found || fmt.Sprint(code.Data) != "[0 0 11 188]" { // 3004
			t.Errorf("a request amid the drain: %v %v", code.Data, err)
		}
		if err := <-result; err != nil {
			t.Error(err)
		}
		<-ended
		if len(server.Peers()) != 0 {
			t.Error("peers are left")
		}
	})
}

// Two nodes that connect to each other at once end up with one connection, whatever their names.
func TestSimultaneousConnects(t *testing.T) {
	for _, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
		play(t, func(t *testing.T, w *world) {
			x, y := w.node(names[0], nil), w.node(names[1], nil)
			px, err1 := x.Connect(names[1], names[1]+".example")
			py, err2 := y.Connect(names[0], names[0]+".example")
			if err := errors.Join(err1, err2); err != nil {
				t.Fatal(err)
			}
			for _, p := range []*Peer{px, py} {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				if !p.wait(ctx, func() bool { return p.open != nil && !p.suspect }) {
					t.Errorf("%v: %+v", names, p.Status())
				}
				if a, _, err := p.Send(ctx, ask("x")); err != nil || sessionOf(a) != "x" {
					t.Errorf("%v: %v", names, err)
				}
				cancel()
			}
			if len(x.Peers()) != 1 || len(y.Peers()) != 1 {
				t.Errorf("%d and %d peers", len(x.Peers()), len(y.Peers()))
			}
		})
	}
}

// Who may not come, who has nothing in common, who says something else first, and who says nothing.
func TestWhoIsTurnedAway(t *testing.T) {
	for name, k := range map[string]struct {
		client, server func(*Settings)
		raw            string
		want           diameter.ResultCode
	}{
		"unknown": {server: func(s *Settings) {
			s.Allow = func(host, _ string, _ *x509.Certificate) error { return fmt.Errorf("%s is not known", host) }
		}, want: diameter.UnknownPeer},
		"nothing in common": {client: func(s *Settings) { s.Apps = []uint32{99} }, want: diameter.NoCommonApplication},
		"garbage":           {raw: "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
		"half a header":     {raw: "\x01\x00\x00"},
		"silent":            {raw: ""},
	} {
		play(t, func(t *testing.T, w *world) {
			server := w.node("server", k.server)
			if k.want == 0 {
				a, b := net.Pipe()
				server.ServeConn(b)
				began := time.Now()
				io.WriteString(a, k.raw)
				a.Read(make([]byte, 1))
				if took := time.Since(began); took > server.set.Handshake {
					t.Errorf("%s: closed after %v", name, took)
				}
				synctest.Wait()
			} else {
				nc, b := net.Pipe()
				server.ServeConn(b)
				client := w.node("client", k.client)
				m, err := client.cer(nil, 1)
				if err != nil {
					t.Fatal(err)
				}
				go nc.Write(m)
				answer, _, err := diameter.NewReader(nc, nil).Next()
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				a, _ := answer.Find(0, 268)
				if code, _ := a.Uint32(); diameter.ResultCode(code) != k.want {
					t.Errorf("%s: answered %d", name, code)
				}
				if _, _, err := diameter.NewReader(nc, nil).Next(); err != io.EOF {
					t.Errorf("%s: not closed: %v", name, err)
				}
				synctest.Wait()
			}
			if server.Counts.Rejected.Load() != 1 || len(server.Peers()) != 0 || server.inbound != 0 || server.shaking != 0 {
				t.Errorf("%s: %d rejected, %d peers", name, server.Counts.Rejected.Load(), len(server.Peers()))
			}
		})
	}
}

// expiringConn is a connection whose write deadline passes in each longer write, although the peer takes bytes: its
// system calls the socket writable too late.
type expiringConn struct{ net.Conn }

func (c expiringConn) Write(p []byte) (int, error) {
	if len(p) < 16 {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:len(p)/2])
	if err == nil {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// Guards against connections being closed on peers that read slowly: writes to them last longer than any deadline,
// although the peer takes bytes all the time.
func TestSlowPeerStaysConnected(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		slow := func(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
			return func(ctx context.Context, to string) (net.Conn, error) {
				nc, err := dial(ctx, to)
				return expiringConn{nc}, err
			}
		}
		w.node("server", nil)
		client := w.node("client", func(s *Settings) { s.Dial = slow(s.Dial) })
		p := w.connect(client, "server")
		for i := range 10 {
			session := fmt.Sprint(i)
			if a, _, err := p.Send(t.Context(), ask(session)); err != nil || sessionOf(a) != session {
				t.Fatalf("request %d over a slow connection: answer %v, error %v, want its answer", i, a, err)
			}
		}
		if n := client.Counts.Connected.Load(); n != 1 {
			t.Errorf("%d connections were made, want 1", n)
		}
	})
}

// A peer that does not read holds nobody else up, and is closed.
func TestASlowReader(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		server := w.node("server", func(s *Settings) { s.Queue = 4096 })
		slow := &script{t: t}
		client := w.node("slow", nil)
		nc, _ := slow.dial(t.Context(), "")
		server.ServeConn(nc)
		go func() { cer, err := client.cer(nil, 1); slow.write(cer, err) }()
		slow.read()
		go func() { // asks and asks, and reads nothing
			for i := range 1000 {
				m := ask(fmt.Sprint(i))
				m.SetHopByHop(uint32(i))
				if _, err := slow.nc.Write(m); err != nil {
					return
				}
			}
		}()
		synctest.Wait()
		well := w.node("well", nil)
		p := w.connect(well, "server")
		if _, _, err := p.Send(t.Context(), ask("x")); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * server.set.WriteTimeout)
		synctest.Wait()
		if server.Counts.Slow.Load() != 1 || len(server.Peers()) != 1 {
			t.Errorf("%d slow, %d peers", server.Counts.Slow.Load(), len(server.Peers()))
		}
	})
}

// What is wrong with a request is answered in the RFC's terms and the connection goes on; a panic is that request's alone; too
// many in hand are turned away.
func TestBadRequests(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		server := w.node("server", func(s *Settings) {
			s.InHand = 3
			s.Handle = func(r *Request) {
				switch sessionOf(r.Message) {
				case "panic":
					panic("a wrong handler")
				case "long":
					time.Sleep(time.Second)
				}
				echo(r)
			}
		})
		client := w.node("client", nil)
		p := w.connect(client, "server")
		bad := ask("x")
		bad[24] |= 1 // a reserved flag of its first AVP
		a, _, err := p.Send(t.Context(), bad)
		if code, _ := a.Find(0, 268); err != nil || fmt.Sprint(code.Data) != "[0 0 11 193]" { // 3009
			t.Errorf("%v %v", code.Data, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if _, unsent, err := p.Send(ctx, ask("panic")); unsent || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%v %v", unsent, err)
		}
		cancel()
		var busy atomic.Int64
		var all sync.WaitGroup
		for range 5 {
			all.Go(func() {
				a, _, err := p.Send(t.Context(), ask("long"))
				if err != nil {
					t.Error(err)
				}
				if code, _ := a.Find(0, 268); fmt.Sprint(code.Data) == "[0 0 11 188]" {
					busy.Add(1)
				}
			})
		}
		all.Wait()
		if busy.Load() != 2 || server.bytes.Load() != 0 {
			t.Errorf("%d turned away, %d bytes are left", busy.Load(), server.bytes.Load())
		}
	})
}

// Guards against a claim being paid twice: a request for which there is no room, and which may not be rejected, is not
// answered with 3004.
func TestBusyAnswerOfRequestThatMayHaveRun(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.node("server", func(s *Settings) {
			s.Bytes = 1 // so that there is room for none
			s.MayReject = func(m diameter.Message, host, realm string) bool {
				return host != "client.example" || realm != "example" || sessionOf(m) != "repeat"
			}
		})
		p := w.connect(w.node("client", nil), "server")
		for session, want := range map[string]diameter.ResultCode{"new": diameter.TooBusy, "repeat": diameter.UnableToComply} {
			answer, _, err := p.Send(t.Context(), ask(session))
			if err != nil {
				t.Fatalf("%s: %v", session, err)
			}
			avp, _ := answer.Find(0, 268)
			if code, _ := avp.Uint32(); diameter.ResultCode(code) != want {
				t.Errorf("request %q without room: answered %d, want %d", session, code, want)
			}
		}
	})
}

// A thousand peers are quiet for four minutes: their watchdogs do not come in step, and what they cost is told.
func TestAThousandPeers(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		var perSecond [241]atomic.Int64
		began := time.Now()
		server := w.node("server", func(s *Settings) { s.Watchdog, s.Peers = 30*time.Second, 2000 })
		clients := 1000
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range clients {
			c := w.node(fmt.Sprint("c", i), func(s *Settings) { s.Watchdog, s.Seed = 30*time.Second, uint64(i) })
			dial := c.set.Dial
			c.set.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				nc, err := dial(ctx, addr)
				return counting{nc, func() { perSecond[min(240, int(time.Since(began)/time.Second))].Add(1) }}, err
			}
			w.connect(c, "server")
		}
		synctest.Wait()
		runtime.GC()
		runtime.ReadMemStats(&after)
		time.Sleep(4 * time.Minute)
		if n := len(server.Peers()); n != clients {
			t.Errorf("%d peers", n)
		}
		most, sum := int64(0), int64(0)
		for i := 120; i < 240; i++ {
			most, sum = max(most, perSecond[i].Load()), sum+perSecond[i].Load()
		}
		mean := float64(sum) / 120
		t.Logf("%.1f KB a pair of peers; %.1f messages a second of clients, at most %d", float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/1024/float64(clients), mean, most)
		if float64(most) > 5*mean {
			t.Errorf("watchdogs in step: %d in a second, %.1f in the mean", most, mean)
		}
	})
}

type counting struct {
	net.Conn
	count func()
}

func (c counting) Write(p []byte) (int, error) {
	c.count()
	return c.Conn.Write(p)
}
