// Package admission decides which connections a process holds: who is taken, who is turned away, and who is closed to
// make room. It is pure: no I/O, no goroutine, no clock; callers give the time and see to it that one at a time calls.
//
// What a Door promises, whatever comes in whatever order:
//
//   - It holds no more connections than it has places.
//   - A connection with a whole request in hand is never closed to make room.
//   - While more places are free than are kept for known clients, everyone is taken, but for who is blocked by hand and,
//     where places are short, addresses over their rate of new connections.
//   - A known client is taken while known clients hold less than the reserve.
//   - An address that holds no bytes of bodies may hold those of one request; while there is room, any may hold any.
//   - Who is closed is of the address or net with the most unproven connections beyond what it has earned, or, while all of
//     these are within the grace, the one of all that came first.
//   - Nothing is for ever: earnings and rates fade, blocks have an expiry. An address that stops flooding is as any other
//     after Settings.HalfLife times eight at the latest.
//   - An event costs O(log places), and memory is bounded by Settings alone, whatever the number of addresses.
//
// Why it is so: docs/admission-design.md.
package admission

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// ID names a connection that a Door holds; 0 is none.
type ID uint64

// Settings are what a Door goes by.
type Settings struct {
	MaxConns     int           // connections that it may hold
	KnownReserve float64       // part of them that only known clients may have, 0 to 0.9
	GracePeriod  time.Duration // for so long an unproven connection is not closed while another is older
	HalfLife     time.Duration // of what an address has earned
	MaxCredit    int           // what one address can have earned at most, in connections that have shown nothing yet
	MaxConnRate  float64       // new connections a second of one address, while places are short; a net has NetTimes as many
	ScarceBelow  float64       // places are short while less than this part is free, beside the reserve; 0 to 1
	// Bytes is the room for the bodies of all requests in hand; 0 is no bound. While less than Short of it is free, an
	// address may hold no more than BytesPart of it, 0 to 1, and EarnedBytes for each request served of late.
	MaxBodyBytes  int64
	MaxBodyPart   float64
	KnownPrefixes []netip.Prefix // addresses that are known from the start; they count as having earned Earned
	MaxTracked    int            // addresses, and nets, whose earnings are remembered while they hold no connection
	Seed          uint64         // of the hashes: who chooses addresses must not know it
}

// NetworkFactor is how many times as much as an address a net may do before it counts as a flooder.
const NetworkFactor = 8

// BytesPerServedRequest is how many bytes of bodies an address may hold for each request of its that was served of late: those of
// many good clients behind one address add up.
const BytesPerServedRequest = 64 << 10

// MaxBlockDuration is how long a block by hand lasts at most.
const MaxBlockDuration = 7 * 24 * time.Hour

// KnownThreshold is how many requests served, fading, make an address a known one.
const KnownThreshold = 3

// Defaults are settings for so many places.
func Defaults(places int) Settings {
	return Settings{MaxConns: places, KnownReserve: 0.25, GracePeriod: 5 * time.Millisecond, HalfLife: 30 * time.Second, MaxCredit: max(8, places/16),
		MaxConnRate: 200, ScarceBelow: 0.25, MaxBodyPart: 0.25, MaxTracked: 8192}
}

// Validate tells what makes no sense, by the field's name.
func (s *Settings) Validate() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(s.MaxConns < 1 || s.MaxConns > 1<<20, "places: %d is not within 1 and %d", s.MaxConns, 1<<20)
	bad(!(s.KnownReserve >= 0 && s.KnownReserve <= 0.9), "reserve: %v is not within 0 and 0.9", s.KnownReserve)
	bad(s.GracePeriod < 0 || s.GracePeriod > 10*time.Second, "grace: %v is not within 0s and 10s", s.GracePeriod)
	bad(s.HalfLife < time.Second || s.HalfLife > time.Hour, "half_life: %v is not within 1s and 1h", s.HalfLife)
	bad(s.MaxCredit < 1, "earned: %d must be above 0", s.MaxCredit)
	bad(!(s.MaxConnRate > 0 && s.MaxConnRate <= 1e6), "rate: %v is not within 0 and 1000000 a second", s.MaxConnRate)
	bad(!(s.ScarceBelow >= 0 && s.ScarceBelow <= 1), "short: %v is not within 0 and 1", s.ScarceBelow)
	bad(s.MaxBodyBytes < 0, "bytes: %d is negative", s.MaxBodyBytes)
	bad(!(s.MaxBodyPart >= 0 && s.MaxBodyPart <= 1), "bytes_part: %v is not within 0 and 1", s.MaxBodyPart)
	bad(s.MaxTracked < 1 || s.MaxTracked > 1<<20, "tracked: %d is not within 1 and %d", s.MaxTracked, 1<<20)
	bad(len(s.KnownPrefixes) > 4096, "known: %d prefixes; 4096 are the most", len(s.KnownPrefixes))
	for i, p := range s.KnownPrefixes {
		bad(!p.IsValid(), "known[%d]: no prefix", i)
	}
	return errors.Join(errs...)
}

// Reason says why a connection is not taken, or was closed.
type Reason uint8

// The reasons.
const (
	NoReason     Reason = iota
	Blocked             // by hand
	RateExceeded        // its address or net brings too many, and places are short
	NoCapacity          // no place is free for it and nobody can be closed
	Evicted             // closed to make room
	reasons
)

func (r Reason) String() string {
	return [...]string{"none", "blocked", "rate", "full", "room"}[r]
}

// Verdict is what becomes of a connection that arrives: it is taken, under an ID, or turned away for a reason, or it
// may be taken once another is closed.
type Verdict struct {
	Admitted ID
	Evict    ID // tell Gone of it and ask again, or Spare if it must not be closed
	Reason   Reason
}
