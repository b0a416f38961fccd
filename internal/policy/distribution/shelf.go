// Package distribution gives out the pieces of policies (package pieces): those that a proxy lacks, beside the answer to its report, and
// any by name. It bounds how many fetch a whole policy at once, and says when the others are to come back. It is pure: no I/O, no
// goroutine, no clock; callers give the time.
package distribution

import (
	"slices"
	"sync"
	"time"

	"lapisspread/internal/policy/merkle"
)

// Settings bound what is given out.
type Settings struct {
	Recent   int           // trees that are remembered besides those that are kept
	Names    int           // that one request may ask for
	Light    int           // names that anyone may ask for at any time; who asks for more fetches a whole policy
	Bytes    int           // of pieces in one answer
	Fetching int           // that fetch whole policies at once
	Rest     time.Duration // after which one that asks no more has ended
	Most     time.Duration // that one is told to wait
}

// Defaults are for thousands of proxies at one steward: a whole policy of 5 MB is some twenty answers.
func Defaults() Settings {
	return Settings{Recent: 32, Names: 256, Light: 32, Bytes: 256 << 10, Fetching: 32, Rest: 200 * time.Millisecond, Most: 8 * time.Second}
}

// mostPairs is how many pairs of roots the pieces are remembered of that one who has the first lacks of the second. In a roll-out
// thousands of proxies ask for one or two.
const mostPairs = 8

// Shelf gives pieces out. It is for any goroutine.
type Shelf struct {
	set Settings

	mu     sync.Mutex // never held over I/O
	kept   []*merkle.Tree
	recent []*merkle.Tree // newest last, those that are kept among them
	pairs  []pair         // used last, last
	slots  map[string]*slot
	turn   time.Duration // of the last that was told to come back
	takes  time.Duration // that a whole fetch takes, in the mean
	counts Counts
}

type pair struct {
	has, to string
	pieces  [][]byte
}

type slot struct{ since, last time.Duration }

// Counts are since the start.
type Counts struct {
	Along uint64 // pieces that went beside answers to reports
	Named uint64 // pieces that were asked for by name
	Bytes uint64 // of both
	Lacks uint64 // names that no tree has
	Later uint64 // requests that were told to come back
	Made  uint64 // pairs of roots that were compared
}

// New makes one with nothing on it.
func New(set Settings) *Shelf {
	return &Shelf{set: set, slots: map[string]*slot{}, takes: set.Rest}
}

// Keep says which trees there are from now on, oldest first. Of those before, the last few stay.
func (s *Shelf) Keep(trees []*merkle.Tree) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = trees
	for _, t := range trees {
		if n := len(s.recent); n > 0 && s.recent[n-1] == t {
			continue
		}
		s.recent = slices.DeleteFunc(s.recent, func(o *merkle.Tree) bool { return o == t || o.Root() == t.Root() })
		s.recent = append(s.recent, t)
	}
	if over := len(s.recent) - s.set.Recent - len(trees); over > 0 {
		s.recent = slices.Delete(s.recent, 0, over)
	}
}

// tree is the one of a root; nil is not here. It is called under the lock.
func (s *Shelf) tree(root string) *merkle.Tree {
	n, err := merkle.ParseName(root)
	if err != nil {
		return nil
	}
	for i := len(s.recent) - 1; i >= 0; i-- {
		if s.recent[i].Root() == n {
			return s.recent[i]
		}
	}
	return nil
}

// Along gives what one who has a root lacks of another, top first, until so many bytes are full. Of one whose root is not known here
// that can't be said: it has to ask by name.
func (s *Shelf) Along(has, to string, most int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if has == to {
		return nil
	}
	at := slices.IndexFunc(s.pairs, func(p pair) bool { return p.has == has && p.to == to })
	if at < 0 {
		a, b, size := s.tree(has), s.tree(to), 0
		if a == nil || b == nil {
			return nil
		}
		p := pair{has: has, to: to}
		for _, piece := range b.Lacks(a) {
			if size += len(piece); size > s.set.Bytes {
				break
			}
			p.pieces = append(p.pieces, piece)
		}
		s.counts.Made++
		s.pairs = append(s.pairs, p)
		if len(s.pairs) > mostPairs {
			s.pairs = slices.Delete(s.pairs, 0, 1)
		}
		at = len(s.pairs) - 1
	}
	p := s.pairs[at]
	if at != len(s.pairs)-1 {
		s.pairs = append(slices.Delete(s.pairs, at, at+1), p)
	}
	out, size := p.pieces, 0
	for i, piece := range out {
		if size += len(piece); size > min(most, s.set.Bytes) {
			out, size = out[:i], size-len(piece)
			break
		}
	}
	s.counts.Along += uint64(len(out))
	s.counts.Bytes += uint64(size)
	return out
}

// Named gives pieces by name, in the order of their names, of the tree of a root or of any other that is kept, until an answer is full.
// Lacks counts names that nothing here has. If too many fetch whole policies there are none, and later says when to come back.
func (s *Shelf) Named(now time.Duration, proxy, root string, names [][]byte) (out [][]byte, lacks int, later time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(names) > s.set.Names {
		names = names[:s.set.Names]
	}
	if len(names) > s.set.Light {
		if later = s.admit(now, proxy); later > 0 {
			s.counts.Later++
			return nil, 0, later
		}
	}
	trees := s.kept
	if t := s.tree(root); t != nil {
		trees = append([]*merkle.Tree{t}, trees...)
	}
	size := 0
	for _, name := range names {
		piece := named(trees, name)
		if piece == nil {
			lacks++
			continue
		}
		if size += len(piece); size > s.set.Bytes {
			break
		}
		out = append(out, piece)
		s.counts.Bytes += uint64(len(piece))
	}
	s.counts.Named += uint64(len(out))
	s.counts.Lacks += uint64(lacks)
	return out, lacks, 0
}

func named(trees []*merkle.Tree, name []byte) []byte {
	if len(name) != len(merkle.Name{}) {
		return nil
	}
	for _, t := range trees {
		if piece, there := t.Piece(merkle.Name(name)); there {
			return piece
		}
	}
	return nil
}

// admit has a proxy fetch a whole policy, or says when it is to come back: one after another, as places come free.
func (s *Shelf) admit(now time.Duration, proxy string) (later time.Duration) {
	if p := s.slots[proxy]; p != nil && now-p.last <= s.set.Rest {
		p.last = now
		return 0
	}
	for name, p := range s.slots {
		if now-p.last > s.set.Rest {
			s.takes = (3*s.takes + p.last - p.since + s.set.Rest) / 4
			delete(s.slots, name)
		}
	}
	if len(s.slots) < s.set.Fetching {
		s.slots[proxy] = &slot{now, now}
		return 0
	}
	s.turn = max(s.turn, now) + max(time.Millisecond, s.takes/time.Duration(s.set.Fetching))
	if s.turn-now > s.set.Most {
		s.turn = now + s.set.Most
	}
	return max(s.turn-now, s.set.Rest/4)
}

// Counts tells what was given out.
func (s *Shelf) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
