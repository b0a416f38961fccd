package rawsocket

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// connect returns the two ends of a loopback connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	return near, far
}

// eventually waits for a condition that the kernel brings about a moment later.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestSilentAndPeerClosed(t *testing.T) {
	near, far := connect(t)
	if !Silent(near) || PeerClosed(near) {
		t.Fatal("a new connection is not silent and open")
	}
	if _, err := io.WriteString(far, "x"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a byte that has arrived is not seen", func() bool { return !Silent(near) })
	if PeerClosed(near) {
		t.Fatal("a connection with a byte to be read counts as closed")
	}
	if _, err := io.ReadFull(near, make([]byte, 1)); err != nil {
		t.Fatalf("the byte was taken by the look at it: %v", err)
	}
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the peer's close is not seen", func() bool { return PeerClosed(near) })
	if Silent(near) {
		t.Fatal("a closed connection counts as silent")
	}
}

func TestReadDoesNotWait(t *testing.T) {
	near, _ := connect(t)
	raw, err := Conn(near)
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { _, failed = Read(fd, make([]byte, 1)) }); err != nil {
		t.Fatal(err)
	}
	if !errors.Is(failed, syscall.EAGAIN) {
		t.Errorf("got %v, want %v", failed, syscall.EAGAIN)
	}
}

func TestConnectionWithoutSocket(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	if _, err := Conn(near); err == nil {
		t.Error("a pipe has a socket")
	}
	if !Silent(near) || PeerClosed(near) {
		t.Error("a pipe is not silent and open")
	}
}
