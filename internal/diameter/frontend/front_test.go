package frontend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/diameter"
	"lapisspread/internal/diameter/claim"
	"lapisspread/internal/diameter/frontend"
	"lapisspread/internal/diameter/node"
	"lapisspread/internal/engine"
	"lapisspread/internal/engine/enginetest"
	"lapisspread/internal/idempotency"
	"lapisspread/internal/idempotency/guard"
)

const file = `
version = 1
host = "proxy.kigali.example"
realm = "kigali.example"
[[peer]]
realm = "partner.example"
[[command]]
command = "Credit-Control"
requested_action = 1
class = "unsafe"
give_up = "1m"
deadline = "CC-Time"
[[command]]
command = "Credit-Control"
requested_action = 2
class = "safe"
give_up = "1m"
deadline = "CC-Time"
[limits]
in_hand = 1000
`

type stubMessage struct{}

func (stubMessage) Consumed() bool { return false }

// stand puts a front end before an engine, and gives a peer that asks it, and the guard.
func stand(t *testing.T, e *engine.Engine, change func(*idempotency.Settings)) (*node.Peer, *frontend.Front, *node.Node) {
	t.Helper()
	f, rules, err := claim.Parse("d.toml", []byte(file))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	s := f.LedgerSettings(-1)
	if change != nil {
		change(&s)
	}
	g, err := guard.New(guard.Options{Ledger: s, Now: func() time.Duration { return time.Since(began) }})
	if err != nil {
		t.Fatal(err)
	}
	classes := map[string]int{"safe": 0, "unsafe": 1}
	fr := frontend.New(frontend.Settings{Rules: rules, Host: f.Host, Realm: f.Realm, Guard: g, Slack: 15 * time.Millisecond,
		Unsafe: func(class string) bool { return class == "unsafe" },
		Route: func(a *claim.Ask, _ int64) (*frontend.Service, error) {
			if a.Session == "nowhere" {
				return nil, &frontend.Turned{What: "no places", After: 1500 * time.Millisecond}
			}
			return &frontend.Service{Engine: e, Class: classes[a.Class], Unsafe: a.Class == "unsafe", Leave: func() {}, Ended: func(engine.Outcome, time.Duration) {},
				Message: func(*claim.Ask, diameter.Message) (engine.Message, error) { return stubMessage{}, nil }}, nil
		}})
	server, err := node.New(node.Settings{Host: f.Host, Realm: f.Realm, Apps: []uint32{4}, Allow: fr.Allow, Handle: fr.Handle, InHand: 1000})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	client, err := node.New(node.Settings{Host: "claims.partner.example", Realm: "partner.example", Apps: []uint32{4}})
	if err != nil {
		t.Fatal(err)
	}
	p, err := client.Connect(l.Addr().String(), f.Host)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); client.Close(); server.Close() })
	return p, fr, server
}

var lastID atomic.Uint32

// ask sends a claim and reads its result.
func ask(ctx context.Context, p *node.Peer, id uint32, flags diameter.Flags, session string, action uint32, timeout time.Duration) (diameter.ResultCode, diameter.Message, error) {
	d := diameter.Base()
	m, err := diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request | diameter.Proxiable | flags, Command: 272, App: 4, EndToEnd: id}).
		Text(d.Named("Session-Id"), session).Text(d.Named("Origin-Host"), "claims.partner.example").Text(d.Named("Origin-Realm"), "partner.example").
		Text(d.Named("Destination-Realm"), "kigali.example").Uint32(d.Named("Auth-Application-Id"), 4).Text(d.Named("Service-Context-Id"), "x").
		Uint32(d.Named("CC-Request-Type"), 4).Uint32(d.Named("CC-Request-Number"), 0).Uint32(d.Named("Requested-Action"), action).
		Uint32(d.Named("CC-Time"), uint32(timeout.Milliseconds())).
		Begin(d.Named("Proxy-Info")).Text(d.Named("Proxy-Host"), "agent.example").Text(d.Named("Proxy-State"), "s").End().Message()
	if err != nil {
		return 0, nil, err
	}
	a, _, err := p.Send(ctx, m)
	if err != nil {
		return 0, nil, err
	}
	v, found := a.Find(0, d.Named("Result-Code").Code)
	code, _ := v.Uint32()
	info, echoed := a.Find(0, d.Named("Proxy-Info").Code)
	host, _ := info.Find(0, d.Named("Proxy-Host").Code)
	if !found || !echoed || string(host.Data) != "agent.example" || (a.Header().Flags&diameter.ErrorFlag != 0) != diameter.ResultCode(code).Protocol() {
		return 0, nil, fmt.Errorf("an answer that is none: %x", []byte(a))
	}
	return diameter.ResultCode(code), a, nil
}

