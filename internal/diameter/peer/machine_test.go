package peer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func settings(host string) Settings {
	return Settings{Host: host, Watchdog: 30 * time.Second, Handshake: 2 * time.Second, Goodbye: time.Second, Reconnect: 5 * time.Second, Persistent: true}
}

func machine(t testing.TB, host string, seed uint64) *Machine {
	t.Helper()
	m, err := New(settings(host), seed)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestSettings(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"host":      func(s *Settings) { s.Host = "" },
		"watchdog":  func(s *Settings) { s.Watchdog = 5 * time.Second },
		"handshake": func(s *Settings) { s.Handshake = 0 },
	} {
		s := settings("a")
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func told(actions []Action) string {
	var out []string
	for _, a := range actions {
		out = append(out, fmt.Sprintf("%v-%v", a.Side, a.Do))
	}
	return strings.Join(out, " ")
}

// The rows of the table in section 5.6 of RFC 6733. Our name is "m": it wins against "a" and loses against "z".
func TestTable(t *testing.T) {
	cer := func(host string) Event { return Event{Kind: CER, Side: Responder, Host: host, Code: success} }
	cea := Event{Kind: CEA, Side: Initiator, Host: "a", Code: success}
	start, conn := Event{Kind: Start}, Event{Kind: Connected, Side: Initiator}
	nack := Event{Kind: ConnectFailed, Side: Initiator}
	iGone, rGone := Event{Kind: Disconnected, Side: Initiator}, Event{Kind: Disconnected, Side: Responder}
	for _, k := range []struct {
		name  string
		to    []Event // brings it there
		event Event
		state State
		do    string
	}{
		{"closed, start", nil, start, WaitConnAck, "I-connect"},
		{"closed, CER", nil, cer("a"), ROpen, "R-accept R-send-cea R-up"},
		{"closed, CER of no common application", nil, Event{Kind: CER, Side: Responder, Host: "a", Code: 5010}, Closed, "R-accept R-send-cea R-disconnect"},
		{"wait-conn-ack, ack", []Event{start}, conn, WaitICEA, "I-send-cer"},
		{"wait-conn-ack, nack", []Event{start}, nack, Closed, ""},
		{"wait-conn-ack, CER", []Event{start}, cer("a"), WaitConnAckElect, "R-accept"},
		{"wait-i-cea, CEA", []Event{start, conn}, cea, IOpen, "I-up"},
		{"wait-i-cea, CEA with an error", []Event{start, conn}, Event{Kind: CEA, Side: Initiator, Code: 5010}, Closed, "I-disconnect"},
		{"wait-i-cea, CER, won", []Event{start, conn}, cer("a"), ROpen, "R-accept I-disconnect R-send-cea R-up"},
		{"wait-i-cea, CER, lost", []Event{start, conn}, cer("z"), WaitReturns, "R-accept"},
		{"wait-i-cea, gone", []Event{start, conn}, iGone, Closed, "I-disconnect"},
		{"wait-i-cea, something else", []Event{start, conn}, Event{Kind: Message, Side: Initiator}, Closed, "I-disconnect"},
		{"elect, ack, won", []Event{start, cer("a")}, conn, ROpen, "I-send-cer I-disconnect R-send-cea R-up"},
		{"elect, ack, lost", []Event{start, cer("z")}, conn, WaitReturns, "I-send-cer"},
		{"elect, nack", []Event{start, cer("z")}, nack, ROpen, "R-send-cea R-up"},
		{"elect, the peer's is gone", []Event{start, cer("z")}, rGone, WaitConnAck, "R-disconnect"},
		{"elect, another CER", []Event{start, cer("z")}, cer("z"), WaitConnAckElect, "R-reject"},
		{"returns, CEA", []Event{start, conn, cer("z")}, cea, IOpen, "R-disconnect I-up"},
		{"returns, ours is gone", []Event{start, conn, cer("z")}, iGone, ROpen, "I-disconnect R-send-cea R-up"},
		{"returns, election lost there", []Event{start, conn, cer("z")}, Event{Kind: CEA, Side: Initiator, Code: electionLost}, ROpen, "I-disconnect R-send-cea R-up"},
		{"returns, the peer's is gone", []Event{start, conn, cer("z")}, rGone, WaitICEA, "R-disconnect"},
		{"returns, another CER", []Event{start, conn, cer("z")}, cer("z"), WaitReturns, "R-reject"},
		{"r-open, message", []Event{cer("a")}, Event{Kind: Message, Side: Responder}, ROpen, "R-deliver"},
		{"r-open, of another side", []Event{cer("a")}, Event{Kind: Message, Side: Initiator}, ROpen, ""},
		{"r-open, DWR", []Event{cer("a")}, Event{Kind: DWR, Side: Responder}, ROpen, "R-send-dwa"},
		{"r-open, CER", []Event{cer("a")}, cer("a"), ROpen, "R-reject"},
		{"r-open, stop", []Event{cer("a")}, Event{Kind: Stop}, Closing, "R-down R-send-dpr"},
		{"r-open, DPR", []Event{cer("a")}, Event{Kind: DPR, Side: Responder}, Closing, "R-down R-send-dpa"},
		{"r-open, gone", []Event{cer("a")}, rGone, Closed, "R-down"},
		{"r-open, garbage", []Event{cer("a")}, Event{Kind: Garbage, Side: Responder}, Closed, "R-down R-disconnect"},
		{"i-open, DPR", []Event{start, conn, cea}, Event{Kind: DPR, Side: Initiator}, Closing, "I-down I-send-dpa"},
		{"i-open, late connect", []Event{cer("a")}, conn, ROpen, "I-disconnect"},
		{"closing, DPA", []Event{cer("a"), {Kind: Stop}}, Event{Kind: DPA, Side: Responder}, Closed, "I-disconnect R-disconnect"},
		{"closing, both", []Event{cer("a"), {Kind: Stop}}, Event{Kind: DPR, Side: Responder}, Closing, "R-send-dpa"},
		{"closing, an answer", []Event{cer("a"), {Kind: Stop}}, Event{Kind: Message, Side: Responder}, Closing, "R-deliver"},
		{"closing, CER", []Event{cer("a"), {Kind: Stop}}, cer("a"), Closing, "R-reject"},
		{"stop on the way", []Event{start, cer("z")}, Event{Kind: Stop}, Closed, "I-disconnect R-disconnect"},
	} {
		m := machine(t, "m", 1)
		for _, e := range k.to {
			m.Step(0, e, nil)
		}
		if do := told(m.Step(0, k.event, nil)); do != k.do || m.State() != k.state {
			t.Errorf("%s: %v, %q; want %v, %q", k.name, m.State(), do, k.state, k.do)
		}
	}
}

// A peer that stops answering is suspected after one watchdog without an answer and dropped after two; it is asked again
// with back-off, and must answer three watchdogs before it counts as well.
func TestWatchdog(t *testing.T) {
	m := machine(t, "m", 7)
	now := time.Duration(0)
	m.Step(now, Event{Kind: Start}, nil)
	m.Step(now, Event{Kind: Connected}, nil)
	m.Step(now, Event{Kind: CEA, Host: "a", Code: success}, nil)
	var seen []string
	run := func(n int) {
		for range n {
			now = m.Next()
			for _, a := range m.Tick(now, nil) {
				seen = append(seen, a.Do.String())
			}
		}
	}
	if !m.Well() {
		t.Error("a peer that has just come is not well")
	}
	run(2)
	if m.Well() || strings.Join(seen, " ") != "send-dwr suspect" {
		t.Errorf("%v", seen)
	}
	if do := told(m.Step(now, Event{Kind: Message}, nil)); do != "I-okay I-deliver" || !m.Well() {
		t.Errorf("an answer at last: %q", do)
	}
	seen = nil
	run(3)
	if strings.Join(seen, " ") != "send-dwr suspect down disconnect" || m.State() != Closed {
		t.Errorf("%v, %v", seen, m.State())
	}
	seen = nil
	began := now
	run(1)
	if wait := now - began; strings.Join(seen, " ") != "connect" || wait < 2*time.Second || wait > 10*time.Second {
		t.Errorf("%v after %v", seen, wait)
	}
	m.Step(now, Event{Kind: Connected}, nil)
	m.Step(now, Event{Kind: CEA, Host: "a", Code: success}, nil)
	began = now
	for i := range reopenAfter {
		if m.Well() {
			t.Fatalf("well after %d watchdogs", i)
		}
		now = m.Next()
		if do := told(m.Tick(now, nil)); do != "I-send-dwr" {
			t.Fatalf("watchdog %d: %q", i, do)
		}
		m.Step(now, Event{Kind: DWA}, nil)
	}
	if !m.Well() || now-began > settings("m").Watchdog {
		t.Errorf("well %v after %v", m.Well(), now-began)
	}
}

// A thousand peers that come together do not tick together, nor connect again together.
func TestNothingInStep(t *testing.T) {
	ticks := map[time.Duration]int{}
	for seed := range uint64(1000) {
		m := machine(t, "m", seed)
		m.Step(0, Event{Kind: CER, Side: Responder, Host: "a", Code: success}, nil)
		ticks[m.Next()/(50*time.Millisecond)]++
		w := settings("m").Watchdog
		if m.Next() < w/5 || m.Next() > w {
			t.Fatalf("the first watchdog after %v", m.Next())
		}
	}
	for at, n := range ticks {
		if n > 40 { // 10 in the mean
			t.Errorf("%d peers tick at %v", n, at*50*time.Millisecond)
		}
	}
}

// link is a connection between two machines: who has begun it, and what is on its way in each direction.
type link struct {
	begun  int // by machine
	closed [2]bool
	way    [2][]Event // to machine
}

// world is two machines and the network between them.
type world struct {
	m     [2]*Machine
	cur   [2][2]*link // by machine and side
	asked [2]*link    // whose CER came last
	links []*link
	now   time.Duration
}

func (w *world) do(who int, actions []Action) {
	other := 1 - who
	for _, a := range actions {
		l := w.cur[who][a.Side]
		send := func(e Event) {
			if l != nil && !l.closed[who] {
				l.way[other] = append(l.way[other], e)
			}
		}
		far := Responder // the side that the other has it on
		if a.Side == Responder {
			far = Initiator
		}
		shut := func(l *link) {
			if l != nil && !l.closed[who] {
				l.closed[who] = true
				side := Initiator
				if l.begun == who {
					side = Responder
				}
				l.way[other] = append(l.way[other], Event{Kind: Disconnected, Side: side})
			}
		}
		switch a.Do {
		case Connect:
			l = &link{begun: who}
			l.way[who] = append(l.way[who], Event{Kind: Connected, Side: Initiator})
			w.links = append(w.links, l)
			w.cur[who][Initiator] = l
		case Accept:
			w.cur[who][Responder] = w.asked[who]
		case Reject:
			shut(w.asked[who])
		case SendCER:
			send(Event{Kind: CER, Side: far, Host: w.m[who].set.Host, Code: success})
		case SendCEA:
			send(Event{Kind: CEA, Side: far, Host: w.m[who].set.Host, Code: a.Code})
		case SendDWR:
			send(Event{Kind: DWR, Side: far})
		case SendDWA:
			send(Event{Kind: DWA, Side: far})
		case SendDPR:
			send(Event{Kind: DPR, Side: far, Cause: a.Cause})
		case SendDPA:
			send(Event{Kind: DPA, Side: far})
		case Disconnect:
			shut(l)
			w.cur[who][a.Side] = nil
		}
	}
}

// deliver hands the first event on its way over a link to a machine.
func (w *world) deliver(l *link, who int) {
	e := l.way[who][0]
	l.way[who] = l.way[who][1:]
	if l.closed[who] {
		return // it has closed it: nothing is told of it any more
	}
	if e.Kind == Disconnected {
		l.closed[who] = true
	}
	if e.Kind == CER {
		w.asked[who] = l
	} else if w.cur[who][e.Side] != l {
		return
	}
	w.do(who, w.m[who].Step(w.now, e, nil))
	if e.Kind == Disconnected && w.cur[who][e.Side] == l {
		w.cur[who][e.Side] = nil
	}
}

// settle lets time and network go on until nothing is on its way and no handshake is open, in any order.
func (w *world) settle(rng *rand.Rand, until time.Duration) {
	for w.now < until {
		var ways [][2]int
		for i, l := range w.links {
			for who := range 2 {
				if len(l.way[who]) > 0 {
					ways = append(ways, [2]int{i, who})
				}
			}
		}
		if len(ways) > 0 {
			at := ways[rng.IntN(len(ways))]
			w.deliver(w.links[at[0]], at[1])
			continue
		}
		next := min(w.m[0].Next(), w.m[1].Next())
		if next >= until {
			w.now = until
			return
		}
		w.now = max(w.now, next)
		for who := range 2 {
			if w.m[who].Next() <= w.now {
				w.do(who, w.m[who].Tick(w.now, nil))
			}
		}
	}
}

// However their connections and messages cross, two peers that both connect come to one connection that both have open,
// and after a break to one again; and each is well.
func TestSimultaneousConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		names := [2]string{"a.example", "b.example"}
		if rapid.Bool().Draw(t, "swapped") {
			names[0], names[1] = names[1], names[0]
		}
		w := &world{}
		for i := range 2 {
			m, err := New(settings(names[i]), rng.Uint64())
			if err != nil {
				t.Fatal(err)
			}
			w.m[i] = m
		}
		agree := func(when string) {
			var l [2]*link
			for who := range 2 {
				side, open := w.m[who].Open()
				if !open {
					t.Fatalf("%s: machine %d is %v, the other %v", when, who, w.m[who].State(), w.m[1-who].State())
				}
				if l[who] = w.cur[who][side]; l[who] == nil || l[who].closed[who] {
					t.Fatalf("%s: machine %d is %v without a connection", when, who, w.m[who].State())
				}
			}
			if l[0] != l[1] {
				t.Fatalf("%s: each has another connection open", when)
			}
		}
		for _, who := range rng.Perm(2) {
			w.do(who, w.m[who].Step(w.now, Event{Kind: Start}, nil))
			if rng.IntN(2) == 0 {
				w.settle(rng, w.now+time.Millisecond)
			}
		}
		w.settle(rng, 40*time.Second)
		agree("after the start")
		for range rapid.IntRange(0, 3).Draw(t, "breaks") {
			for _, l := range w.links { // the network breaks all there is
				for who := range 2 {
					if !l.closed[who] {
						side := Responder
						if l.begun == who {
							side = Initiator
						}
						l.way[who] = append(l.way[who][:0], Event{Kind: Disconnected, Side: side})
					}
				}
			}
			w.settle(rng, w.now+200*time.Second)
			agree("after a break")
			if !w.m[0].Well() || !w.m[1].Well() {
				t.Fatalf("not well %v after a break", 200*time.Second)
			}
		}
		w.do(0, w.m[0].Step(w.now, Event{Kind: Stop, Cause: Rebooting}, nil))
		w.m[1].wanted = false
		w.settle(rng, w.now+20*time.Second)
		if w.m[0].State() != Closed || w.m[1].State() != Closed {
			t.Fatalf("after a goodbye: %v and %v", w.m[0].State(), w.m[1].State())
		}
	})
}

