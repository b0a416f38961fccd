package lograte

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func mustWrite(t *testing.T, w *Writer, line string) {
	t.Helper()
	if _, err := w.Write([]byte(line)); err != nil {
		t.Errorf("Write(%q): %v", line, err)
	}
}

func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("closing a %T: %v", c, err)
	}
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Lines above the rate are dropped, and the number of dropped lines is logged in the next window.
func TestWriterBoundsTheRate(t *testing.T) {
	b := &buffer{}
	w := New(b)
	for range 10 * maxLines {
		mustWrite(t, w, "repeated\n")
	}
	w.mu.Lock()
	w.windowStart = time.Now().Add(-2 * window)
	w.mu.Unlock()
	mustWrite(t, w, "new\n")
	mustClose(t, w)
	<-w.done
	if n := strings.Count(b.String(), "repeated\n"); n == 0 || n > 2*maxLines {
		t.Errorf("%d of %d lines were written within one window, want 1 to %d", n, 10*maxLines, 2*maxLines)
	}
	if !strings.Contains(b.String(), "left out") || !strings.HasSuffix(b.String(), "new\n") {
		t.Errorf("the log of %d bytes must report the dropped lines with \"left out\" and end with the line \"new\"; "+
			"it ends with %q", len(b.String()), b.String()[max(0, len(b.String())-60):])
	}
}

// Write does not block if the reader of the log has stopped reading.
func TestWriterNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe() // writes block, since nothing reads
	w := New(writer)
	written := make(chan bool)
	go func() {
		for range 4 * maxQueuedLines {
			w.mu.Lock()
			w.lines = 0
			w.mu.Unlock()
			mustWrite(t, w, "repeated\n")
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatalf("%d calls of Write did not return within 10s while nothing read the log", 4*maxQueuedLines)
	}
	mustClose(t, reader)
	mustClose(t, w)
}