// long is a long answer.
type long struct {
	io.Reader
}

func (long) End(error) {}

func TestDiameterFrontEndConforms(t *testing.T) {
	enginetest.Frontend{
		Start: func(t *testing.T, e *engine.Engine) enginetest.Client {
			p, _, _ := stand(t, e, nil)
			return func(ctx context.Context, id, class string, timeout time.Duration) (engine.Outcome, []byte, error) {
				action := map[string]uint32{"unsafe": 1, "safe": 2}[class]
				code, a, err := ask(ctx, p, lastID.Add(1), 0, id, action, timeout)
				switch {
				case err != nil:
					return 0, nil, err
				case code == diameter.Success:
					return engine.Served, frontend.Body(a, diameter.Base()), nil
				case code == diameter.TooBusy:
					return engine.Rejected, nil, nil
				}
				return engine.Failed, nil, nil
			}
		},
		Response:         func(body []byte) any { return body },
		Stream:           func(body []byte, broken bool) engine.Stream { return long{enginetest.BodyReader(body, broken)} },
		MaxResponseBytes: frontend.MostBody,
	}.Test(t)
}

// scripted is an engine before a server that does what next says, and how many attempts it has seen.
func scripted(t *testing.T, next func(n int, a engine.Attempt) enginetest.Step) (*engine.Engine, *enginetest.Script) {
	s := &enginetest.Script{Next: next}
	return enginetest.Start(t, s, s.List()), s
}

// A claim that is sent again, at once or later, with the T flag or without, on this connection or another, runs once and has
// one answer. What is safe is asked anew.
func TestAClaimRunsOnce(t *testing.T) {
	e, s := scripted(t, func(int, engine.Attempt) enginetest.Step {
		return enginetest.Step{Delay: 100 * time.Millisecond, Response: []byte("paid")}
	})
	p, fr, _ := stand(t, e, nil)
	type result struct {
		code diameter.ResultCode
		body string
		err  error
	}
	results := make(chan result, 9)
	send := func(flags diameter.Flags, action uint32) {
		code, a, err := ask(t.Context(), p, 7, flags, "s", action, 3*time.Second)
		results <- result{code, string(frontend.Body(a, diameter.Base())), err}
	}
	for i := range 4 {
		go send(diameter.Flags(i%2)*diameter.Retransmitted, 1)
	}
	for range 4 {
		if r := <-results; r != (result{diameter.Success, "paid", nil}) {
			t.Errorf("%+v", r)
		}
	}
	send(diameter.Retransmitted, 1)
	if r := <-results; r != (result{diameter.Success, "paid", nil}) || s.Attempts() != 1 || fr.Counts.Repeated.Load() != 4 {
		t.Errorf("later: %+v, %d attempts, %d repeated", r, s.Attempts(), fr.Counts.Repeated.Load())
	}
	send(0, 2)
	if r := <-results; r.code != diameter.Success || s.Attempts() != 2 {
		t.Errorf("a safe one: %+v, %d attempts", r, s.Attempts())
	}
}

