package diameter

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"time"
	"unicode/utf8"
)

// Format is how an AVP's value is laid out (sections 4.2 to 4.4).
type Format uint8

// The formats.
const (
	OctetString Format = iota
	Integer32
	Integer64
	Unsigned32
	Unsigned64
	Float32
	Float64
	Grouped
	Address
	Time
	UTF8String
	DiameterIdentity
	DiameterURI
	Enumerated
	IPFilterRule
	formats
)

var formatNames = [formats]string{"octet-string", "integer32", "integer64", "unsigned32", "unsigned64", "float32", "float64", "grouped", "address",
	"time", "utf8-string", "identity", "uri", "enumerated", "ip-filter-rule"}

func (f Format) String() string { return formatNames[f] }

// UnmarshalText reads a format's name.
func (f *Format) UnmarshalText(text []byte) error {
	for i, name := range formatNames {
		if name == string(text) {
			*f = Format(i)
			return nil
		}
	}
	return fmt.Errorf("%q is no format; known are %v", text, formatNames)
}

// least is the length of the shortest value.
func (f Format) least() int {
	switch f {
	case Integer32, Unsigned32, Float32, Time, Enumerated:
		return 4
	case Integer64, Unsigned64, Float64:
		return 8
	case Address:
		return 6 // of IPv4
	}
	return 0
}

// fixed tells whether all values have that length.
func (f Format) fixed() bool { return f.least() > 0 && f != Address }

// Uint32 reads an Unsigned32 or an Enumerated.
func (a AVP) Uint32() (uint32, error) {
	if len(a.Data) != 4 {
		return 0, a.wrongLength(4)
	}
	return binary.BigEndian.Uint32(a.Data), nil
}

// Int32 reads an Integer32 or an Enumerated.
func (a AVP) Int32() (int32, error) {
	v, err := a.Uint32()
	return int32(v), err
}

// Uint64 reads an Unsigned64.
func (a AVP) Uint64() (uint64, error) {
	if len(a.Data) != 8 {
		return 0, a.wrongLength(8)
	}
	return binary.BigEndian.Uint64(a.Data), nil
}

// Int64 reads an Integer64.
func (a AVP) Int64() (int64, error) {
	v, err := a.Uint64()
	return int64(v), err
}

// Float32 reads a Float32.
func (a AVP) Float32() (float32, error) {
	v, err := a.Uint32()
	return math.Float32frombits(v), err
}

// Float64 reads a Float64.
func (a AVP) Float64() (float64, error) {
	v, err := a.Uint64()
	return math.Float64frombits(v), err
}

func (a AVP) wrongLength(want int) error {
	return failed(InvalidAVPLength, a.raw, "AVP %d: a value of %d bytes, want %d", a.Code, len(a.Data), want)
}

// Text reads a UTF8String.
func (a AVP) Text() (string, error) {
	if err := a.checkText(); err != nil {
		return "", err
	}
	return string(a.Data), nil
}

func (a AVP) checkText() error {
	if !utf8.Valid(a.Data) {
		return failed(InvalidAVPValue, a.raw, "AVP %d: no UTF-8", a.Code)
	}
	return nil
}

// mostIdentity is the longest DiameterIdentity: that of a domain name (RFC 1035, section 2.3.4).
const mostIdentity = 255

// Identity reads a DiameterIdentity: a host's or a realm's name (section 4.3.1).
func (a AVP) Identity() (string, error) {
	if err := a.checkIdentity(); err != nil {
		return "", err
	}
	return string(a.Data), nil
}

func (a AVP) checkIdentity() error {
	if !ValidIdentity(string(a.Data)) {
		return failed(InvalidAVPValue, a.raw, "AVP %d: no host's or realm's name", a.Code)
	}
	return nil
}

// ValidIdentity tells whether a name can be a DiameterIdentity: a host's or a realm's (section 4.3.1).
func ValidIdentity(b string) bool {
	if len(b) == 0 || len(b) > mostIdentity {
		return false
	}
	for _, c := range []byte(b) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// ntpEra is between the zero of NTP and that of Unix, in seconds (RFC 5905).
const ntpEra = 2208988800

// Time reads a Time: NTP seconds, which begin anew in 2036 (section 4.3.1: with the first bit 0 they count from there).
func (a AVP) Time() (time.Time, error) {
	v, err := a.Uint32()
	if err != nil {
		return time.Time{}, err
	}
	s := int64(v) - ntpEra
	if v&(1<<31) == 0 {
		s += 1 << 32
	}
	return time.Unix(s, 0).UTC(), nil
}

// Families of an Address (IANA's address family numbers).
const (
	familyIPv4 = 1
	familyIPv6 = 2
)

// Address reads an Address. Families other than IP's are an error.
func (a AVP) Address() (netip.Addr, error) {
	if len(a.Data) < 2 {
		return netip.Addr{}, a.wrongLength(6)
	}
	family, ip := binary.BigEndian.Uint16(a.Data), a.Data[2:]
	switch {
	case family == familyIPv4 && len(ip) == 4, family == familyIPv6 && len(ip) == 16:
		addr, _ := netip.AddrFromSlice(ip)
		return addr, nil
	case family == familyIPv4 || family == familyIPv6:
		return netip.Addr{}, failed(InvalidAVPLength, a.raw, "AVP %d: an address of family %d in %d bytes", a.Code, family, len(ip))
	}
	return netip.Addr{}, failed(InvalidAVPValue, a.raw, "AVP %d: address family %d", a.Code, family)
}

// Check tells whether an AVP's value is of a format, as far as its bytes show.
func (a AVP) Check(f Format) error {
	switch f {
	case Address:
		_, err := a.Address()
		return err
	case UTF8String, IPFilterRule:
		return a.checkText()
	case DiameterIdentity:
		return a.checkIdentity()
	case DiameterURI:
		if len(a.Data) < len("aaa://x") || string(a.Data[:3]) != "aaa" {
			return failed(InvalidAVPValue, a.raw, "AVP %d: no aaa or aaas URI", a.Code)
		}
		return nil
	}
	if f.fixed() && len(a.Data) != f.least() {
		return a.wrongLength(f.least())
	}
	return nil
}
