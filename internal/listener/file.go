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
	Places    int                `toml:"places"`  // the process's for clients if left out, and never more than these
	Reserve   *float64           `toml:"reserve"` // part of the places that only known clients may have
	Grace     *strictconfig.Span `toml:"grace"`   // for so long one that has shown nothing is not closed to make room
	HalfLife  *strictconfig.Span `toml:"half_life"`
	Earned    int                `toml:"earned"`
	Rate      *float64           `toml:"rate"`       // new connections a second of one address, while places are short
	BytesPart *float64           `toml:"bytes_part"` // of the bytes of bodies that one address may hold while they are short
	Short     *float64           `toml:"short"`      // places are short while less than this part of them is free
	Tracked   int                `toml:"tracked"`
	Known     []string           `toml:"known"` // addresses or prefixes that are known from the start
}

// Requests are how many requests are in hand.
type Requests struct {
	InHand     int               `toml:"in_hand"`
	PerTenant  float64           `toml:"per_tenant"`
	Adaptive   bool              `toml:"adaptive"`
	Least      int               `toml:"least"`
	RetryAfter strictconfig.Span `toml:"retry_after"` // 1s if left out
}

// mostFile is the longest file that is read, in bytes.
const mostFile = 1 << 20

// Load reads a file. Errors name the file, the line where there is one, and the key.
func Load(path string) (*File, error) {
	return strictconfig.Load(path, "the admission's settings", mostFile, Parse)
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
	if _, err := f.Settings(Room{Places: 1 << 20}, 0); err != nil { // whether the rest makes sense does not hang on the process's places
		errs = append(errs, fmt.Errorf("connections: %w", err))
	}
	if f.Requests != nil {
		if f.Requests.RetryAfter == 0 {
			f.Requests.RetryAfter = strictconfig.Span(time.Second)
		}
		s := f.RequestSettings()
		if err := s.Check(); err != nil {
			errs = append(errs, fmt.Errorf("requests: %w", err))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Room is what a process has for its clients.
type Room struct {
	Places int
	Bytes  int64 // of the bodies of all requests in hand
}

// Settings are those of the connections, for a process with so much room.
func (f *File) Settings(room Room, seed uint64) (admission.Settings, error) {
	c := &f.Connections
	places := room.Places
	if c.Places != 0 {
		places = min(c.Places, places)
	}
	s := admission.Defaults(places)
	s.Seed, s.Bytes = seed, room.Bytes
	if c.BytesPart != nil {
		s.BytesPart = *c.BytesPart
	}
	if c.Reserve != nil {
		s.Reserve = *c.Reserve
	}
	if c.Grace != nil {
		s.Grace = time.Duration(*c.Grace)
	}
	if c.HalfLife != nil {
		s.HalfLife = time.Duration(*c.HalfLife)
	}
	if c.Earned != 0 {
		s.Earned = c.Earned
	}
	if c.Rate != nil {
		s.Rate = *c.Rate
	}
	if c.Short != nil {
		s.Short = *c.Short
	}
	if c.Tracked != 0 {
		s.Tracked = c.Tracked
	}
	for i, text := range c.Known {
		p, err := Prefix(text)
		if err != nil {
			return s, fmt.Errorf("known[%d]: %w", i, err)
		}
		s.Listed = append(s.Listed, p)
	}
	return s, s.Check()
}

// RequestSettings are those of the requests, where there are some.
func (f *File) RequestSettings() admission.RequestSettings {
	r := f.Requests
	return admission.RequestSettings{InHand: r.InHand, PerTenant: r.PerTenant, Adaptive: r.Adaptive, Least: r.Least,
		RetryAfter: time.Duration(r.RetryAfter)}
}

// Prefix reads an address, or a prefix such as 10.0.0.0/8.
func Prefix(text string) (netip.Prefix, error) {
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
