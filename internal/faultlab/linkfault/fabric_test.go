package linkfault

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const patience = 20 * time.Second // for what must come about

// echo is a server that sends back what it gets; stop ends it and its connections' answers.
func echo(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return l
}

// laid is a fabric of links from a and b to one echo.
func laid(t *testing.T) (f *Fabric, a, b *Link) {
	f = New()
	t.Cleanup(f.Close)
	l := echo(t)
	for name, into := range map[string]**Link{"a": &a, "b": &b} {
		link, err := f.Link(name, "echo", net.IPv4(127, 0, 0, 1), func() string { return l.Addr().String() })
		if err != nil {
			t.Fatal(err)
		}
		*into = link
	}
	return f, a, b
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp4", l.Addr(), patience)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

// there sends a text and wants it back.
func there(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	back := make([]byte, len(text))
	if _, err := io.ReadFull(c, back); err != nil || string(back) != text {
		t.Fatalf("%q, %v", back, err)
	}
}

func apply(t *testing.T, f *Fabric, r Rule) (end func()) {
	t.Helper()
	stop, err := f.Apply(r)
	if err != nil {
		t.Fatal(err)
	}
	return func() {
		t.Helper()
		if err := stop(); err != nil {
			t.Error(err)
		}
	}
}

// Silence in either direction holds bytes and the end, closes nothing, lets no new connection come up, and gives all back.
func TestSilence(t *testing.T) {
	for _, way := range []Way{Both, There, Back} {
		t.Run(way.String(), func(t *testing.T) {
			f, a, b := laid(t)
			c, other := dial(t, a), dial(t, b)
			there(t, c, "before")
			end := apply(t, f, Rule{From: "a", Way: way, Trouble: Trouble{Silent: true}})
			if _, err := io.WriteString(c, "during"); err != nil {
				t.Fatal(err)
			}
			c.(*net.TCPConn).CloseWrite()
			var heard atomic.Bool
			back := make(chan string, 1)
			go func() {
				text, err := io.ReadAll(c)
				heard.Store(true)
				if err != nil {
					text = []byte(err.Error())
				}
				back <- string(text)
			}()
			there(t, other, "meanwhile")
			refused := 0
			for begun := time.Now(); refused < 3; { // once its queue is full, whoever comes is not answered
				nc, err := net.DialTimeout("tcp4", a.Addr(), 200*time.Millisecond)
				if err == nil {
					nc.Close()
				} else if refused++; errors.Is(err, syscall.ECONNREFUSED) {
					t.Fatalf("a new connection is refused, not met with silence: %v", err)
				}
				if time.Since(begun) > patience {
					t.Fatal("connections go on coming up")
				}
			}
			if heard.Load() {
				t.Error("something came through the silence")
			}
			end()
			if text := <-back; text != "during" {
				t.Errorf("after it: %q", text)
			}
			there(t, dial(t, a), "anew")
		})
	}
}

// A late way brings nothing before its time, and what is sent later comes later.
func TestDelay(t *testing.T) {
	f, a, _ := laid(t)
	c := dial(t, a)
	const delay = 100 * time.Millisecond
	end := apply(t, f, Rule{From: "a", Way: There, Trouble: Trouble{Delay: delay}})
	apply(t, f, Rule{To: "ec*", Way: Back, Trouble: Trouble{Delay: delay}})
	for range 2 {
		began := time.Now()
		there(t, c, "late")
		if took := time.Since(began); took < 2*delay {
			t.Errorf("it took %v, of two delays of %v", took, delay)
		}
	}
	end() // the other rule stays
	began := time.Now()
	there(t, c, "less late")
	if took := time.Since(began); took < delay {
		t.Errorf("it took %v, of one delay of %v", took, delay)
	}
}

func TestRate(t *testing.T) {
	f, a, _ := laid(t)
	c := dial(t, a)
	apply(t, f, Rule{From: "a", Way: There, Trouble: Trouble{Rate: 100 << 10}})
	began := time.Now()
	there(t, c, strings.Repeat("x", 30<<10))
	if took := time.Since(began); took < 300*time.Millisecond {
		t.Errorf("30 KiB at 100 KiB a second took %v", took)
	}
}

// A cut lets just so many bytes through, and is a reset.
func TestCut(t *testing.T) {
	f, a, _ := laid(t)
	c := dial(t, a)
	there(t, c, "whole")
	apply(t, f, Rule{From: "a", Way: Back, Trouble: Trouble{Cut: 8}}) // of which five have passed
	if _, err := io.WriteString(c, "long enough"); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if !errors.Is(err, syscall.ECONNRESET) || !strings.HasPrefix("lon", string(got)) {
		t.Errorf("%q, %v", got, err)
	}
}

// Refusals, deaths and resets are told at once, are over with their end, and leave other links alone.
func TestRefusedDownAndReset(t *testing.T) {
	f, a, b := laid(t)
	addr, opened := a.Addr(), a.Opened()
	c, other := dial(t, a), dial(t, b)
	there(t, c, "before")
	if a.Opened() != opened+1 {
		t.Errorf("%d connections, one was opened", a.Opened()-opened)
	}
	end := apply(t, f, Rule{From: "a", Trouble: Trouble{Refused: true}})
	if _, err := net.DialTimeout("tcp4", addr, patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("refused: %v", err)
	}
	there(t, c, "what is open goes on")
	end()
	there(t, dial(t, a), "after")
	if err := a.Down(true); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("its server died: %v", err)
	}
	if _, err := net.DialTimeout("tcp4", addr, patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("to a dead one: %v", err)
	}
	if err := a.Down(false); err != nil || a.Addr() != addr {
		t.Fatalf("%v; at %s, it was at %s", err, a.Addr(), addr)
	}
	c = dial(t, a)
	there(t, c, "alive")
	f.Reset("a", "")
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset: %v", err)
	}
	there(t, other, "nothing of all that")
}

