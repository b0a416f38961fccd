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
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func mustWrite(t *testing.T, w *Writer, line string) {
	t.Helper()
	if _, err := w.Write([]byte(line)); err != nil {
		t.Error(err)
	}
}

func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestWriterBoundsTheRate(t *testing.T) {
	b := &buffer{}
	w := New(b)
	for range 10 * maxLines {
		mustWrite(t, w, "again\n")
	}
	w.mu.Lock()
	w.windowStart = time.Now().Add(-2 * window)
	w.mu.Unlock()
	mustWrite(t, w, "new\n")
	mustClose(t, w)
	<-w.done
	if n := strings.Count(b.String(), "again\n"); n == 0 || n > 2*maxLines {
		t.Errorf("%d lines", n)
	}
	if !strings.Contains(b.String(), "left out") || !strings.HasSuffix(b.String(), "new\n") {
		t.Error("the dropped lines are not reported, or nothing is written after that")
	}
}

// A log reader that stands still does not block writers.
func TestWriterNeverBlocks(t *testing.T) {
	in, out := io.Pipe() // without a reader every write blocks
	w := New(out)
	wrote := make(chan bool)
	go func() {
		for range 4 * maxQueuedLines {
			w.mu.Lock()
			w.lines = 0
			w.mu.Unlock()
			mustWrite(t, w, "again\n")
		}
		close(wrote)
	}()
	select {
	case <-wrote:
	case <-time.After(10 * time.Second):
		t.Fatal("a write waited for the log's reader")
	}
	mustClose(t, in)
	mustClose(t, w)
}
