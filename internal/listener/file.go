package listener

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"lapisspread/internal/admission"
	"lapisspread/internal/strictconfig"
)

// Version is the form of the file that this program reads.
const Version = 1

// File is deploy/admission.toml. What is left out is as admission.Defaults has it.
type File struct {
	Version     int         `toml:"version"` // 1
	Connections Connections `toml:"connections"`
	Requests    *Requests   `toml:"requests"` // left out, requests are not bounded here
}

// Connections are who holds a place.
type Connections struct {
	MaxConns      int                    `toml:"places"`  // the process's for clients if left out, and never more than these
	KnownReserve  *float64               `toml:"reserve"` // part of the places that only known clients may have
	GracePeriod   *strictconfig.Duration `toml:"grace"`   // for so long one that has shown nothing is not closed to make room
	HalfLife      *strictconfig.Duration `toml:"half_life"`
	MaxCredit     int                    `toml:"earned"`
	MaxConnRate   *float64               `toml:"rate"`       // new connections a second of one address, while places are short
	MaxBodyPart   *float64               `toml:"bytes_part"` // of the bytes of bodies that one address may hold while they are short
	ScarceBelow   *float64               `toml:"short"`      // places are short while less than this part of them is free
	MaxTracked    int                    `toml:"tracked"`
	KnownPrefixes []string               `toml:"known"` // addresses or prefixes that are known from the start
}

// Requests are how many requests are in hand.
type Requests struct {
	MaxInFlight   int                   `toml:"in_hand"`
	MaxTenantPart float64               `toml:"per_tenant"`
	Adaptive      bool                  `toml:"adaptive"`
	MinInFlight   int                   `toml:"least"`
	RetryAfter    strictconfig.Duration `toml:"retry_after"` // 1s if left out
}

// maxFileBytes is the longest file that is read, in bytes.
const maxFileBytes = 1 << 20

// Load reads a file. Errors name the file, the line where there is one, and the key.
func Load(path string) (*File, error) {
	return strictconfig.Load(path, "the admission's settings", maxFileBytes, Parse)
}

// Parse reads the text of a file.
func Parse(path string, text []byte) (*File, error) {
	f := &File{}
	if err := strictconfig.Decode(path, text, f); err != nil {
		return nil, err
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%s: version: %d; this program reads %d", path, f.Version, Version)
	}
	var errs []error
	if _, err := f.Settings(Capacity{Conns: 1 << 20}, 0); err != nil { // whether the rest makes sense does not hang on the process's places
		errs = append(errs, fmt.Errorf("connections: %w", err))
	}
	if f.Requests != nil {
		if f.Requests.RetryAfter == 0 {
			f.Requests.RetryAfter = strictconfig.Duration(time.Second)
		}
		s := f.RequestSettings()
		if err := s.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("requests: %w", err))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Capacity is what a process has for its clients.
type Capacity struct {
	Conns     int
	BodyBytes int64 // of the bodies of all requests in hand
}

// Settings are those of the connections, for a process with so much room.
func (f *File) Settings(room Capacity, seed uint64) (admission.Settings, error) {
	c := &f.Connections
	places := room.Conns
	if c.MaxConns != 0 {
		places = min(c.MaxConns, places)
	}
	s := admission.Defaults(places)
	s.Seed, s.MaxBodyBytes = seed, room.BodyBytes
	if c.MaxBodyPart != nil {
		s.MaxBodyPart = *c.MaxBodyPart
	}
	if c.KnownReserve != nil {
		s.KnownReserve = *c.KnownReserve
	}
	if c.GracePeriod != nil {
		s.GracePeriod = time.Duration(*c.GracePeriod)
	}
	if c.HalfLife != nil {
		s.HalfLife = time.Duration(*c.HalfLife)
	}
	if c.MaxCredit != 0 {
		s.MaxCredit = c.MaxCredit
	}
	if c.MaxConnRate != nil {
		s.MaxConnRate = *c.MaxConnRate
	}
	if c.ScarceBelow != nil {
		s.ScarceBelow = *c.ScarceBelow
	}
	if c.MaxTracked != 0 {
		s.MaxTracked = c.MaxTracked
	}
	for i, text := range c.KnownPrefixes {
		p, err := ParsePrefix(text)
		if err != nil {
			return s, fmt.Errorf("known[%d]: %w", i, err)
		}
		s.KnownPrefixes = append(s.KnownPrefixes, p)
	}
	return s, s.Validate()
}

// RequestSettings are those of the requests, where there are some.
func (f *File) RequestSettings() admission.RequestSettings {
	r := f.Requests
	return admission.RequestSettings{MaxInFlight: r.MaxInFlight, MaxTenantPart: r.MaxTenantPart, Adaptive: r.Adaptive, MinInFlight: r.MinInFlight,
		RetryAfter: time.Duration(r.RetryAfter)}
}

// ParsePrefix reads an address, or a prefix such as 10.0.0.0/8.
func ParsePrefix(text string) (netip.Prefix, error) {
	if p, err := netip.ParsePrefix(text); err == nil {
		return p.Masked(), nil
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, fmt.Errorf("%.64q is no address and no prefix", text)
	}
	a = a.Unmap()
	return netip.PrefixFrom(a, a.BitLen()), nil
}
