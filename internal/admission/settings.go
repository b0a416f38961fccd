package admission

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

const (
	// NetworkFactor is the ratio of the limits of a network to those of one address.
	NetworkFactor = 8
	// BytesPerServedRequest is the number of body bytes that an address may hold for each of its recently served
	// requests, in addition to Settings.MaxBodyPart: many legitimate clients may share one address.
	BytesPerServedRequest = 64 << 10
	// MaxBlockDuration is the maximum duration of a block.
	MaxBlockDuration = 7 * 24 * time.Hour
	// KnownThreshold is the minimum number of served requests, after decay, that makes an address a known client.
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
	// MaxConns is the maximum number of open connections.
	MaxConns int
	// KnownReserve is the share of MaxConns that is reserved for known clients, 0 to 0.9.
	KnownReserve float64
	// GracePeriod is the time for which an unproven connection is not evicted while an older unproven one could be
	// evicted instead. An address with more than 8 unproven connections beyond its credit, or a network with more than
	// 64, has no grace period.
	GracePeriod time.Duration
	// HalfLife is the half-life of the credit of addresses and networks.
	HalfLife time.Duration
	// MaxCredit is the maximum credit of one address, in unproven connections. For a network it is multiplied by
	// NetworkFactor.
	MaxCredit int
	// MaxConnRate is the number of new connections per second that an address may open while connections are scarce.
	// For a network it is multiplied by NetworkFactor.
	MaxConnRate float64
	// ScarceBelow is the ratio, 0 to 1, of free to maximum below which connections and body bytes are scarce. For
	// connections it compares the free ones that are not reserved for known clients with MaxConns, for bytes the free
	// bytes with MaxBodyBytes.
	ScarceBelow float64
	// MaxBodyBytes is the maximum of the body bytes of all requests in flight, which ScarceBelow and MaxBodyPart refer
	// to. An address that holds no body bytes may exceed it with one body. 0 means unlimited.
	MaxBodyBytes int64
	// MaxBodyPart is the share of MaxBodyBytes, 0 to 1, that an address may hold while bytes are scarce. For a network
	// it is multiplied by NetworkFactor.
	MaxBodyPart float64
	// KnownPrefixes lists networks whose addresses are known clients from the start, with a credit of MaxCredit.
	KnownPrefixes []netip.Prefix
	// MaxTracked is the maximum number of addresses, and of networks, whose credit is remembered while they have no
	// open connection.
	MaxTracked int
	// Seed is the seed of the hashes of addresses. It must be secret from clients: with it they could choose addresses
	// whose hashes collide.
	Seed uint64
}

// Defaults returns the default settings for a maximum number of connections. Body bytes are unlimited.
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

// Validate returns an error that names each invalid setting by its key in the settings file, or nil.
func (s *Settings) Validate() error {
	var errs validationErrors
	errs.addIf(s.MaxConns < 1 || s.MaxConns > maxConnsLimit,
		"places: %d is not between 1 and %d", s.MaxConns, maxConnsLimit)
	errs.addIf(!(s.KnownReserve >= 0 && s.KnownReserve <= maxKnownReserve),
		"reserve: %v is not between 0 and %v", s.KnownReserve, maxKnownReserve)
	errs.addIf(s.GracePeriod < 0 || s.GracePeriod > maxGracePeriod,
		"grace: %v is not between 0s and %v", s.GracePeriod, maxGracePeriod)
	errs.addIf(s.HalfLife < minHalfLife || s.HalfLife > maxHalfLife,
		"half_life: %v is not between 1s and 1h", s.HalfLife)
	errs.addIf(s.MaxCredit < 1, "earned: %d must be above 0", s.MaxCredit)
	errs.addIf(!(s.MaxConnRate > 0 && s.MaxConnRate <= maxConnRateLimit),
		"rate: %v must be above 0 and at most 1000000 connections per second", s.MaxConnRate)
	errs.addIf(!isRatio(s.ScarceBelow), "short: %v is not between 0 and 1", s.ScarceBelow)
	errs.addIf(s.MaxBodyBytes < 0, "bytes: %d is negative", s.MaxBodyBytes)
	errs.addIf(!isRatio(s.MaxBodyPart), "bytes_part: %v is not between 0 and 1", s.MaxBodyPart)
	errs.addIf(s.MaxTracked < 1 || s.MaxTracked > maxTrackedLimit,
		"tracked: %d is not between 1 and %d", s.MaxTracked, maxTrackedLimit)
	errs.addIf(len(s.KnownPrefixes) > maxKnownPrefixes,
		"known: %d prefixes exceed the maximum of %d", len(s.KnownPrefixes), maxKnownPrefixes)
	for i, p := range s.KnownPrefixes {
		errs.addIf(!p.IsValid(), "known[%d]: invalid prefix", i)
	}
	return errors.Join(errs...)
}

// validationErrors collects the errors of invalid settings.
type validationErrors []error

// addIf appends a formatted error if invalid is true.
func (e *validationErrors) addIf(invalid bool, format string, args ...any) {
	if invalid {
		*e = append(*e, fmt.Errorf(format, args...))
	}
}

// isRatio reports whether v is between 0 and 1, both included; NaN is not.
func isRatio(v float64) bool { return v >= 0 && v <= 1 }
