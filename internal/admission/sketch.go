package admission

import (
	"math"
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	sketchRows     = 4
	sketchWidth    = 8192 // cells per row, a power of two
	sketchHalfLife = time.Second
	// maxScale is the value of sketch.scale from which all cells are divided by the scale, before they exceed the range
	// of float32.
	maxScale = 1 << 40
	// maxDecayHalfLives bounds the exponent of one decay; after that many half-lives all counts are practically 0.
	maxDecayHalfLives = 120
	// rowHashBits is the number of bits by which the hash is shifted from row to row.
	rowHashBits = 16
)

// sketch counts events of any number of keys in 128 kB: a count-min sketch with conservative update (Estan and
// Varghese 2002; Cormode and Muthukrishnan 2005) whose counts halve every second. An estimate is never too low; the
// probability that it is too high by more than errorBound is e^-4, under 2 %.
type sketch struct {
	seed  uint64
	cells [sketchRows][sketchWidth]float32 // counts multiplied by scale
	total float64                          // the sum of all counts, multiplied by scale
	// scale is the weight of one event at decayedAt. Its growth stands in for dividing all cells at each decay.
	scale     float64
	decayedAt time.Duration // when the counts last decayed
}

// newSketch returns an empty sketch. The seed must be secret from those who choose the keys.
func newSketch(seed uint64) *sketch { return &sketch{seed: seed, scale: 1} }

// decay halves all counts for each half-life since the last call, in proportion for parts of a half-life.
func (s *sketch) decay(now time.Duration) {
	if now <= s.decayedAt {
		return
	}
	halfLives := float64(now-s.decayedAt) / float64(sketchHalfLife)
	s.scale *= math.Exp2(min(halfLives, maxDecayHalfLives))
	s.decayedAt = now
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

// key returns the seeded hash of a prefix, which is its key in the sketch.
func (s *sketch) key(p netip.Prefix) uint64 {
	const addressLength = 16
	var b [addressLength + 1]byte
	address := p.Addr().As16()
	copy(b[:], address[:])
	b[addressLength] = byte(p.Bits())
	return xxh3.HashSeed(b[:], s.seed)
}

// cell returns a key's cell in a row.
func (s *sketch) cell(row int, key uint64) *float32 {
	return &s.cells[row][(key>>(rowHashBits*row))%sketchWidth]
}

// add counts one event of a key, and returns the estimated count including it.
func (s *sketch) add(now time.Duration, key uint64) float64 {
	s.decay(now)
	lowest := float32(math.Inf(1))
	for r := range sketchRows {
		lowest = min(lowest, *s.cell(r, key))
	}
	lowest += float32(s.scale)
	for r := range sketchRows {
		c := s.cell(r, key)
		*c = max(*c, lowest)
	}
	s.total += s.scale
	return float64(lowest) / s.scale
}

// estimate returns the estimated count of a key as of the last decay.
func (s *sketch) estimate(key uint64) float64 {
	lowest := float32(math.Inf(1))
	for r := range sketchRows {
		lowest = min(lowest, *s.cell(r, key))
	}
	return float64(lowest) / s.scale
}

// rate converts a decaying count to events per second, assuming a constant rate of events.
func (s *sketch) rate(count float64) float64 {
	return count * math.Ln2 / sketchHalfLife.Seconds()
}

// errorBound returns the amount by which an estimate exceeds the exact count with a probability of at most e^-4.
func (s *sketch) errorBound() float64 { return math.E * s.total / s.scale / sketchWidth }
