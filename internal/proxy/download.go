package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// firstReadBytes is the size of the buffer for the first bytes of a streamed response.
const firstReadBytes = 512

// download is a long response that is streamed to the client. The goroutine that receives it must read it and then call
// End.
type download struct {
	length    int64 // Content-Length in bytes; -1 if there is none
	body      *bufio.Reader
	closeBody func()
	result    chan error // buffered; receives the argument of End
}

// newDownload returns a download of length bytes, or of unknown length if length is -1.
func newDownload(length int64, body io.Reader) *download {
	return &download{
		length:    length,
		body:      bufio.NewReaderSize(body, firstReadBytes),
		closeBody: func() {},
		result:    make(chan error, 1),
	}
}

// awaitFirstByte blocks until the first byte of the body has arrived. It returns io.EOF for a complete body without one.
func (d *download) awaitFirstByte() error {
	_, err := d.body.Peek(1)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF) && d.length < 0:
		return io.EOF
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("reading the first byte of the response's body: %w", err)
}

// Read reads the response.
func (d *download) Read(p []byte) (int, error) { return d.body.Read(p) }

// End reports that the response was read to its end (nil), or why not. It does not block.
func (d *download) End(err error) {
	select {
	case d.result <- err:
	default:
	}
}

// minResponseRate is the minimum mean rate of a response's body in bytes per second, so low that a backend below it can't
// be told from one that keeps a connection busy without an answer.
const minResponseRate = 1 << 10

// boundedReader reads a response's body with a deadline for each read, a minimum mean rate and a maximum length
// (maxBodyBytes), so that a backend can't hold the request forever. Only the time spent waiting for the backend counts,
// not the time that the client takes. A read from source must return what has arrived.
type boundedReader struct {
	source    io.Reader
	conn      *conn
	readBytes int64
	waited    time.Duration // total time spent in reads from source
}

// Read reads the next chunk.
func (l *boundedReader) Read(p []byte) (int, error) {
	startedAt := time.Now()
	left := readStallTimeout + time.Duration(float64(l.readBytes)/minResponseRate*float64(time.Second)) - l.waited
	l.conn.limitRead(startedAt.Add(min(left, readStallTimeout)))
	n, err := l.source.Read(p)
	l.waited += time.Since(startedAt)
	l.readBytes += int64(n)
	if l.readBytes > maxBodyBytes {
		return n, fmt.Errorf("%w: more than %d bytes", errInvalidResponse, maxBodyBytes)
	}
	return n, err
}

// prefetcher reads a response ahead of its reader, up to maxBufferedBody bytes, to find out whether a response of
// unknown length is short enough to be buffered.
type prefetcher struct {
	mu      sync.Mutex
	changed sync.Cond
	buf     []byte
	err     error // error of the source; io.EOF after the last byte
	closed  bool
}

// startPrefetch starts to read in a goroutine. The goroutine ends at the source's error, or when its current read
// returns after close.
func startPrefetch(source io.Reader) *prefetcher {
	p := &prefetcher{}
	p.changed.L = &p.mu
	go p.run(source)
	return p
}

// run reads the source until it ends or the prefetcher is closed.
func (p *prefetcher) run(source io.Reader) {
	chunk := make([]byte, copyChunkBytes)
	for {
		n, err := source.Read(chunk)
		if !p.add(chunk[:n], err) {
			return
		}
	}
}

// add appends bytes that were read to the buffer, and blocks while the buffer is full. It reports whether to read more.
func (p *prefetcher) add(chunk []byte, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.buf = append(p.buf, chunk...)
	p.err = err
	p.changed.Broadcast()
	for err == nil && len(p.buf) > maxBufferedBody && !p.closed {
		p.changed.Wait()
	}
	return err == nil && !p.closed
}

// waitForEnd blocks until the source has ended, the buffer is full or the timeout has passed. If the whole body has
// been read by then, it returns the body with complete set. An error is one of the source.
func (p *prefetcher) waitForEnd(timeout time.Duration) (body []byte, complete bool, err error) {
	timedOut := false
	timer := time.AfterFunc(timeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		timedOut = true
		p.changed.Broadcast()
	})
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.err == nil && len(p.buf) <= maxBufferedBody && !timedOut {
		p.changed.Wait()
	}
	switch {
	case p.err != nil && !errors.Is(p.err, io.EOF):
		return nil, false, p.err
	case p.err != nil && len(p.buf) <= maxBufferedBody:
		return p.buf, true, nil
	}
	return nil, false, nil
}

// Read returns buffered bytes, and blocks until there are some or the source has ended.
func (p *prefetcher) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.buf) == 0 && p.err == nil {
		p.changed.Wait()
	}
	if len(p.buf) == 0 {
		return 0, p.err
	}
	n := copy(b, p.buf)
	p.buf = append(p.buf[:0], p.buf[n:]...)
	p.changed.Broadcast()
	return n, nil
}

// close stops the prefetching. A read in progress ends when the connection is closed.
func (p *prefetcher) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
}
