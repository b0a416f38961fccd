package admission

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	maxBlocks  = 1024
	maxBusiest = 32 // addresses that are listed as the busiest
)

// Block turns away an address or a net, for a time: no block is for ever. Those that it holds connections of go on.
func (d *ConnLimiter) Block(now time.Duration, p netip.Prefix, span time.Duration) error {
	switch {
	case !p.IsValid():
		return fmt.Errorf("admission: no address or prefix")
	case span <= 0 || span > MaxBlockDuration:
		return fmt.Errorf("admission: a block lasts for above 0s and at most %v, not %v", MaxBlockDuration, span)
	}
	for q, until := range d.blocks {
		if until <= now {
			delete(d.blocks, q)
		}
	}
	p = p.Masked()
	if _, there := d.blocks[p]; !there && len(d.blocks) >= maxBlocks {
		return fmt.Errorf("admission: there are %d blocks; that is the most", maxBlocks)
	}
	d.blocks[p] = now + span
	return nil
}

// Unblock ends a block, and tells whether there was one.
func (d *ConnLimiter) Unblock(p netip.Prefix) bool {
	_, there := d.blocks[p.Masked()]
	delete(d.blocks, p.Masked())
	return there
}

// Blocked tells whether an address is turned away by hand.
func (d *ConnLimiter) Blocked(now time.Duration, a netip.Addr) bool {
	if len(d.blocks) == 0 {
		return false
	}
	a = a.Unmap().WithZone("")
	for bits := range a.BitLen() + 1 {
		p, err := a.Prefix(bits)
		if err != nil {
			return false
		}
		if until, there := d.blocks[p]; there && until > now {
			return true
		}
	}
	return false
}

// Blocks are the blocks that hold, with the time that each has left.
func (d *ConnLimiter) Blocks(now time.Duration) map[netip.Prefix]time.Duration {
	out := map[netip.Prefix]time.Duration{}
	for p, until := range d.blocks {
		if until > now {
			out[p] = until - now
		}
	}
	return out
}

// busiestAddresses keeps the addresses that bring the most connections, by what the sketch says of them.
type busiestAddresses struct {
	addresses []busyAddress
}

type busyAddress struct {
	prefix    netip.Prefix
	count     float64 // as of its last arrival
	updatedAt time.Duration
	rejected  int64 // since it came in here
}

// record enters an address that has just come, in place of the one with the least if it has more.
func (t *busiestAddresses) record(now time.Duration, p netip.Prefix, count float64) {
	least, low := -1, count
	for i := range t.addresses {
		s := &t.addresses[i]
		if s.prefix == p {
			s.count, s.updatedAt = count, now
			return
		}
		if c := s.count * math.Exp2(-float64(now-s.updatedAt)/float64(sketchHalfLife)); c < low {
			least, low = i, c
		}
	}
	switch {
	case len(t.addresses) < maxBusiest:
		t.addresses = append(t.addresses, busyAddress{prefix: p, count: count, updatedAt: now})
	case least >= 0:
		t.addresses[least] = busyAddress{prefix: p, count: count, updatedAt: now}
	}
}

func (t *busiestAddresses) reject(p netip.Prefix) {
	for i := range t.addresses {
		if t.addresses[i].prefix == p {
			t.addresses[i].rejected++
			return
		}
	}
}

// AddressReport is an address as it stands.
type AddressReport struct {
	Prefix   string  `json:"address"`
	Open     int     `json:"open"`
	Unproven int     `json:"unproven"`
	Credit   float64 `json:"earned"`
	Bytes    int64   `json:"bytes"` // of bodies in hand
	Rate     float64 `json:"new_a_second"`
	Rejected int64   `json:"refused"`
}

// Report is how a door stands.
type Report struct {
	MaxConns       int              `json:"places"`
	Open           int              `json:"open"`
	Known          int              `json:"known"`
	Idle           int              `json:"waiting"`
	Bytes          int64            `json:"bytes"` // of bodies in hand
	BodyRejections int64            `json:"bytes_refused"`
	Counts         Counts           `json:"-"`
	Rejected       map[string]int64 `json:"refused"`
	Blocks         map[string]int   `json:"blocks"` // seconds left
	Top            []AddressReport  `json:"top"`    // by new connections a second, the most first
}

// Report tells how it stands.
func (d *ConnLimiter) Report(now time.Duration) Report {
	d.rates.fade(now)
	r := Report{MaxConns: d.settings.MaxConns, Open: len(d.conns), Known: d.known, Idle: d.idle[0].Len() + d.idle[1].Len(), Bytes: d.bytes, BodyRejections: d.counts.BodyRejections, Counts: d.counts,
		Rejected: map[string]int64{}, Blocks: map[string]int{}}
	for why := Blocked; why < reasons; why++ {
		r.Rejected[why.String()] = d.counts.Rejected[why]
	}
	for p, left := range d.Blocks(now) {
		r.Blocks[p.String()] = int(left / time.Second)
	}
	for _, s := range d.busiest.addresses {
		st := AddressReport{Prefix: s.prefix.String(), Rate: d.rates.rate(d.rates.estimate(d.rates.key(s.prefix))), Rejected: s.rejected}
		if g := d.tiers[0].groups[s.prefix]; g != nil {
			st.Open, st.Unproven, st.Credit, st.Bytes = g.open, g.unproven.Len(), d.tiers[0].credit(now, g), g.bytes
		}
		r.Top = append(r.Top, st)
	}
	slices.SortFunc(r.Top, func(a, b AddressReport) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Prefix, b.Prefix))
	})
	return r
}
