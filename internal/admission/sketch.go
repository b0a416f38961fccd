package admission

import (
	"math"
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	sketchRows     = 4
	sketchWidth    = 8192 // cells a row, a power of two
	sketchHalfLife = time.Second
)

// sketch counts what fades, for any number of addresses, in 128 kB: a count-min sketch with conservative update
// (Estan and Varghese 2002; Cormode and Muthukrishnan 2005) whose counts halve each second. An estimate is never too
// low; it is too high by more than error() with a chance of e^-4, under 2 %.
type sketch struct {
	seed    uint64
	cells   [sketchRows][sketchWidth]float32 // as of scale
	total   float64
	scale   float64 // what one counts for now: it grows, in place of all cells' shrinking
	fadedAt time.Duration
}

func newSketch(seed uint64) *sketch { return &sketch{seed: seed, scale: 1} }

// maxScale is where counts are brought back to a scale of 1, before float32 is left.
const maxScale = 1 << 40

func (s *sketch) fade(now time.Duration) {
	if now <= s.fadedAt {
		return
	}
	s.scale *= math.Exp2(min(float64(now-s.fadedAt)/float64(sketchHalfLife), 120)) // after that nothing is left
	s.fadedAt = now
	if s.scale < maxScale {
		return
	}
	for r := range s.cells {
		for i := range s.cells[r] {
			s.cells[r][i] = float32(float64(s.cells[r][i]) / s.scale)
		}
	}
	s.total /= s.scale
	s.scale = 1
}

// key hashes a prefix.
func (s *sketch) key(p netip.Prefix) uint64 {
	var b [17]byte
	a := p.Addr().As16()
	copy(b[:], a[:])
	b[16] = byte(p.Bits())
	return xxh3.HashSeed(b[:], s.seed)
}

// add counts one more, and gives the estimate with it.
func (s *sketch) add(now time.Duration, key uint64) float64 {
	s.fade(now)
	low := float32(math.Inf(1))
	var at [sketchRows]*float32
	for r := range at {
		at[r] = &s.cells[r][(key>>(16*r))%sketchWidth]
		low = min(low, *at[r])
	}
	low += float32(s.scale)
	for _, c := range at {
		*c = max(*c, low)
	}
	s.total += s.scale
	return float64(low) / s.scale
}

// rate makes a count a rate a second: what a steady one would have come to.
func (s *sketch) rate(count float64) float64 {
	return count * math.Ln2 / sketchHalfLife.Seconds()
}

// error is what an estimate may be too high by.
func (s *sketch) error() float64 { return math.E * s.total / s.scale / sketchWidth }

// estimate is a key's count now.
func (s *sketch) estimate(key uint64) float64 {
	low := float32(math.Inf(1))
	for r := range sketchRows {
		low = min(low, s.cells[r][(key>>(16*r))%sketchWidth])
	}
	return float64(low) / s.scale
}