// Whatever happens in whatever order, a machine never sends on a connection that it has not, never has two open, and is
// closed or has a time at which it goes on.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := machineOf(t)
		now := time.Duration(0)
		var has, up [2]bool
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			e := Event{Kind: Kind(rapid.IntRange(0, int(Garbage)).Draw(t, "kind")), Side: Side(rapid.IntRange(0, 1).Draw(t, "side")),
				Host: rapid.SampledFrom([]string{"a", "z"}).Draw(t, "host"), Code: rapid.SampledFrom([]uint32{success, 5010, electionLost}).Draw(t, "code"),
				Cause: uint32(rapid.IntRange(0, 2).Draw(t, "cause"))}
			switch e.Kind {
			case CER:
				e.Side = Responder
			case CEA, Connected, ConnectFailed:
				e.Side = Initiator
			}
			if e.Kind == Connected {
				has[Initiator] = true
			}
			if e.Kind == Disconnected {
				has[e.Side] = false
			}
			var out []Action
			if rapid.IntRange(0, 4).Draw(t, "time") == 0 {
				if now = max(now, m.Next()); m.Next() == never {
					now++
				}
				out = m.Tick(now, nil)
			} else {
				out = m.Step(now, e, nil)
			}
			for _, a := range out {
				switch a.Do {
				case Accept:
					if has[Responder] && up[Responder] {
						t.Fatalf("a second connection of the peer's is taken: %v in %v", told(out), m.State())
					}
					has[Responder] = true
				case Disconnect:
					has[a.Side], up[a.Side] = false, false
				case Up:
					if up[0] || up[1] {
						t.Fatalf("two are open: %v", told(out))
					}
					up[a.Side] = true
				case Down:
					if !up[a.Side] {
						t.Fatalf("one goes down that was not up: %v", told(out))
					}
					up[a.Side] = false
				case SendDWR, SendDPR:
					if !up[a.Side] && m.State() != Closing {
						t.Fatalf("%v on a connection that is not open, in %v", a.Do, m.State())
					}
				}
			}
			_, open := m.Open()
			if open != (up[0] || up[1]) {
				t.Fatalf("%v, and up %v", m.State(), up)
			}
			if m.State() != Closed && m.Next() == never {
				t.Fatalf("%v for ever", m.State())
			}
		}
	})
}

func machineOf(t *rapid.T) *Machine {
	m, err := New(settings("m"), rapid.Uint64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	return m
}