// What may have run is not run again, also when its client is sure that it must be; what was refused is.
func TestEndsAndRepeats(t *testing.T) {
	var replies atomic.Pointer[enginetest.Step]
	e, s := scripted(t, func(int, engine.Attempt) enginetest.Step { return *replies.Load() })
	p, _, _ := stand(t, e, func(s *idempotency.Settings) { s.MaxEntries = 3 })
	for i, k := range []struct {
		reply enginetest.Step
		first diameter.ResultCode
		again diameter.ResultCode
		runs  bool // the repeat is carried out
	}{
		{enginetest.Step{Result: decision.Rejected}, diameter.TooBusy, diameter.TooBusy, true},
		{enginetest.Step{Delay: time.Hour}, diameter.UnableToComply, diameter.UnableToComply, false},
		{enginetest.Step{Response: []byte("x")}, diameter.Success, diameter.Success, false},
		{enginetest.Step{Response: make([]byte, frontend.MostBody+1)}, diameter.UnableToComply, diameter.UnableToComply, false},
	} {
		replies.Store(&k.reply)
		id := uint32(100 + i)
		code, a, err := ask(t.Context(), p, id, 0, "s", 1, 400*time.Millisecond)
		if err != nil || code != k.first {
			t.Errorf("%d: %d, %v", i, code, err)
		}
		if _, told := a.Find(0, diameter.Base().Named("Validity-Time").Code); told != (code == diameter.TooBusy) {
			t.Errorf("%d: when to come back: %v", i, told)
		}
		before := s.Attempts()
		if code, _, err := ask(t.Context(), p, id, diameter.Retransmitted, "s", 1, 400*time.Millisecond); err != nil || code != k.again {
			t.Errorf("%d again: %d, %v", i, code, err)
		}
		if ran := s.Attempts() > before; ran != k.runs {
			t.Errorf("%d again: carried out %v", i, ran)
		}
	}
	// The ledger is full now: what is unsafe is refused, what is safe goes on.
	replies.Store(&enginetest.Step{Response: []byte("x")})
	if code, _, err := ask(t.Context(), p, 900, 0, "s", 1, time.Second); err != nil || code != diameter.TooBusy {
		t.Errorf("with a full ledger: %d, %v", code, err)
	}
	if code, _, err := ask(t.Context(), p, 901, 0, "s", 2, time.Second); err != nil || code != diameter.Success {
		t.Errorf("a safe one with a full ledger: %d, %v", code, err)
	}
	code, a, err := ask(t.Context(), p, 902, 0, "nowhere", 2, time.Second)
	after, _ := a.Find(0, diameter.Base().Named("Validity-Time").Code)
	if n, _ := after.Uint32(); err != nil || code != diameter.TooBusy || n != 2 {
		t.Errorf("no places: %d, %v, come back after %d s", code, err, n)
	}
}

// Guards against a claim being paid twice: a repeat of an unsafe claim for which there is no room is not answered as one
// that has not run where there are other proxies, as its sender would send it again as a new one. Others are.
func TestRepeatWithoutRoomMayHaveRun(t *testing.T) {
	e, _ := scripted(t, func(int, engine.Attempt) enginetest.Step { return enginetest.Step{} })
	p, front, _ := stand(t, e, func(s *idempotency.Settings) { s.Shared = true })
	const safe, unsafe = 2, 1
	for name, c := range map[string]struct {
		flags  diameter.Flags
		action uint32
		want   diameter.ResultCode
	}{
		"first copy, unsafe": {0, unsafe, diameter.TooBusy},
		"repeat, unsafe":     {diameter.Retransmitted, unsafe, diameter.UnableToComply},
		"first copy, safe":   {0, safe, diameter.TooBusy},
		"repeat, safe":       {diameter.Retransmitted, safe, diameter.TooBusy},
	} {
		code, _, err := ask(t.Context(), p, lastID.Add(1)+5000, c.flags, "nowhere", c.action, time.Second)
		if err != nil || code != c.want {
			t.Errorf("%s: answered %d, %v, want %d", name, code, err, c.want)
		}
	}
	if n := front.Counts.Failed.Load(); n != 1 {
		t.Errorf("%d requests counted as failed, want the repeat of the unsafe one", n)
	}
}

// A client that breaks off and comes again on another connection has the answer of what was in hand.
func TestAClientThatComesAgain(t *testing.T) {
	e, s := scripted(t, func(int, engine.Attempt) enginetest.Step {
		return enginetest.Step{Delay: 300 * time.Millisecond, Response: []byte("paid")}
	})
	p, _, server := stand(t, e, nil)
	first := make(chan error, 1)
	go func() {
		_, _, err := ask(t.Context(), p, 5, 0, "s", 1, 3*time.Second)
		first <- err
	}()
	for begun := time.Now(); s.Attempts() == 0; time.Sleep(time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the claim does not arrive")
		}
	}
	p.Stop(2)
	if err := <-first; err == nil {
		t.Log("the goodbye let the answer through")
	}
	client, err := node.New(node.Settings{Host: "claims.partner.example", Realm: "partner.example", Apps: []uint32{4}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for begun := time.Now(); len(server.Peers()) > 0; time.Sleep(time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the first connection stays")
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go server.Serve(l)
	again, err := client.Connect(l.Addr().String(), "")
	if err != nil {
		t.Fatal(err)
	}
	code, a, err := ask(t.Context(), again, 5, diameter.Retransmitted, "s", 1, 3*time.Second)
	if err != nil || code != diameter.Success || string(frontend.Body(a, diameter.Base())) != "paid" || s.Attempts() != 1 {
		t.Errorf("%d, %v, %d attempts", code, errors.Join(err), s.Attempts())
	}
}
