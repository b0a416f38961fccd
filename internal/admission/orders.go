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
	mostBlocks = 1024
	mostTop    = 32 // addresses that are listed as the busiest
)

// Block turns away an address or a net, for a time: no block is for ever. Those that it holds connections of go on.
func (d *Door) Block(now time.Duration, p netip.Prefix, span time.Duration) error {
	switch {
	case !p.IsValid():
		return fmt.Errorf("admission: no address or prefix")
	case span <= 0 || span > LongestBlock:
		return fmt.Errorf("admission: a block lasts for above 0s and at most %v, not %v", LongestBlock, span)
	}
	for q, until := range d.blocks {
		if until <= now {
			delete(d.blocks, q)
		}
	}
	p = p.Masked()
	if _, there := d.blocks[p]; !there && len(d.blocks) >= mostBlocks {
		return fmt.Errorf("admission: there are %d blocks; that is the most", mostBlocks)
	}
	d.blocks[p] = now + span
	return nil
}

// Unblock ends a block, and tells whether there was one.
func (d *Door) Unblock(p netip.Prefix) bool {
	_, there := d.blocks[p.Masked()]
	delete(d.blocks, p.Masked())
	return there
}

// Blocked tells whether an address is turned away by hand.
func (d *Door) Blocked(now time.Duration, a netip.Addr) bool {
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
func (d *Door) Blocks(now time.Duration) map[netip.Prefix]time.Duration {
	out := map[netip.Prefix]time.Duration{}
	for p, until := range d.blocks {
		if until > now {
			out[p] = until - now
		}
	}
	return out
}

// top keeps the addresses that bring the most connections, by what the sketch says of them.
type top struct {
	of []seen
}

type seen struct {
	prefix  netip.Prefix
	count   float64 // as of its last arrival
	at      time.Duration
	refused int64 // since it came in here
}

// note enters an address that has just come, in place of the one with the least if it has more.
func (t *top) note(now time.Duration, p netip.Prefix, count float64) {
	least, low := -1, count
	for i := range t.of {
		s := &t.of[i]
		if s.prefix == p {
			s.count, s.at = count, now
			return
		}
		if c := s.count * math.Exp2(-float64(now-s.at)/float64(sketchHalf)); c < low {
			least, low = i, c
		}
	}
	switch {
	case len(t.of) < mostTop:
		t.of = append(t.of, seen{prefix: p, count: count, at: now})
	case least >= 0:
		t.of[least] = seen{prefix: p, count: count, at: now}
	}
}

func (t *top) refused(p netip.Prefix) {
	for i := range t.of {
		if t.of[i].prefix == p {
			t.of[i].refused++
			return
		}
	}
}

// Standing is an address as it stands.
type Standing struct {
	Prefix   string  `json:"address"`
	Open     int     `json:"open"`
	Unproven int     `json:"unproven"`
	Earned   float64 `json:"earned"`
	Bytes    int64   `json:"bytes"` // of bodies in hand
	Rate     float64 `json:"new_a_second"`
	Refused  int64   `json:"refused"`
}

// Report is how a door stands.
type Report struct {
	Places  int              `json:"places"`
	Open    int              `json:"open"`
	Known   int              `json:"known"`
	Waiting int              `json:"waiting"`
	Bytes   int64            `json:"bytes"` // of bodies in hand
	Crowded int64            `json:"bytes_refused"`
	Counts  Counts           `json:"-"`
	Refused map[string]int64 `json:"refused"`
	Blocks  map[string]int   `json:"blocks"` // seconds left
	Top     []Standing       `json:"top"`    // by new connections a second, the most first
}

// Report tells how it stands.
func (d *Door) Report(now time.Duration) Report {
	d.rates.fade(now)
	r := Report{Places: d.set.Places, Open: len(d.conns), Known: d.known, Waiting: d.idle[0].Len() + d.idle[1].Len(), Bytes: d.bytes, Crowded: d.count.Crowded, Counts: d.count,
		Refused: map[string]int64{}, Blocks: map[string]int{}}
	for why := Blocked; why < reasons; why++ {
		r.Refused[why.String()] = d.count.Refused[why]
	}
	for p, left := range d.Blocks(now) {
		r.Blocks[p.String()] = int(left / time.Second)
	}
	for _, s := range d.seen.of {
		st := Standing{Prefix: s.prefix.String(), Rate: d.rates.rate(d.rates.estimate(d.rates.key(s.prefix))), Refused: s.refused}
		if g := d.tiers[0].groups[s.prefix]; g != nil {
			st.Open, st.Unproven, st.Earned, st.Bytes = g.open, g.unproven.Len(), d.tiers[0].has(now, g), g.bytes
		}
		r.Top = append(r.Top, st)
	}
	slices.SortFunc(r.Top, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Prefix, b.Prefix))
	})
	return r
}
