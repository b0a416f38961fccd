package admission

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

const (
	// NetworkFactor is how many times as much as an address its network may do.
	NetworkFactor = 8
	// BytesPerServedRequest is how many bytes of bodies an address may hold for each request of it that was served of
	// late, beside Settings.MaxBodyPart: many good clients may share one address.
	BytesPerServedRequest = 64 << 10
	// MaxBlockDuration is the longest duration of a block.
	MaxBlockDuration = 7 * 24 * time.Hour
	// KnownThreshold is how many served requests, after decay, make an address a known client.
	KnownThreshold = 3
)

// Bounds of Settings.
const (
	maxConnsLimit    = 1 << 20
	maxTrackedLimit  = 1 << 20
	maxKnownReserve  = 0.9
	maxGracePeriod   = 10 * time.Second
	minHalfLife      = time.Second
	maxHalfLife      = time.Hour
	maxConnRateLimit = 1e6 // per second
	maxKnownPrefixes = 4096
)

// Settings configure a ConnLimiter.
type Settings struct {
	// MaxConns is the most connections that it holds.
	MaxConns int
	// KnownReserve is the part of MaxConns that is reserved for known clients, 0 to 0.9.
	KnownReserve float64
	// GracePeriod is how long an unproven connection is not evicted while another is older.
	GracePeriod time.Duration
	// HalfLife is that of the credit of an address.
	HalfLife time.Duration
	// MaxCredit is the most credit of one address, in unproven connections.
	MaxCredit int
	// MaxConnRate is how many new connections per second an address may open while connections are scarce. A network
	// may open NetworkFactor times as many.
	MaxConnRate float64
	// ScarceBelow is the free part of MaxConns, beside the reserve, below which connections are scarce; 0 to 1. It is
	// also the free part of MaxBodyBytes below which bytes are scarce.
	ScarceBelow float64
	// MaxBodyBytes is the most bytes of bodies of all requests in flight; 0 is no bound.
	MaxBodyBytes int64
	// MaxBodyPart is the part of MaxBodyBytes that an address may hold while bytes are scarce, 0 to 1.
	MaxBodyPart float64
	// KnownPrefixes are addresses that are known clients from the start, with MaxCredit.
	KnownPrefixes []netip.Prefix
	// MaxTracked is how many addresses, and how many networks, without a connection are remembered for their credit.
	MaxTracked int
	// Seed is that of the hashes. It must be secret from clients, who could choose colliding addresses.
	Seed uint64
}

// Defaults returns the settings for a number of connections.
func Defaults(maxConns int) Settings {
	return Settings{
		MaxConns:     maxConns,
		KnownReserve: 0.25,
		GracePeriod:  5 * time.Millisecond,
		HalfLife:     30 * time.Second,
		MaxCredit:    max(8, maxConns/16),
		MaxConnRate:  200,
		ScarceBelow:  0.25,
		MaxBodyPart:  0.25,
		MaxTracked:   8192,
	}
}

// Validate returns an error that names each invalid setting by its key in the file, or nil.
func (s *Settings) Validate() error {
	var errs validationErrors
	errs.addIf(s.MaxConns < 1 || s.MaxConns > maxConnsLimit,
		"places: %d is not within 1 and %d", s.MaxConns, maxConnsLimit)
	errs.addIf(!(s.KnownReserve >= 0 && s.KnownReserve <= maxKnownReserve),
		"reserve: %v is not within 0 and %v", s.KnownReserve, maxKnownReserve)
	errs.addIf(s.GracePeriod < 0 || s.GracePeriod > maxGracePeriod,
		"grace: %v is not within 0s and %v", s.GracePeriod, maxGracePeriod)
	errs.addIf(s.HalfLife < minHalfLife || s.HalfLife > maxHalfLife,
		"half_life: %v is not within 1s and 1h", s.HalfLife)
	errs.addIf(s.MaxCredit < 1, "earned: %d must be above 0", s.MaxCredit)
	errs.addIf(!(s.MaxConnRate > 0 && s.MaxConnRate <= maxConnRateLimit),
		"rate: %v is not within 0 and 1000000 a second", s.MaxConnRate)
	errs.addIf(!isRatio(s.ScarceBelow), "short: %v is not within 0 and 1", s.ScarceBelow)
	errs.addIf(s.MaxBodyBytes < 0, "bytes: %d is negative", s.MaxBodyBytes)
	errs.addIf(!isRatio(s.MaxBodyPart), "bytes_part: %v is not within 0 and 1", s.MaxBodyPart)
	errs.addIf(s.MaxTracked < 1 || s.MaxTracked > maxTrackedLimit,
		"tracked: %d is not within 1 and %d", s.MaxTracked, maxTrackedLimit)
	errs.addIf(len(s.KnownPrefixes) > maxKnownPrefixes,
		"known: %d prefixes; %d are the most", len(s.KnownPrefixes), maxKnownPrefixes)
	for i, p := range s.KnownPrefixes {
		errs.addIf(!p.IsValid(), "known[%d]: no prefix", i)
	}
	return errors.Join(errs...)
}

// validationErrors collects what is invalid.
type validationErrors []error

// addIf adds an error if a setting is invalid.
func (e *validationErrors) addIf(invalid bool, format string, args ...any) {
	if invalid {
		*e = append(*e, fmt.Errorf(format, args...))
	}
}

// isRatio reports whether a value is within 0 and 1.
func isRatio(v float64) bool { return v >= 0 && v <= 1 }
