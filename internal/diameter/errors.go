package diameter

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ResultCode is the value of a Result-Code AVP (section 7.1).
type ResultCode uint32

// The result codes that are used here.
const (
	Success               ResultCode = 2001
	LimitedSuccess        ResultCode = 2002
	CommandUnsupported    ResultCode = 3001
	UnableToDeliver       ResultCode = 3002
	RealmNotServed        ResultCode = 3003
	TooBusy               ResultCode = 3004
	LoopDetected          ResultCode = 3005
	ApplicationUnsupport  ResultCode = 3007
	InvalidHdrBits        ResultCode = 3008
	InvalidAVPBits        ResultCode = 3009
	UnknownPeer           ResultCode = 3010
	AVPUnsupported        ResultCode = 5001
	UnknownSession        ResultCode = 5002
	InvalidAVPValue       ResultCode = 5004
	MissingAVP            ResultCode = 5005
	AVPNotAllowed         ResultCode = 5008
	AVPOccursTooManyTimes ResultCode = 5009
	NoCommonApplication   ResultCode = 5010
	UnsupportedVersion    ResultCode = 5011
	UnableToComply        ResultCode = 5012
	InvalidAVPLength      ResultCode = 5014
	InvalidMessageLength  ResultCode = 5015
)

// Protocol tells whether a code is one of the protocol errors, which are answered with the E flag (section 7.1.3).
func (c ResultCode) Protocol() bool { return c/1000 == 3 }

// Error is what is wrong with a message, in the RFC's terms.
type Error struct {
	Code    ResultCode
	Failed  []byte // the AVP for Failed-AVP, with its header and without padding; nil is none
	Framing bool   // the stream can't be followed any more: close it
	What    string
}

func (e *Error) Error() string {
	if e.Framing {
		return fmt.Sprintf("diameter: %s (%d; the framing is lost)", e.What, e.Code)
	}
	return fmt.Sprintf("diameter: %s (%d)", e.What, e.Code)
}

// AsError gives what of an error the RFC has terms for.
func AsError(err error) (*Error, bool) {
	var e *Error
	return e, errors.As(err, &e)
}

func framing(code ResultCode, format string, args ...any) *Error {
	return &Error{Code: code, Framing: true, What: fmt.Sprintf(format, args...)}
}

func failed(code ResultCode, avp []byte, format string, args ...any) *Error {
	return &Error{Code: code, Failed: append([]byte(nil), avp...), What: fmt.Sprintf(format, args...)}
}

// failedHeader is an AVP's header with a length that is its own: what lies behind can't be believed.
func failedHeader(b []byte, head int) []byte {
	out := padded(b[:min(len(b), head)], head)
	putUint24(out[5:], uint32(head))
	return out
}

func padded(b []byte, n int) []byte {
	out := make([]byte, n)
	copy(out, b)
	return out
}

// missing is an AVP as it should have been there: its code with a value of zeros of the least length (section 7.5).
func missing(def *Definition) []byte {
	n := def.Format.least()
	head := avpLen
	if def.Vendor != 0 {
		head = vendorLen
	}
	out := make([]byte, head+n)
	binary.BigEndian.PutUint32(out, def.Code)
	out[4] = byte(def.flags())
	putUint24(out[5:], uint32(head+n))
	if def.Vendor != 0 {
		binary.BigEndian.PutUint32(out[8:], def.Vendor)
	}
	return out
}
