package admission

import (
	"math"
	"net/netip"
	"time"
)

// maxBusiest is the maximum number of addresses in the list of the busiest addresses.
const maxBusiest = 32

// busiestAddresses lists the addresses with the highest counts of new connections, as estimated by the sketch.
type busiestAddresses struct {
	addresses []busyAddress
}

// busyAddress is an entry of busiestAddresses.
type busyAddress struct {
	prefix    netip.Prefix
	count     float64 // new connections, decayed until updatedAt
	updatedAt time.Duration
	rejected  int64 // connections rejected or evicted since the address was added to the list
}

// record updates the count of an address that opened a connection. An address that is not listed is added; if the list
// is full, it replaces the listed address with the lowest count, provided that its own count is higher.
func (b *busiestAddresses) record(now time.Duration, p netip.Prefix, count float64) {
	replaceIndex, lowestCount := -1, count
	for i := range b.addresses {
		a := &b.addresses[i]
		if a.prefix == p {
			a.count = count
			a.updatedAt = now
			return
		}
		decayed := a.count * math.Exp2(-float64(now-a.updatedAt)/float64(sketchHalfLife))
		if decayed < lowestCount {
			replaceIndex, lowestCount = i, decayed
		}
	}
	listed := busyAddress{prefix: p, count: count, updatedAt: now}
	switch {
	case len(b.addresses) < maxBusiest:
		b.addresses = append(b.addresses, listed)
	case replaceIndex >= 0:
		b.addresses[replaceIndex] = listed
	}
}

// reject counts a rejection or eviction of a connection from an address, if the address is listed.
func (b *busiestAddresses) reject(p netip.Prefix) {
	for i := range b.addresses {
		if b.addresses[i].prefix == p {
			b.addresses[i].rejected++
			return
		}
	}
}
