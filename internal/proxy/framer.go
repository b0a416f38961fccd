package proxy

import (
	"bytes"
	"strconv"
)

// framing is how a request's head tells where its body ends.
type framing struct {
	length  int64 // -1 if no Content-Length is given
	chunked bool
	odd     bool // told twice, in both ways, or in a way that can't be read
}

// framer follows the messages in what a client sends: it finds where each one ends, and what each head says of
// that. net/http drops a length beside an encoding without a word; who goes by the other one of the two would
// find a request inside the body.
type framer struct {
	state frameState
	line  []byte  // of the head, of a chunk's size or of the trailer, as far as it is there and needed
	head  framing // of the message being read
	first bool    // its first line is there
	left  int64   // of the body, or of the chunk
	ended []framing
}

type frameState uint8

const (
	inHead frameState = iota
	inBody
	inSize
	inChunk
	inChunkEnd
	inTrailer
	lost // the bytes make no sense: net/http will end the connection
)

const lineKept = 256 // of a line; what is looked for is short

// scan follows bytes up to the end of the message under way, and tells how many that were.
func (f *framer) scan(b []byte) int {
	for i := 0; i < len(b); {
		switch f.state {
		case lost:
			return len(b)
		case inBody, inChunk:
			n := int(min(f.left, int64(len(b)-i)))
			i, f.left = i+n, f.left-int64(n)
			if f.left > 0 {
				continue
			}
			if f.state == inBody {
				f.reset()
				return i
			}
			f.state = inChunkEnd
		default:
			end := bytes.IndexByte(b[i:], '\n')
			part := b[i:]
			if end >= 0 {
				part = part[:end+1]
			}
			i += len(part)
			f.line = append(f.line, part[:min(len(part), max(0, lineKept-len(f.line)))]...)
			if end < 0 {
				continue
			}
			line := bytes.TrimRight(f.line, "\r\n")
			f.line = f.line[:0]
			if f.ends(line) {
				f.reset()
				return i
			}
		}
	}
	return len(b)
}

// between tells whether a message has ended and no byte of the next one is there.
func (f *framer) between() bool { return f.state == inHead && !f.first && len(f.line) == 0 }

func (f *framer) reset() {
	f.state, f.first, f.left = inHead, false, 0
}

// ends takes a line and tells whether the message ends with it.
func (f *framer) ends(line []byte) bool {
	switch f.state {
	case inHead:
		return f.headLine(line)
	case inSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
		switch {
		case err != nil:
			f.state = lost
		case n == 0:
			f.state = inTrailer
		default:
			f.state, f.left = inChunk, int64(n)
		}
	case inChunkEnd:
		if f.state = inSize; len(line) > 0 {
			f.state = lost
		}
	case inTrailer:
		return len(line) == 0
	}
	return false
}

func (f *framer) headLine(line []byte) bool {
	if !f.first {
		f.first, f.head = true, framing{length: -1}
		return false
	}
	if len(line) == 0 {
		f.ended = append(f.ended, f.head)
		switch {
		case f.head.odd:
			f.state = lost
		case f.head.chunked:
			f.state = inSize
		case f.head.length > 0:
			f.state, f.left = inBody, f.head.length
		default:
			return true
		}
		return false
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
		n, err := strconv.ParseUint(string(value), 10, 62)
		f.head.odd = f.head.odd || err != nil || f.head.chunked || f.head.length >= 0
		f.head.length = int64(n)
	case bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
		f.head.odd = f.head.odd || f.head.chunked || f.head.length >= 0 || !bytes.EqualFold(value, []byte("chunked"))
		f.head.chunked = true
	}
	return false
}

// next is the framing of the request that is handled next. Each is given once.
func (f *framer) next() (framing, bool) {
	if len(f.ended) == 0 {
		return framing{}, false
	}
	h := f.ended[0]
	f.ended = f.ended[1:]
	return h, true
}
