// Package httpframe finds the boundaries of HTTP/1.1 requests in the bytes that a client sends.
//
// net/http silently ignores a Content-Length beside a Transfer-Encoding. A server that uses the other of the two
// would find a second request inside the body (request smuggling). A Scanner therefore reads the same bytes beside
// net/http and reports how each head delimits its body, so that ambiguous requests can be rejected.
package httpframe

import (
	"bytes"
	"strconv"
)

// Framing says how a request's head delimits its body.
type Framing struct {
	Length    int64 // Content-Length in bytes; -1 if there is none
	Chunked   bool  // Transfer-Encoding: chunked
	Ambiguous bool  // the length is given more than once, in both ways, or in an invalid form
}

// HeadSize is the size of a request's head, or of the part of it that has been scanned.
type HeadSize struct {
	Bytes  int
	Fields int // complete header lines
}

// Scanner follows the requests on one connection. The zero value is ready for the first byte of a connection.
// It is not safe for concurrent use.
type Scanner struct {
	state     scanState
	line      []byte    // the current line of a head, chunk size or trailer, up to maxLineBytes
	head      Framing   // framing of the request being read
	started   bool      // the request line has been read
	remaining int64     // bytes left of the body or of the current chunk
	heads     []Framing // framings of the heads scanned and not yet returned by NextFraming, in order
	size      HeadSize  // of the head being scanned, or of the last one
	sizeKnown bool      // size is that of a complete head
}

// scanState is the part of a request that the next byte belongs to.
type scanState uint8

const (
	stateHead scanState = iota
	stateBody
	stateChunkSize
	stateChunk
	stateChunkEnd
	stateTrailer
	stateInvalid // the framing is ambiguous or invalid: net/http closes the connection
)

// maxLineBytes is the number of bytes of a line that are kept. The header lines that are evaluated are short.
const maxLineBytes = 256

// Scan scans b up to the end of the current request and returns how many bytes of b belong to it.
func (s *Scanner) Scan(b []byte) int {
	for i := 0; i < len(b); {
		var ended bool
		switch s.state {
		case stateInvalid:
			return len(b)
		case stateBody, stateChunk:
			n := int(min(s.remaining, int64(len(b)-i)))
			i += n
			ended = s.skip(int64(n))
		default:
			part := b[i:]
			end := bytes.IndexByte(part, '\n')
			if end >= 0 {
				part = part[:end+1]
			}
			i += len(part)
			s.line = append(s.line, part[:min(len(part), max(0, maxLineBytes-len(s.line)))]...)
			s.measure(len(part))
			if end < 0 {
				continue
			}
			line := bytes.TrimRight(s.line, "\r\n")
			s.line = s.line[:0]
			ended = s.endsRequest(line)
		}
		if ended {
			s.reset()
			return i
		}
	}
	return len(b)
}

// measure counts bytes outside the body if they belong to a head.
func (s *Scanner) measure(n int) {
	if s.state != stateHead {
		return
	}
	if s.sizeKnown {
		s.size = HeadSize{}
		s.sizeKnown = false
	}
	s.size.Bytes += n
}

// HeadSize returns the size of the head being scanned so far, or of the last head.
func (s *Scanner) HeadSize() HeadSize { return s.size }

// skip skips n bytes of a body or chunk and reports whether the request ends with them.
func (s *Scanner) skip(n int64) bool {
	s.remaining -= n
	if s.remaining > 0 {
		return false
	}
	if s.state == stateBody {
		return true
	}
	s.state = stateChunkEnd
	return false
}

// BetweenRequests reports whether a request has ended and no byte of the next one has been scanned.
func (s *Scanner) BetweenRequests() bool {
	return s.state == stateHead && !s.started && len(s.line) == 0
}

// HeadComplete reports whether a complete head has been scanned whose request is not finished: its framing was not
// taken by NextFraming, or its body has not ended.
func (s *Scanner) HeadComplete() bool {
	return len(s.heads) > 0 || s.state != stateHead && s.state != stateInvalid
}

// NextFraming returns the framing of the next request in the order of arrival, once each. The second result is
// false if no further head is complete.
func (s *Scanner) NextFraming() (Framing, bool) {
	if len(s.heads) == 0 {
		return Framing{}, false
	}
	head := s.heads[0]
	s.heads = s.heads[1:]
	return head, true
}

func (s *Scanner) reset() {
	s.state = stateHead
	s.started = false
	s.remaining = 0
}

// endsRequest processes a complete line outside the body and reports whether the request ends with it.
func (s *Scanner) endsRequest(line []byte) bool {
	switch s.state {
	case stateHead:
		return s.scanHeadLine(line)
	case stateChunkSize:
		s.scanChunkSize(line)
	case stateChunkEnd:
		s.state = stateChunkSize
		if len(line) > 0 {
			s.state = stateInvalid
		}
	case stateTrailer:
		return len(line) == 0
	}
	return false
}

func (s *Scanner) scanChunkSize(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
	switch {
	case err != nil:
		s.state = stateInvalid
	case n == 0:
		s.state = stateTrailer
	default:
		s.state = stateChunk
		s.remaining = int64(n)
	}
}

func (s *Scanner) scanHeadLine(line []byte) bool {
	if !s.started {
		s.started = true
		s.head = Framing{Length: -1}
		return false
	}
	if len(line) == 0 {
		return s.endHead()
	}
	s.size.Fields++
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	head := &s.head
	switch {
	case bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
		n, err := strconv.ParseUint(string(value), 10, 62)
		head.Ambiguous = head.Ambiguous || err != nil || head.Chunked || head.Length >= 0
		head.Length = int64(n)
	case bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
		onlyChunked := bytes.EqualFold(value, []byte("chunked"))
		head.Ambiguous = head.Ambiguous || head.Chunked || head.Length >= 0 || !onlyChunked
		head.Chunked = true
	}
	return false
}

// endHead keeps the framing for NextFraming and reports whether the request has no body.
func (s *Scanner) endHead() bool {
	s.sizeKnown = true
	s.heads = append(s.heads, s.head)
	switch {
	case s.head.Ambiguous:
		s.state = stateInvalid
	case s.head.Chunked:
		s.state = stateChunkSize
	case s.head.Length > 0:
		s.state = stateBody
		s.remaining = s.head.Length
	default:
		return true
	}
	return false
}
