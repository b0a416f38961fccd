// Package diameter reads and writes messages of the Diameter base protocol (RFC 6733). It is pure: no I/O, no goroutine,
// no clock. A Message is walked where it lies, without allocation, and every length is checked before it is believed.
//
// A wrong message yields an *Error with the Result-Code and the Failed-AVP that the RFC names. Where Error.Framing is set,
// the stream that it came from can't be followed any more and must be closed.
package diameter

import (
	"encoding/binary"
	"fmt"
)

// Sizes of the wire, in bytes.
const (
	HeaderLen    = 20      // section 3
	avpLen       = 8       // an AVP's header without a vendor, section 4.1
	vendorLen    = 12      // with one
	MostMessage  = 1 << 18 // the longest message that is taken; the wire has room for 16 MB
	MostAVPs     = 4096    // of one message, grouped ones' counted too
	MostDepth    = 8       // of grouped AVPs within each other
	wireVersion  = 1
	failedAVP    = 279       // its code, section 7.5
	longestField = 1<<24 - 1 // lengths have 24 bits
)

// Flags are the command flags of section 3.
type Flags uint8

// The command flags; the others are reserved and must be 0.
const (
	Request       Flags = 1 << 7
	Proxiable     Flags = 1 << 6
	ErrorFlag     Flags = 1 << 5
	Retransmitted Flags = 1 << 4 // T: it may be a duplicate
	reservedFlags Flags = 1<<4 - 1
)

// Header is a message's first 20 bytes.
type Header struct {
	Length   int // of the whole message, in bytes
	Flags    Flags
	Command  uint32 // 24 bits
	App      uint32 // Application-Id
	HopByHop uint32
	EndToEnd uint32
}

// IsRequest tells a request from an answer.
func (h *Header) IsRequest() bool { return h.Flags&Request != 0 }

// Message is a whole message as it is on the wire.
type Message []byte

// ParseHeader reads a header. Its errors mean that the framing is lost, but for wrong flags: whose message has a plain end.
func ParseHeader(b []byte) (Header, error) {
	if len(b) < HeaderLen {
		return Header{}, framing(InvalidMessageLength, "a header of %d bytes", len(b))
	}
	h := Header{Length: int(uint24(b[1:])), Flags: Flags(b[4]), Command: uint24(b[5:]), App: binary.BigEndian.Uint32(b[8:]),
		HopByHop: binary.BigEndian.Uint32(b[12:]), EndToEnd: binary.BigEndian.Uint32(b[16:])}
	switch {
	case b[0] != wireVersion:
		return h, framing(UnsupportedVersion, "version %d", b[0])
	case h.Length < HeaderLen || h.Length%4 != 0:
		return h, framing(InvalidMessageLength, "a length of %d bytes", h.Length)
	case h.Length > MostMessage:
		return h, framing(InvalidMessageLength, "a length of %d bytes; %d are the most", h.Length, MostMessage)
	case h.Flags&reservedFlags != 0 || h.IsRequest() && h.Flags&ErrorFlag != 0 || !h.IsRequest() && h.Flags&Retransmitted != 0:
		return h, &Error{Code: InvalidHdrBits, What: fmt.Sprintf("command flags %#02x", uint8(h.Flags))}
	}
	return h, nil
}

// Parse takes the bytes of one message, and checks its header and the framing of its AVPs, grouped ones' by the
// dictionary to the depth that there is. The message stands in b: it holds for as long as b does.
func Parse(b []byte, d *Dictionary) (Message, Header, error) {
	h, err := ParseHeader(b)
	if err != nil {
		return nil, h, err
	}
	if h.Length != len(b) {
		return nil, h, framing(InvalidMessageLength, "a length of %d in %d bytes", h.Length, len(b))
	}
	count := 0
	if err := walkAll(b[HeaderLen:], d, 0, &count); err != nil {
		return nil, h, err
	}
	return Message(b), h, nil
}

func walkAll(b []byte, d *Dictionary, depth int, count *int) error {
	if depth > MostDepth {
		return &Error{Code: InvalidAVPValue, What: fmt.Sprintf("grouped AVPs more than %d deep", MostDepth)}
	}
	c := Walk(b)
	for c.Next() {
		if *count++; *count > MostAVPs {
			return &Error{Code: UnableToComply, What: fmt.Sprintf("more than %d AVPs", MostAVPs)}
		}
		if d == nil {
			continue
		}
		// What a Failed-AVP holds is wrong by its nature: it is not looked into.
		if def := d.AVP(c.AVP.Vendor, c.AVP.Code); def != nil && def.Format == Grouped && def.Code != failedAVP {
			if err := walkAll(c.AVP.Data, d, depth+1, count); err != nil {
				return err
			}
		}
	}
	return c.Err()
}

