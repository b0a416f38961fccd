package hotrestart

import (
	"context"
	"net"
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"
)

func TestOrdersReachTheNextProcessAndBack(t *testing.T) {
	dir := t.TempDir()
	first := Open(dir, "n/1")
	for _, id := range []string{"s-2", "s-1", "s-2"} {
		if err := first.SetDetached(id, true); err != nil {
			t.Fatal(err)
		}
	}
	second := Open(dir, "n/1")
	if news, err := second.Refresh(); !news || err != nil {
		t.Fatalf("Refresh: %v, %v", news, err)
	}
	if got := second.Detached(); !slices.Equal(got, []string{"s-1", "s-2"}) {
		t.Fatalf("out: %q", got)
	}
	if err := second.SetDetached("s-1", false); err != nil {
		t.Fatal(err)
	}
	changed := make(chan bool, 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go first.Watch(ctx, time.Millisecond, func() { changed <- true }, func(err error) { t.Error(err) })
	select {
	case <-changed:
	case <-time.After(20 * time.Second):
		t.Fatal("the first process hears nothing of the second one's change")
	}
	if got := first.Detached(); !slices.Equal(got, []string{"s-2"}) {
		t.Errorf("out at the first: %q", got)
	}
	if err := first.SetDetached("s-3", true); err != nil { // on top of what the second has written
		t.Fatal(err)
	}
	if _, err := second.Refresh(); err != nil {
		t.Fatal(err)
	}
	if got := second.Detached(); !slices.Equal(got, []string{"s-2", "s-3"}) {
		t.Errorf("out at the second: %q", got)
	}
	if other := Open(dir, "n/2"); len(other.Detached()) > 0 {
		t.Error("another proxy has these orders too")
	}
}

func TestSpoiltStateIsAnErrorAndOrdersStillHold(t *testing.T) {
	s := Open(t.TempDir(), "n1")
	if err := os.WriteFile(s.path("out"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Refresh(); err == nil {
		t.Error("no error")
	}
	if err := s.SetDetached("s-1", true); err == nil {
		t.Error("no error from a change that was not written down")
	}
	if got := s.Detached(); !slices.Equal(got, []string{"s-1"}) {
		t.Errorf("out: %q", got)
	}
}

func TestWhoServes(t *testing.T) {
	dir := t.TempDir()
	first, second := Open(dir, "n1"), Open(dir, "n1")
	second.processID += "-2" // as if of another process
	if first.Superseded() || !first.OnlyProcess() {
		t.Error("the first is not alone")
	}
	if err := first.MarkServing(); err != nil {
		t.Fatal(err)
	}
	if first.Superseded() || second.OnlyProcess() {
		t.Error("the first is taken to have ended")
	}
	if err := second.MarkServing(); err != nil {
		t.Fatal(err)
	}
	if !first.Superseded() || second.Superseded() {
		t.Error("the second serves, and the first should know")
	}
	first.lifeLock.Close() // as its end does
	if !second.OnlyProcess() {
		t.Error("the second is alone now")
	}
}

func TestWithoutAFolder(t *testing.T) {
	s := Open("", "n1")
	if err := s.SetDetached("s-1", true); err != nil || len(s.Detached()) != 1 {
		t.Errorf("out %q, err %v", s.Detached(), err)
	}
	if !s.OnlyProcess() || s.Superseded() || s.MarkServing() != nil {
		t.Error("it needs a folder to serve")
	}
}

func TestListen(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	file, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, err := syscall.Dup(int(file.Fd())) // Listen takes it over
	if err != nil {
		t.Fatal(err)
	}
	listener, err := Listen(strconv.Itoa(fd), "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if got, want := listener.Addr().String(), held.Addr().String(); got != want {
		t.Errorf("listens on %s, want %s", got, want)
	}
	for _, bad := range []string{"x", "-1", "0", "2", "9999"} {
		if l, err := Listen(bad, "127.0.0.1:0"); err == nil {
			l.Close()
			t.Errorf("%q: no error", bad)
		}
	}
	if l, err := Listen("", "127.0.0.1:0"); err != nil {
		t.Error(err)
	} else {
		l.Close()
	}
}
