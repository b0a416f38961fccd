package admission

import (
	"math"
	"net/netip"
	"time"
)

// maxBusiest is how many addresses are listed as the busiest.
const maxBusiest = 32

// busiestAddresses are the addresses with the most new connections, by the counts of the sketch.
type busiestAddresses struct {
	addresses []busyAddress
}

// busyAddress is one address among the busiest.
type busyAddress struct {
	prefix    netip.Prefix
	count     float64 // of new connections, as of updatedAt
	updatedAt time.Duration
	rejected  int64 // since it is listed
}

// record lists an address that opened a connection, in place of the least busy one if it has a greater count.
func (b *busiestAddresses) record(now time.Duration, p netip.Prefix, count float64) {
	replace, lowest := -1, count
	for i := range b.addresses {
		a := &b.addresses[i]
		if a.prefix == p {
			a.count = count
			a.updatedAt = now
			return
		}
		decayed := a.count * math.Exp2(-float64(now-a.updatedAt)/float64(sketchHalfLife))
		if decayed < lowest {
			replace, lowest = i, decayed
		}
	}
	listed := busyAddress{prefix: p, count: count, updatedAt: now}
	switch {
	case len(b.addresses) < maxBusiest:
		b.addresses = append(b.addresses, listed)
	case replace >= 0:
		b.addresses[replace] = listed
	}
}

// reject counts a rejection of an address, if it is listed.
func (b *busiestAddresses) reject(p netip.Prefix) {
	for i := range b.addresses {
		if b.addresses[i].prefix == p {
			b.addresses[i].rejected++
			return
		}
	}
}
