// Package sessions remembers which server holds a session (a trip, a desk, a Diameter session), and says where a session
// belongs that nobody remembers. It is pure: no I/O, no goroutine, no clock; one caller at a time. What it says is a
// preference: the decision module weighs it against health, drain, cold start and load.
//
// What it promises:
//
//   - Proxies that share nothing name the same home for a session, as far as they know the same servers of the same weights.
//   - When a server leaves, only the sessions whose home it was have another; when one joins, only those that it becomes the
//     home of.
//   - With a bound on load, no server is named the home of more than the bound times its share.
//   - A table holds no more bytes than it may, whatever comes; a tenant holds no more of it than its share while others want
//     room. When it is full, sessions go without an entry; nothing stops.
//   - That a server has left, or has begun anew, costs no walk over its sessions.
package sessions

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// Node is a server that sessions can live on.
type Node struct {
	ID     uint32
	Weight float64 // above 0; a server of twice the weight is home to twice as many
}

// Placement is the homes of sessions over a set of servers. It never changes.
type Placement struct {
	nodes []placed
	total float64 // of the weights
}

type placed struct {
	Node
	hash uint64
}

// NewPlacement makes homes over servers. Those whose weight is not above 0 are home to nobody. The order does not count.
func NewPlacement(nodes []Node) *Placement {
	p := &Placement{}
	for _, n := range nodes {
		if n.Weight > 0 && !math.IsInf(n.Weight, 1) {
			var b [4]byte
			binary.BigEndian.PutUint32(b[:], n.ID)
			p.nodes = append(p.nodes, placed{n, xxh3.Hash(b[:])})
			p.total += n.Weight
		}
	}
	slices.SortFunc(p.nodes, func(a, b placed) int { return int(int64(a.ID) - int64(b.ID)) })
	return p
}

// score is weighted rendezvous hashing: of all servers the one with the highest score is the home. With a uniform u of key and
// server, -w/ln(u) makes each win in proportion to its weight, and a server's score hangs on no other server.
func (n *placed) score(key uint64) float64 {
	// 53 bits, never 0 and never 1.
	u := (float64(mix(key^n.hash)>>11) + 0.5) / (1 << 53)
	return -n.Weight / math.Log(u)
}

// mix spreads 64 bits (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Home is the home of a session; ok is false where there are no servers.
func (p *Placement) Home(key uint64) (id uint32, ok bool) {
	best := -1.0
	for i := range p.nodes {
		if s := p.nodes[i].score(key); s > best {
			best, id, ok = s, p.nodes[i].ID, true
		}
	}
	return id, ok
}

// Bounded is the home of a session where no server may hold more than bound times its share of all: the first in the order
// of the session's scores that has room. Load is how many a server has now, total of all. A bound of 1.25 is usual (Mirrokni,
// Thorup, Zadimoghaddam: Consistent Hashing with Bounded Loads, 2018).
func (p *Placement) Bounded(key uint64, bound float64, total int, load func(id uint32) int) (id uint32, ok bool) {
	below := math.Inf(1)
	for range p.nodes { // most often the first has room: the order is not made ahead
		best, at := -1.0, -1
		for i := range p.nodes {
			if s := p.nodes[i].score(key); s > best && s < below {
				best, at = s, i
			}
		}
		if at < 0 {
			break
		}
		n := &p.nodes[at]
		if float64(load(n.ID)) < math.Ceil(bound*float64(total+1)*n.Weight/p.total) {
			return n.ID, true
		}
		below = best
	}
	return 0, false
}

// Key is a session's name as a number: of a route and protocol, and of what they say the session is. Its hash has no secret: all
// proxies must agree on it.
func Key(scope, session string) uint64 {
	var h xxh3.Hasher
	_, _ = h.WriteString(scope)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(session)
	return h.Sum64()
}
