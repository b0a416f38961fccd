package peerfaults

import (
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	shortBodyBytes = 40_000
	longBodyBytes  = 100_000
	hugeBodyBytes  = 8_000_000
	chunkBytes     = 1000 // of each of many chunks

	dribbleInterval        = 100 * time.Millisecond
	dribbleBodyBytes       = 800  // in each interval: 8 kB a second
	clientDribbleBodyBytes = 6400 // the same of a client: 64 kB a second
	dribbleHeadBytes       = 1    // in each interval
)

// wireMessage is a request or an answer as it is written, with the places of its points.
type wireMessage struct {
	text   string
	points map[Point]int // number of bytes that are written before the point
	body   string
}

// newMessage returns the message that starts with the given lines and has a body of the framing.
func newMessage(lines string, framing Framing) wireMessage {
	body := bodyText(framing)
	chunkSize := 0
	switch framing {
	case ShortLength, LongLength, HugeLength:
		lines += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case OneChunk:
		lines += "Transfer-Encoding: chunked\r\n"
		chunkSize = len(body)
	case ManyChunks:
		lines += "Transfer-Encoding: chunked\r\n"
		chunkSize = chunkBytes
	}
	head := lines + "\r\n"
	encoded, dataAt := body, 0
	if chunkSize > 0 {
		encoded = chunked(body, chunkSize)
		dataAt = strings.IndexByte(encoded, '\n') + 1
	}
	text := head + encoded
	return wireMessage{text: text, body: body, points: map[Point]int{
		BeforeHead:     0,
		InHead:         len(lines) / 2,
		AfterHead:      len(head),
		AfterChunkSize: len(head) + dataAt,
		AfterFirstByte: len(head) + dataAt + 1,
		Middle:         len(head) + len(encoded)*3/4, // beyond what is buffered of a long body
		BeforeEnd:      len(text) - 1,
		Whole:          len(text),
	}}
}

// bodyText returns the body of a message.
func bodyText(framing Framing) string {
	switch framing {
	case NoBody:
		return ""
	case ShortLength:
		return strings.Repeat("0123456789abcde\n", shortBodyBytes/16)
	case HugeLength:
		return strings.Repeat("0123456789abcde\n", hugeBodyBytes/16)
	}
	return strings.Repeat("0123456789abcde\n", longBodyBytes/16)
}

// chunked returns a body in chunks of so many bytes.
func chunked(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// misbehave does what the fault says after the message was written up to the point. A silent peer keeps the connection
// open until stop is closed. It reports whether the rest of the message was written.
func (m wireMessage) misbehave(c net.Conn, point Point, fault Fault, bodyStep int, stop <-chan struct{}) bool {
	switch fault {
	case Silent:
		<-stop
	case Closes:
		_ = c.Close()
	case HalfCloses:
		_ = c.(*net.TCPConn).CloseWrite()
	case Resets:
		reset(c)
	case Dribbles:
		return m.dribble(c, m.points[point], bodyStep, stop)
	}
	return false
}

// dribble writes the message from a place on, in small steps.
func (m wireMessage) dribble(c net.Conn, from, bodyStep int, stop <-chan struct{}) bool {
	for at := from; at < len(m.text); {
		step := bodyStep
		if at < m.points[AfterHead] {
			step = dribbleHeadBytes
		}
		end := min(at+step, len(m.text))
		if _, err := c.Write([]byte(m.text[at:end])); err != nil {
			return false
		}
		at = end
		if !pause(dribbleInterval, stop) {
			return false
		}
	}
	return true
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// pause waits, and reports whether stop was not closed meanwhile.
func pause(d time.Duration, stop <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-stop:
		return false
	}
}
