package listener

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"lapisspread/internal/admission"
	"lapisspread/internal/strictconfig"
)

const (
	// Version is the only version of the file's format that this program reads.
	Version = 1
	// maxFileBytes is the maximum size of a file in bytes.
	maxFileBytes = 1 << 20
	// defaultRetryAfter is Requests.RetryAfter if it is left out.
	defaultRetryAfter = time.Second
	// validationConns is the capacity, in connections, for which a file is validated. No process has more.
	validationConns = 1 << 20
)

// File is the schema of deploy/admission.toml. A key that is left out has the value of admission.Defaults.
type File struct {
	Version     int         `toml:"version"` // 1
	Connections Connections `toml:"connections"`
	Requests    *Requests   `toml:"requests"` // if left out, no RequestLimiter bounds the requests
}

// Connections configures the connection limits; admission.Settings explains each value.
type Connections struct {
	MaxConns      int                    `toml:"places"` // the default and maximum is the process's capacity
	KnownReserve  *float64               `toml:"reserve"`
	GracePeriod   *strictconfig.Duration `toml:"grace"`
	HalfLife      *strictconfig.Duration `toml:"half_life"`
	MaxCredit     int                    `toml:"earned"`
	MaxConnRate   *float64               `toml:"rate"` // per second
	MaxBodyPart   *float64               `toml:"bytes_part"`
	ScarceBelow   *float64               `toml:"short"`
	MaxTracked    int                    `toml:"tracked"`
	KnownPrefixes []string               `toml:"known"` // addresses or prefixes
}

// Requests configures the limits for requests in flight; admission.RequestSettings explains each value.
type Requests struct {
	MaxInFlight   int                   `toml:"in_hand"`
	MaxTenantPart float64               `toml:"per_tenant"`
	Adaptive      bool                  `toml:"adaptive"`
	MinInFlight   int                   `toml:"least"`
	RetryAfter    strictconfig.Duration `toml:"retry_after"` // 1s if left out
}

// Load reads and checks a file. Its errors name the file, the line if there is one, and the key.
func Load(path string) (*File, error) {
	return strictconfig.Load(path, "the admission settings", maxFileBytes, Parse)
}

// Parse reads and checks the text of a file; path is used in errors only.
func Parse(path string, text []byte) (*File, error) {
	f := &File{}
	if err := strictconfig.Decode(path, text, f); err != nil {
		return nil, err
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%s: version: %d; this program reads %d", path, f.Version, Version)
	}
	var errs []error
	// Whether a file is valid must not depend on the capacity of the process.
	if _, err := f.Settings(Capacity{Conns: validationConns}, 0); err != nil {
		errs = append(errs, fmt.Errorf("connections: %w", err))
	}
	if f.Requests != nil {
		if f.Requests.RetryAfter == 0 {
			f.Requests.RetryAfter = strictconfig.Duration(defaultRetryAfter)
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

// Capacity holds the limits for what all clients of a process may use together.
type Capacity struct {
	Conns     int   // open connections
	BodyBytes int64 // sum over the bodies of all requests in flight; 0 means no limit
}

// Settings returns the connection settings for a process with the given capacity. The error names each invalid key.
func (f *File) Settings(capacity Capacity, seed uint64) (admission.Settings, error) {
	c := &f.Connections
	maxConns := capacity.Conns
	if c.MaxConns != 0 {
		maxConns = min(c.MaxConns, maxConns)
	}
	s := admission.Defaults(maxConns)
	s.Seed = seed
	s.MaxBodyBytes = capacity.BodyBytes
	setIfGiven(&s.MaxBodyPart, c.MaxBodyPart)
	setIfGiven(&s.KnownReserve, c.KnownReserve)
	setIfGiven(&s.GracePeriod, (*time.Duration)(c.GracePeriod))
	setIfGiven(&s.HalfLife, (*time.Duration)(c.HalfLife))
	setIfGiven(&s.MaxConnRate, c.MaxConnRate)
	setIfGiven(&s.ScarceBelow, c.ScarceBelow)
	if c.MaxCredit != 0 {
		s.MaxCredit = c.MaxCredit
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

// setIfGiven sets *to to *given. It does nothing if given is nil, which means that the file leaves the key out.
func setIfGiven[T any](to, given *T) {
	if given != nil {
		*to = *given
	}
}

// RequestSettings returns the request settings. f.Requests must not be nil.
func (f *File) RequestSettings() admission.RequestSettings {
	r := f.Requests
	return admission.RequestSettings{
		MaxInFlight:   r.MaxInFlight,
		MaxTenantPart: r.MaxTenantPart,
		Adaptive:      r.Adaptive,
		MinInFlight:   r.MinInFlight,
		RetryAfter:    time.Duration(r.RetryAfter),
	}
}

// ParsePrefix parses an IP address, or a prefix such as 10.0.0.0/8. An address becomes a prefix of its full length.
func ParsePrefix(text string) (netip.Prefix, error) {
	if p, err := netip.ParsePrefix(text); err == nil {
		return p.Masked(), nil
	}
	address, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, fmt.Errorf("%.64q is no address and no prefix", text)
	}
	address = address.Unmap()
	return netip.PrefixFrom(address, address.BitLen()), nil
}
