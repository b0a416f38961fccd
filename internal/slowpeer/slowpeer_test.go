package slowpeer

import (
	"errors"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

const (
	sendBuffer    = 4 << 20  // bytes
	acknowledged  = 64 << 10 // bytes that a peer's system acknowledges at once
	writeBytes    = 32 << 10
	responseBytes = 8 << 20
)

var testLimit = Limit{Interval: 10 * time.Second, Bytes: 32 << 10}

// simulatedSocket behaves as a TCP socket whose peer reads at a constant rate: a write that finds the send buffer full
// blocks until a third of the buffer has been acknowledged. It runs on the clock of synctest.
type simulatedSocket struct {
	openedAt  time.Time
	rate      int           // bytes a second that the peer reads
	readsFor  time.Duration // after which the peer reads nothing more
	hidden    bool          // the system does not tell what is unacknowledged
	deadline  time.Time
	setFailed error // error of SetWriteDeadline
	written   int
}

func (s *simulatedSocket) taken() int {
	readFor := min(time.Since(s.openedAt), s.readsFor)
	read := int(readFor.Seconds() * float64(s.rate))
	return min(s.written, read/acknowledged*acknowledged)
}

func (s *simulatedSocket) room() int { return sendBuffer - (s.written - s.taken()) }

func (s *simulatedSocket) Write(p []byte) (int, error) {
	if s.room() == 0 {
		for s.room() < sendBuffer/3 {
			if !time.Now().Before(s.deadline) {
				return 0, os.ErrDeadlineExceeded
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	n := min(len(p), s.room())
	s.written += n
	if n < len(p) {
		more, err := s.Write(p[n:])
		return n + more, err
	}
	return n, nil
}

func (s *simulatedSocket) SetWriteDeadline(deadline time.Time) error {
	s.deadline = deadline
	return s.setFailed
}

func (s *simulatedSocket) Unacknowledged() (int, bool) {
	if s.hidden {
		return 0, false
	}
	return s.written - s.taken(), true
}

// writeResponse writes a long response in pieces until an error.
func writeResponse(s *simulatedSocket) error {
	s.openedAt = time.Now()
	for range responseBytes / writeBytes {
		if n, err := Write(s, make([]byte, writeBytes), testLimit); err != nil {
			return err
		} else if n != writeBytes {
			return io.ErrShortWrite
		}
	}
	return nil
}

// Guards against long answers being cut off for clients that read slowly: one write blocks for longer than the interval,
// while the peer takes bytes all the time.
func TestSlowPeerIsNotStalled(t *testing.T) {
	for _, rate := range []int{16 << 10, 64_000, 80_000, 1_000_000} {
		synctest.Test(t, func(t *testing.T) {
			s := &simulatedSocket{rate: rate, readsFor: time.Hour}
			if err := writeResponse(s); err != nil {
				t.Errorf("writing to a peer that reads %d bytes/s failed after %v and %d bytes: %v",
					rate, time.Since(s.openedAt), s.written, err)
			}
		})
	}
}

// A write to a peer that takes nothing more, or less than the limit, fails within the interval after its last bytes.
func TestWriteToStalledPeerFailsWithinInterval(t *testing.T) {
	for name, s := range map[string]*simulatedSocket{
		"reads nothing":                   {},
		"stops after 3 s":                 {rate: 300_000, readsFor: 3 * time.Second},
		"stops after 20 s":                {rate: 80_000, readsFor: 20 * time.Second},
		"reads a tenth of the limit":      {rate: testLimit.Bytes / 100, readsFor: time.Hour},
		"reads nothing, system is silent": {hidden: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				err := writeResponse(s)
				stalled := (*StalledError)(nil)
				if !errors.As(err, &stalled) || !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatalf("writing to a stalled peer: error %v, want a StalledError that is a timeout", err)
				}
				readsFor := s.readsFor
				if s.rate < testLimit.Bytes/10 {
					readsFor = 0
				}
				if silent := time.Since(s.openedAt) - readsFor; silent > testLimit.Interval {
					t.Errorf("the write failed after %v without progress, want at most %v", silent, testLimit.Interval)
				}
			})
		})
	}
}

// Where the system does not tell what is unacknowledged, bytes that the socket accepts count as taken.
func TestAcceptedBytesCountWithoutAcknowledgements(t *testing.T) {
	accept := &acceptingConn{}
	if n, err := Write(accept, make([]byte, 8), Limit{Interval: time.Hour, Bytes: 1}); n != 8 || err != nil {
		t.Errorf("Write() = %d, %v for a connection that accepts a byte before each deadline, want 8, nil", n, err)
	}
}

// acceptingConn accepts one byte of each write, and then its deadline passes.
type acceptingConn struct{ simulatedSocket }

func (*acceptingConn) Write([]byte) (int, error)   { return 1, os.ErrDeadlineExceeded }
func (*acceptingConn) Unacknowledged() (int, bool) { return 0, false }

// A process that was held up for longer than the interval does not take the peer for stalled because of that.
func TestHeldUpProcessDoesNotBlamePeer(t *testing.T) {
	now := time.Now()
	w := window{limit: testLimit}
	steps := []struct {
		after time.Duration
		total int
		want  bool
	}{
		{after: 0, total: 0, want: true},
		{after: 3 * testLimit.Interval, total: testLimit.Bytes, want: true}, // held up, and the peer took bytes meanwhile
		{after: testLimit.Interval / 2, total: testLimit.Bytes, want: true},
		{after: testLimit.Interval / 2, total: 2*testLimit.Bytes - 1, want: false},
	}
	for i, step := range steps {
		now = now.Add(step.after)
		if got := w.advance(now, step.total); got != step.want {
			t.Fatalf("check %d: the peer is within the limit: %v, want %v", i, got, step.want)
		}
	}
}

// A connection that no longer lets deadlines be set, as one that was interrupted, ends the write at once.
func TestFailedDeadlineEndsWrite(t *testing.T) {
	s := &simulatedSocket{setFailed: os.ErrDeadlineExceeded}
	if n, err := Write(s, make([]byte, 1), testLimit); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Write() = %d, %v on an interrupted connection, want 0, %v", n, err, os.ErrDeadlineExceeded)
	}
}
