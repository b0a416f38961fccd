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

// Two processes of a proxy see each other's changes of the detached backends.
func TestDetachedBackendsAreShared(t *testing.T) {
	dir := t.TempDir()
	first := Open(dir, "n/1")
	for _, id := range []string{"s-2", "s-1", "s-2"} {
		if err := first.SetDetached(id, true); err != nil {
			t.Fatalf("first process: SetDetached(%s, true): %v", id, err)
		}
	}
	second := Open(dir, "n/1")
	if changed, err := second.Refresh(); !changed || err != nil {
		t.Fatalf("second process: Refresh() = %v, %v; want true, nil", changed, err)
	}
	if got := second.Detached(); !slices.Equal(got, []string{"s-1", "s-2"}) {
		t.Fatalf("second process: Detached() = %q, want [s-1 s-2]", got)
	}
	if err := second.SetDetached("s-1", false); err != nil {
		t.Fatalf("second process: SetDetached(s-1, false): %v", err)
	}
	changed := make(chan bool, 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	onError := func(err error) { t.Errorf("first process: Watch called onError: %v", err) }
	go first.Watch(ctx, time.Millisecond, func() { changed <- true }, onError)
	select {
	case <-changed:
	case <-time.After(20 * time.Second):
		t.Fatal("first process: Watch did not call onChange within 20s of the second process's SetDetached")
	}
	if got := first.Detached(); !slices.Equal(got, []string{"s-2"}) {
		t.Errorf("first process: Detached() after Watch = %q, want [s-2]", got)
	}
	if err := first.SetDetached("s-3", true); err != nil { // keeps the second process's change
		t.Fatalf("first process: SetDetached(s-3, true): %v", err)
	}
	if _, err := second.Refresh(); err != nil {
		t.Fatalf("second process: Refresh: %v", err)
	}
	if got := second.Detached(); !slices.Equal(got, []string{"s-2", "s-3"}) {
		t.Errorf("second process: Detached() after Refresh = %q, want [s-2 s-3]", got)
	}
	if other := Open(dir, "n/2"); len(other.Detached()) > 0 {
		t.Errorf("Detached() of another proxy in the same directory = %q, want none", other.Detached())
	}
}

// With a malformed file Refresh and SetDetached return errors, but the change applies in this process.
func TestUnreadableFileIsAnErrorAndChangesStillHold(t *testing.T) {
	s := Open(t.TempDir(), "n1")
	if err := os.WriteFile(s.path("out"), []byte("{"), 0o600); err != nil {
		t.Fatalf("writing a malformed file: %v", err)
	}
	if _, err := s.Refresh(); err == nil {
		t.Error("Refresh of a malformed file returned no error")
	}
	if err := s.SetDetached("s-1", true); err == nil {
		t.Error("SetDetached with a malformed file returned no error although it cannot write the change")
	}
	if got := s.Detached(); !slices.Equal(got, []string{"s-1"}) {
		t.Errorf("Detached() after SetDetached(s-1) with a malformed file = %q, want [s-1]", got)
	}
}

// A process notices that another one serves, and that the other one has ended.
func TestServingProcess(t *testing.T) {
	dir := t.TempDir()
	first := Open(dir, "n1")
	second := Open(dir, "n1")
	second.processID += "-2" // the ID that another process would have
	if first.Superseded() || !first.OnlyProcess() {
		t.Errorf("first process, alone: Superseded() = %v, OnlyProcess() = %v; want false and true",
			first.Superseded(), first.OnlyProcess())
	}
	if err := first.MarkServing(); err != nil {
		t.Fatalf("first process: MarkServing: %v", err)
	}
	if first.Superseded() || second.OnlyProcess() {
		t.Errorf("while the first process serves: first.Superseded() = %v, second.OnlyProcess() = %v; "+
			"want false and false", first.Superseded(), second.OnlyProcess())
	}
	if err := second.MarkServing(); err != nil {
		t.Fatalf("second process: MarkServing: %v", err)
	}
	if !first.Superseded() || second.Superseded() {
		t.Errorf("after MarkServing of the second process: first.Superseded() = %v, second.Superseded() = %v; "+
			"want true and false", first.Superseded(), second.Superseded())
	}
	if err := first.lifeLock.Close(); err != nil { // as the kernel does when the process ends
		t.Fatalf("releasing the first process's lock: %v", err)
	}
	if !second.OnlyProcess() {
		t.Error("second.OnlyProcess() after the first process released its lock = false, want true")
	}
}

// Without a directory the store keeps its state in memory, and the process counts as the only one.
func TestWithoutDirectory(t *testing.T) {
	s := Open("", "n1")
	if err := s.SetDetached("s-1", true); err != nil || len(s.Detached()) != 1 {
		t.Errorf("SetDetached(s-1) = %v, and then Detached() = %q; want nil and [s-1]", err, s.Detached())
	}
	if !s.OnlyProcess() || s.Superseded() || s.MarkServing() != nil {
		t.Errorf("OnlyProcess() = %v, Superseded() = %v, MarkServing() = %v; want true, false and nil",
			s.OnlyProcess(), s.Superseded(), s.MarkServing())
	}
}

// Listen uses an inherited socket, rejects invalid descriptors, and opens a socket if there is no descriptor.
func TestListen(t *testing.T) {
	original, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("opening the original listener: %v", err)
	}
	defer mustClose(t, original)
	file, err := original.(*net.TCPListener).File()
	if err != nil {
		t.Fatalf("getting the listener's file: %v", err)
	}
	defer mustClose(t, file)
	fd, err := syscall.Dup(int(file.Fd())) // Listen closes it
	if err != nil {
		t.Fatalf("duplicating the listener's descriptor: %v", err)
	}
	listener, err := Listen(strconv.Itoa(fd), "127.0.0.1:1")
	if err != nil {
		t.Fatalf("Listen(%d) with the descriptor of a listening socket: %v", fd, err)
	}
	defer mustClose(t, listener)
	if got, want := listener.Addr().String(), original.Addr().String(); got != want {
		t.Errorf("Listen(%d) listens on %s, want %s", fd, got, want)
	}
	for _, invalid := range []string{"x", "-1", "0", "2", "9999"} {
		if l, err := Listen(invalid, "127.0.0.1:0"); err == nil {
			mustClose(t, l)
			t.Errorf("Listen(%q) returned no error, want one", invalid)
		}
	}
	l, err := Listen("", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen without a descriptor: %v", err)
	}
	mustClose(t, l)
}

func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("closing a %T: %v", c, err)
	}
}
