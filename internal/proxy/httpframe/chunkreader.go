package httpframe

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	chunkOverheadBytes    = 16       // of a chunk's lines that are allowed beside twice its data
	maxChunkOverheadBytes = 16 << 10 // that may add up beyond what is allowed
	maxTrailerBytes       = 8 << 10
)

// ErrInvalidChunk is the error of a body that is not in the chunked transfer coding of RFC 9112, section 7.1.
var ErrInvalidChunk = errors.New("invalid chunked encoding")

// ChunkReader decodes a body in the chunked transfer coding, up to the end of its trailers, which it drops. Unlike that of
// net/http, its Read returns what has arrived of a chunk and does not wait until p is full.
type ChunkReader struct {
	source    *bufio.Reader
	remaining uint64 // bytes left of the current chunk's data
	begun     bool   // a chunk was read whose end of line was not
	overhead  int64  // bytes of the chunks' lines beyond what is allowed
	err       error  // what ended the body; io.EOF after its trailers
}

// NewChunkReader returns a reader of a body that starts at the next byte of source.
func NewChunkReader(source *bufio.Reader) *ChunkReader { return &ChunkReader{source: source} }

// Read blocks until some of the body has arrived. The error is io.EOF at the body's end, and io.ErrUnexpectedEOF if
// source ends before it.
func (r *ChunkReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for r.remaining == 0 && r.err == nil {
		r.err = r.nextChunk()
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p[:min(uint64(len(p)), r.remaining)])
	r.remaining -= uint64(n)
	r.err = noEOF(err)
	return n, r.err
}

// nextChunk reads up to the data of the next chunk. It returns io.EOF at the body's end.
func (r *ChunkReader) nextChunk() error {
	if r.begun {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return fmt.Errorf("%w: a chunk is longer than its size", ErrInvalidChunk)
		}
		r.begun = false
	}
	line, err := r.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	r.remaining, err = strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	if err != nil {
		return fmt.Errorf("%w: size %q", ErrInvalidChunk, size)
	}
	if r.remaining == 0 {
		return r.readTrailers()
	}
	r.begun = true
	return r.countOverhead(len(line))
}

// countOverhead limits what a sender adds to its data in the lines of its chunks.
func (r *ChunkReader) countOverhead(lineBytes int) error {
	excess := int64(lineBytes) - chunkOverheadBytes - 2*int64(min(r.remaining, maxChunkOverheadBytes))
	r.overhead = max(r.overhead+excess, 0)
	if r.overhead > maxChunkOverheadBytes {
		return fmt.Errorf("%w: too much beside the data", ErrInvalidChunk)
	}
	return nil
}

// readTrailers reads the trailers and the empty line that ends the body, and returns io.EOF.
func (r *ChunkReader) readTrailers() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := r.readLine()
		switch {
		case err != nil:
			return err
		case len(line) == 0:
			return io.EOF
		case bytes.IndexByte(line, ':') <= 0:
			return fmt.Errorf("%w: trailer %q", ErrInvalidChunk, line)
		}
		size += len(line)
	}
	return fmt.Errorf("%w: trailers of more than %d bytes", ErrInvalidChunk, maxTrailerBytes)
}

// readLine reads a line, which must end with CRLF, and returns it without its end. It is valid until the next read.
func (r *ChunkReader) readLine() ([]byte, error) {
	line, err := r.source.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("%w: a line of more than %d bytes", ErrInvalidChunk, r.source.Size())
	}
	if err != nil {
		return nil, noEOF(err)
	}
	text, ended := bytes.CutSuffix(line, []byte("\r\n"))
	if !ended || bytes.IndexByte(text, '\r') >= 0 {
		return nil, fmt.Errorf("%w: a line that does not end with CRLF", ErrInvalidChunk)
	}
	return text, nil
}

// noEOF turns the end of the source, which is not the end of the body, into an error.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