// A partition holds whoever connects, and healing brings back all.
func TestPartitionAndHeal(t *testing.T) {
	f, a, b := laid(t)
	c, d := dial(t, a), dial(t, b)
	there(t, c, "before")
	there(t, d, "before")
	if _, err := f.Partition("echo", "a,x*"); err != nil {
		t.Fatal(err)
	}
	apply(t, f, Rule{From: "b", Way: There, Trouble: Trouble{Silent: true}})
	for _, conn := range []net.Conn{c, d} {
		if _, err := io.WriteString(conn, "held"); err != nil {
			t.Fatal(err)
		}
		conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || !errors.Is(err, net.ErrClosed) && !err.(net.Error).Timeout() {
			t.Errorf("%d bytes, %v", n, err)
		}
	}
	if err := f.Heal(); err != nil {
		t.Fatal(err)
	}
	for _, conn := range []net.Conn{c, d} {
		conn.SetDeadline(time.Now().Add(patience))
		got := make([]byte, 4)
		if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, []byte("held")) {
			t.Errorf("%q, %v", got, err)
		}
	}
}

func TestRulesAddUp(t *testing.T) {
	ms := time.Millisecond
	rules := []*Rule{{From: "p-*", Trouble: Trouble{Delay: ms, Rate: 100, Cut: 9}}, {To: "n-1,n-2", Way: Back, Trouble: Trouble{Delay: 2 * ms, Rate: 50, Cut: 10}},
		{From: "p-7", Way: There, Trouble: Trouble{Silent: true}}}
	for _, k := range []struct {
		from, to    string
		there, back Trouble
	}{
		{"p-1", "n-2", Trouble{Delay: ms, Rate: 100, Cut: 9}, Trouble{Delay: 3 * ms, Rate: 50, Cut: 9}},
		{"p-7", "n-3", Trouble{Delay: ms, Rate: 100, Cut: 9, Silent: true}, Trouble{Delay: ms, Rate: 100, Cut: 9}},
		{"q", "n-3", Trouble{}, Trouble{}},
	} {
		if there, back := combine(rules, k.from, k.to); there != k.there || back != k.back {
			t.Errorf("%s to %s: %+v, %+v", k.from, k.to, there, back)
		}
	}
	for want, r := range map[string]Rule{"syntax error": {From: "[", Trouble: Trouble{Silent: true}}, "no trouble": {From: "a"}, "negative": {Trouble: Trouble{Cut: -1}},
		"1m": {Trouble: Trouble{Delay: time.Hour}}, "-3": {Trouble: Trouble{Rate: -3}}} {
		if _, err := New().Apply(r); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v", r, err)
		}
	}
	if _, err := New().Link("a", "b", net.IPv4(192, 0, 2, 1), nil); err == nil {
		t.Error("a link that is not on loopback")
	}
	if _, err := ParseWay("up"); err == nil {
		t.Error("a way that is none")
	}
}

// Guards against a connection that outlives a reset because it was just coming up, to a target from before the reset.
func TestResetEndsWhatIsComingUp(t *testing.T) {
	f := New()
	t.Cleanup(f.Close)
	l := echo(t)
	link, err := f.Link("a", "echo", net.IPv4(127, 0, 0, 1), func() string {
		f.Reset("a", "echo") // after the target was asked, before the connection to it is up
		return l.Addr().String()
	})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.DialTimeout("tcp4", link.Addr(), patience)
	if errors.Is(err, syscall.ECONNRESET) { // it has ended before Dial saw it come up
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Read on a connection that came up across a reset = %d, %v; want the connection's end", n, err)
	}
}