// AVPFlags are the flags of section 4.1.
type AVPFlags uint8

// The AVP flags. P is reserved since RFC 6733, and may be set by older peers.
const (
	VendorFlag   AVPFlags = 1 << 7
	Mandatory    AVPFlags = 1 << 6
	Protected    AVPFlags = 1 << 5
	reservedBits AVPFlags = 1<<5 - 1
)

// AVP is an attribute with its value, as it stands in a message.
type AVP struct {
	Code   uint32
	Vendor uint32 // 0 is the IETF's
	Flags  AVPFlags
	Data   []byte // without padding
	raw    []byte // with the header, without padding
}

// Raw is the AVP with its header, without padding: what a Failed-AVP holds, and what is handed on.
func (a AVP) Raw() []byte { return a.raw }

// Cursor walks AVPs that lie one behind the other.
type Cursor struct {
	AVP  AVP
	rest []byte
	err  *Error
}

// Walk begins at the first of these AVPs.
func Walk(b []byte) Cursor { return Cursor{rest: b} }

// AVPs begins at a message's first AVP.
func (m Message) AVPs() Cursor { return Walk(m[HeaderLen:]) }

// Next goes to the next AVP, and tells whether there is one. After the last, or an error, there is none.
func (c *Cursor) Next() bool {
	b := c.rest
	if len(b) == 0 || c.err != nil {
		return false
	}
	if len(b) < avpLen {
		c.err = failed(InvalidAVPLength, padded(b, avpLen), "%d bytes behind the last AVP", len(b))
		return false
	}
	a := AVP{Code: binary.BigEndian.Uint32(b), Flags: AVPFlags(b[4])}
	n, head := int(uint24(b[5:])), avpLen
	if a.Flags&VendorFlag != 0 {
		head = vendorLen
	}
	if n < head || n > len(b) {
		// The Failed-AVP of a wrong length holds the header alone, and what the least value has (section 7.5).
		c.err = failed(InvalidAVPLength, failedHeader(b, head), "AVP %d: a length of %d, with %d bytes left", a.Code, n, len(b))
		return false
	}
	if a.Flags&reservedBits != 0 {
		c.err = failed(InvalidAVPBits, b[:n], "AVP %d: flags %#02x", a.Code, uint8(a.Flags))
		return false
	}
	if head == vendorLen {
		a.Vendor = binary.BigEndian.Uint32(b[8:])
	}
	a.Data, a.raw = b[head:n:n], b[:n:n]
	end := (n + 3) &^ 3
	if end > len(b) {
		// Lengths of messages and grouped AVPs count the padding within, so it must be there.
		c.err = failed(InvalidAVPLength, failedHeader(b, head), "AVP %d: its padding is missing", a.Code)
		return false
	}
	c.AVP, c.rest = a, b[end:]
	return true
}

// Err is what stopped the walk, nil at its end.
func (c *Cursor) Err() error {
	if c.err == nil {
		return nil
	}
	return c.err
}

// Find gives the first AVP of a code, and whether there is one. A walk that breaks off before finds none: Parse has told
// of that.
func (m Message) Find(vendor, code uint32) (AVP, bool) { return find(m.AVPs(), vendor, code) }

// Find gives the first AVP of a code within a grouped one.
func (a AVP) Find(vendor, code uint32) (AVP, bool) { return find(Walk(a.Data), vendor, code) }

func find(c Cursor, vendor, code uint32) (AVP, bool) {
	for c.Next() {
		if c.AVP.Code == code && c.AVP.Vendor == vendor {
			return c.AVP, true
		}
	}
	return AVP{}, false
}

// SetHopByHop writes a hop-by-hop identifier into a message: each connection has its own (section 6.1.4).
func (m Message) SetHopByHop(id uint32) { binary.BigEndian.PutUint32(m[12:], id) }

// SetFlags writes the command flags into a message.
func (m Message) SetFlags(f Flags) { m[4] = byte(f) }

// Header reads the header of a message that Parse has found good.
func (m Message) Header() Header {
	return Header{Length: len(m), Flags: Flags(m[4]), Command: uint24(m[5:]), App: binary.BigEndian.Uint32(m[8:]),
		HopByHop: binary.BigEndian.Uint32(m[12:]), EndToEnd: binary.BigEndian.Uint32(m[16:])}
}

func uint24(b []byte) uint32 { return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]) }

func putUint24(b []byte, v uint32) { b[0], b[1], b[2] = byte(v>>16), byte(v>>8), byte(v) }
