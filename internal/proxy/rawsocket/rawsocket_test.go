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
		t.Fatalf("Listen(): %v", err)
	}
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatalf("Dial(): %v", err)
	}
	t.Cleanup(func() { _ = near.Close() })
	far, err = listener.Accept()
	if err != nil {
		t.Fatalf("Accept(): %v", err)
	}
	t.Cleanup(func() { _ = far.Close() })
	return near, far
}

// eventually waits up to 10 s until condition is true, since the kernel updates the socket asynchronously.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

func TestSilentAndPeerClosed(t *testing.T) {
	near, far := connect(t)
	if !Silent(near) || PeerClosed(near) {
		t.Fatalf("new connection: Silent() = %v, PeerClosed() = %v, want true and false", Silent(near), PeerClosed(near))
	}
	if _, err := io.WriteString(far, "x"); err != nil {
		t.Fatalf("sending a byte: %v", err)
	}
	eventually(t, "Silent() = true with an unread byte, want false", func() bool { return !Silent(near) })
	if PeerClosed(near) {
		t.Fatal("PeerClosed() = true with an unread byte, want false")
	}
	if _, err := io.ReadFull(near, make([]byte, 1)); err != nil {
		t.Fatalf("reading the byte after Silent(): %v; Silent() must not consume it", err)
	}
	if err := far.Close(); err != nil {
		t.Fatalf("closing the peer: %v", err)
	}
	eventually(t, "PeerClosed() = false after the peer's close, want true", func() bool { return PeerClosed(near) })
	if Silent(near) {
		t.Fatal("Silent() = true after the peer's close, want false")
	}
}

// HungUp shows a peer's close or reset also behind unread bytes, and takes no bytes for one.
func TestHungUp(t *testing.T) {
	for name, hangUp := range map[string]func(far *net.TCPConn) error{
		"close":      (*net.TCPConn).Close,
		"half close": (*net.TCPConn).CloseWrite,
		"reset": func(far *net.TCPConn) error {
			return errors.Join(far.SetLinger(0), far.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			if HungUp(near) {
				t.Fatal("new connection: HungUp() = true, want false")
			}
			if _, err := io.WriteString(far, "unread"); err != nil {
				t.Fatalf("sending: %v", err)
			}
			eventually(t, "the bytes did not arrive", func() bool { return !Silent(near) })
			if HungUp(near) {
				t.Fatal("HungUp() = true with unread bytes of an open connection, want false")
			}
			if err := hangUp(far.(*net.TCPConn)); err != nil {
				t.Fatalf("hanging up: %v", err)
			}
			eventually(t, "HungUp() = false after the peer hung up behind unread bytes, want true", func() bool { return HungUp(near) })
		})
	}
	near, _ := net.Pipe()
	if HungUp(near) {
		t.Error("HungUp() = true for a connection without a socket, want false")
	}
}

// Bytes that do not fit into the peer's receive buffer stay unacknowledged until the peer reads.
func TestUnacknowledged(t *testing.T) {
	near, far := connect(t)
	if n, supported := Unacknowledged(near); n != 0 || !supported {
		t.Fatalf("new connection: Unacknowledged() = %d, %v, want 0, true", n, supported)
	}
	written := fillSendBuffer(t, near)
	before, supported := Unacknowledged(near)
	if before == 0 || before > written || !supported {
		t.Fatalf("Unacknowledged() = %d, %v after %d bytes that are not read, want a part of them, true",
			before, supported, written)
	}
	if _, err := io.ReadFull(far, make([]byte, written-before)); err != nil {
		t.Fatalf("reading at the peer: %v", err)
	}
	eventually(t, "Unacknowledged() did not decrease after the peer read all that its system held", func() bool {
		n, _ := Unacknowledged(near)
		return n < before
	})
}

// fillSendBuffer writes until the socket takes no more, and returns the number of bytes.
func fillSendBuffer(t *testing.T, nc net.Conn) int {
	t.Helper()
	raw, err := Conn(nc)
	if err != nil {
		t.Fatalf("Conn(): %v", err)
	}
	written := 0
	chunk := make([]byte, 64<<10)
	writeErr := raw.Write(func(fd uintptr) bool {
		for {
			n, err := syscall.Write(int(fd), chunk)
			if err != nil {
				return true
			}
			written += n
		}
	})
	if writeErr != nil {
		t.Fatalf("writing to the socket: %v", writeErr)
	}
	return written
}

func TestReadDoesNotWait(t *testing.T) {
	near, _ := connect(t)
	raw, err := Conn(near)
	if err != nil {
		t.Fatalf("Conn(): %v", err)
	}
	var readErr error
	if err := raw.Control(func(fd uintptr) { _, readErr = Read(fd, make([]byte, 1)) }); err != nil {
		t.Fatalf("Control() of the socket: %v", err)
	}
	if !errors.Is(readErr, syscall.EAGAIN) {
		t.Errorf("Read() with nothing to read: error %v, want %v", readErr, syscall.EAGAIN)
	}
}

func TestConnectionWithoutSocket(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	if _, err := Conn(near); err == nil {
		t.Error("Conn() of a net.Pipe succeeded, want an error because it has no socket")
	}
	if !Silent(near) || PeerClosed(near) {
		t.Errorf("net.Pipe: Silent() = %v, PeerClosed() = %v, want true and false", Silent(near), PeerClosed(near))
	}
}
