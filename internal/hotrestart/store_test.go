package hotrestart

import (
	"context"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"
)

func TestDetachedBackendsAreShared(t *testing.T) {
	dir := t.TempDir()
	first := Open(dir, "n/1")
	for _, id := range []string{"s-2", "s-1", "s-2"} {
		if err := first.SetDetached(id, true); err != nil {
			t.Fatal(err)
		}
	}
	second := Open(dir, "n/1")
	if changed, err := second.Refresh(); !changed || err != nil {
		t.Fatalf("Refresh: %v, %v", changed, err)
	}
	if got := second.Detached(); !slices.Equal(got, []string{"s-1", "s-2"}) {
		t.Fatalf("detached: %q", got)
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
		t.Fatal("the first process does not see the second one's change")
	}
	if got := first.Detached(); !slices.Equal(got, []string{"s-2"}) {
		t.Errorf("detached at the first: %q", got)
	}
	if err := first.SetDetached("s-3", true); err != nil { // on top of what the second has written
		t.Fatal(err)
	}
	if _, err := second.Refresh(); err != nil {
		t.Fatal(err)
	}
	if got := second.Detached(); !slices.Equal(got, []string{"s-2", "s-3"}) {
		t.Errorf("detached at the second: %q", got)
	}
	if other := Open(dir, "n/2"); len(other.Detached()) > 0 {
		t.Error("another proxy has these backends detached too")
	}
}

func TestUnreadableFileIsAnErrorAndChangesStillHold(t *testing.T) {
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
		t.Errorf("detached: %q", got)
	}
}

func TestServingProcess(t *testing.T) {
	dir := t.TempDir()
	first := Open(dir, "n1")
	second := Open(dir, "n1")
	second.processID += "-2" // as if of another process
	if first.Superseded() || !first.OnlyProcess() {
		t.Error("the first is not the only process")
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
	if err := first.lifeLock.Close(); err != nil { // as its end does
		t.Fatal(err)
	}
	if !second.OnlyProcess() {
		t.Error("the second is the only process now")
	}
}

func TestWithoutDirectory(t *testing.T) {
	s := Open("", "n1")
	if err := s.SetDetached("s-1", true); err != nil || len(s.Detached()) != 1 {
		t.Errorf("detached %q, err %v", s.Detached(), err)
	}
	if !s.OnlyProcess() || s.Superseded() || s.MarkServing() != nil {
		t.Error("it needs a directory to serve")
	}
}

func TestListen(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(t, held)
	file, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(t, file)
	fd, err := syscall.Dup(int(file.Fd())) // Listen takes it over
	if err != nil {
		t.Fatal(err)
	}
	listener, err := Listen(strconv.Itoa(fd), "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(t, listener)
	if got, want := listener.Addr().String(), held.Addr().String(); got != want {
		t.Errorf("listens on %s, want %s", got, want)
	}
	for _, bad := range []string{"x", "-1", "0", "2", "9999"} {
		if l, err := Listen(bad, "127.0.0.1:0"); err == nil {
			closeNow(t, l)
			t.Errorf("%q: no error", bad)
		}
	}
	l, err := Listen("", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeNow(t, l)
}

func closeNow(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
