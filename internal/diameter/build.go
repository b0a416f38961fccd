package diameter

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Builder writes a message. Its zero value is not ready: see NewBuilder. What goes wrong on the way is told by Message.
type Builder struct {
	b     []byte
	open  []int // where the grouped AVPs that are not ended begin
	wrong error
}

// NewBuilder begins a message with a header, whose length is filled in at the end. It appends to b, which may be nil.
func NewBuilder(b []byte, h Header) *Builder {
	out := &Builder{b: b[:0]}
	out.b = append(out.b, wireVersion, 0, 0, 0, byte(h.Flags), byte(h.Command>>16), byte(h.Command>>8), byte(h.Command))
	out.b = binary.BigEndian.AppendUint32(out.b, h.App)
	out.b = binary.BigEndian.AppendUint32(out.b, h.HopByHop)
	out.b = binary.BigEndian.AppendUint32(out.b, h.EndToEnd)
	if h.Command > longestField {
		out.wrong = fmt.Errorf("diameter: command %d has more than 24 bits", h.Command)
	}
	return out
}

// Answer begins an answer to a request: its command, application and identifiers, its P flag, and E for a protocol
// error (section 6.2).
func Answer(b []byte, request Header, code ResultCode) *Builder {
	h := request
	h.Flags = request.Flags & Proxiable
	if code.Protocol() {
		h.Flags |= ErrorFlag
	}
	return NewBuilder(b, h)
}

// begin writes an AVP's header with a length to be filled in.
func (w *Builder) begin(d *Definition) int {
	at := len(w.b)
	w.b = binary.BigEndian.AppendUint32(w.b, d.Code)
	w.b = append(w.b, byte(d.flags()), 0, 0, 0)
	if d.Vendor != 0 {
		w.b = binary.BigEndian.AppendUint32(w.b, d.Vendor)
	}
	return at
}

// finish fills in the length of the AVP that begins there, and pads it.
func (w *Builder) finish(at int) *Builder {
	n := len(w.b) - at
	if n > longestField {
		w.wrong = fmt.Errorf("diameter: an AVP of %d bytes", n)
		n = longestField
	}
	putUint24(w.b[at+5:], uint32(n))
	for len(w.b)%4 != 0 {
		w.b = append(w.b, 0)
	}
	return w
}

func (w *Builder) of(d *Definition, formats ...Format) bool {
	for _, f := range formats {
		if d.Format == f {
			return true
		}
	}
	if w.wrong == nil {
		w.wrong = fmt.Errorf("diameter: %s is %v, and was given something else", d.Name, d.Format)
	}
	return false
}

// Bytes writes an AVP with a value as it is on the wire, whatever its format.
func (w *Builder) Bytes(d *Definition, v []byte) *Builder {
	at := w.begin(d)
	w.b = append(w.b, v...)
	return w.finish(at)
}

// Text writes a UTF8String, a DiameterIdentity, a DiameterURI or an OctetString.
func (w *Builder) Text(d *Definition, v string) *Builder {
	w.of(d, UTF8String, DiameterIdentity, DiameterURI, OctetString, IPFilterRule)
	at := w.begin(d)
	w.b = append(w.b, v...)
	return w.finish(at)
}

// Uint32 writes an Unsigned32, an Integer32 or an Enumerated.
func (w *Builder) Uint32(d *Definition, v uint32) *Builder {
	w.of(d, Unsigned32, Integer32, Enumerated)
	at := w.begin(d)
	w.b = binary.BigEndian.AppendUint32(w.b, v)
	return w.finish(at)
}

// Uint64 writes an Unsigned64 or an Integer64.
func (w *Builder) Uint64(d *Definition, v uint64) *Builder {
	w.of(d, Unsigned64, Integer64)
	at := w.begin(d)
	w.b = binary.BigEndian.AppendUint64(w.b, v)
	return w.finish(at)
}

// Float64 writes a Float64.
func (w *Builder) Float64(d *Definition, v float64) *Builder {
	w.of(d, Float64)
	at := w.begin(d)
	w.b = binary.BigEndian.AppendUint64(w.b, math.Float64bits(v))
	return w.finish(at)
}

// Float32 writes a Float32.
func (w *Builder) Float32(d *Definition, v float32) *Builder {
	w.of(d, Float32)
	at := w.begin(d)
	w.b = binary.BigEndian.AppendUint32(w.b, math.Float32bits(v))
	return w.finish(at)
}

// Time writes a Time, to the second. Only 1968 to 2104 can be told.
func (w *Builder) Time(d *Definition, v time.Time) *Builder {
	w.of(d, Time)
	at := w.begin(d)
	w.b = binary.BigEndian.AppendUint32(w.b, uint32(v.Unix()+ntpEra))
	return w.finish(at)
}

// Address writes an Address.
func (w *Builder) Address(d *Definition, v netip.Addr) *Builder {
	w.of(d, Address)
	at := w.begin(d)
	family := uint16(familyIPv4)
	v = v.Unmap()
	if v.Is6() {
		family = familyIPv6
	}
	w.b = binary.BigEndian.AppendUint16(w.b, family)
	w.b = append(w.b, v.AsSlice()...)
	return w.finish(at)
}

// Raw hands an AVP on as it came, header and all.
func (w *Builder) Raw(a []byte) *Builder {
	w.b = append(w.b, a...)
	for len(w.b)%4 != 0 {
		w.b = append(w.b, 0)
	}
	return w
}

// Begin opens a grouped AVP; what is written up to End is within it.
func (w *Builder) Begin(d *Definition) *Builder {
	w.of(d, Grouped)
	w.open = append(w.open, w.begin(d))
	return w
}

// End closes the grouped AVP that was opened last.
func (w *Builder) End() *Builder {
	if len(w.open) == 0 {
		w.wrong = fmt.Errorf("diameter: an End without a Begin")
		return w
	}
	at := w.open[len(w.open)-1]
	w.open = w.open[:len(w.open)-1]
	return w.finish(at)
}

// Message ends the message. An error tells what could not be written.
func (w *Builder) Message() (Message, error) {
	switch {
	case w.wrong != nil:
		return nil, w.wrong
	case len(w.open) > 0:
		return nil, fmt.Errorf("diameter: %d grouped AVPs are not ended", len(w.open))
	case len(w.b) > MostMessage:
		return nil, fmt.Errorf("diameter: a message of %d bytes; %d are the most", len(w.b), MostMessage)
	}
	putUint24(w.b[1:], uint32(len(w.b)))
	return Message(w.b), nil
}
