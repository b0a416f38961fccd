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
	RecentTrees      int           // trees that are remembered besides those that are kept
	MaxNames         int           // that one request may ask for
	UnthrottledNames int           // names that anyone may ask for at any time; who asks for more fetches a whole policy
	MaxBytes         int           // of pieces in one answer
	MaxFetches       int           // that fetch whole policies at once
	FetchIdle        time.Duration // after which one that asks no more has ended
	MaxWait          time.Duration // that one is told to wait
}

// DefaultSettings are for thousands of proxies at one steward: a whole policy of 5 MB is some twenty answers.
func DefaultSettings() Settings {
	return Settings{RecentTrees: 32, MaxNames: 256, UnthrottledNames: 32, MaxBytes: 256 << 10, MaxFetches: 32, FetchIdle: 200 * time.Millisecond, MaxWait: 8 * time.Second}
}

// maxCachedDiffs is how many pairs of roots the pieces are remembered of that one who has the first lacks of the second. In a roll-out
// thousands of proxies ask for one or two.
const maxCachedDiffs = 8

// Distributor gives pieces out. It is for any goroutine.
type Distributor struct {
	settings Settings

	mu        sync.Mutex // never held over I/O
	retained  []*merkle.Tree
	recent    []*merkle.Tree // newest last, those that are kept among them
	diffs     []cachedDiff   // used last, last
	fetches   map[string]*activeFetch
	lastTurn  time.Duration // of the last that was told to come back
	meanFetch time.Duration // that a whole fetch takes, in the mean
	counters  Counters
}

type cachedDiff struct {
	from, to string
	chunks   [][]byte
}

type activeFetch struct{ started, lastRequest time.Duration }

// Counters are since the start.
type Counters struct {
	Pushed        uint64 // pieces that went beside answers to reports
	Requested     uint64 // pieces that were asked for by name
	Bytes         uint64 // of both
	Missing       uint64 // names that no tree has
	Deferred      uint64 // requests that were told to come back
	DiffsComputed uint64 // pairs of roots that were compared
}

// New makes one with nothing on it.
func New(set Settings) *Distributor {
	return &Distributor{settings: set, fetches: map[string]*activeFetch{}, meanFetch: set.FetchIdle}
}

// Retain says which trees there are from now on, oldest first. Of those before, the last few stay.
func (s *Distributor) Retain(trees []*merkle.Tree) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retained = trees
	for _, t := range trees {
		if n := len(s.recent); n > 0 && s.recent[n-1] == t {
			continue
		}
		s.recent = slices.DeleteFunc(s.recent, func(o *merkle.Tree) bool { return o == t || o.Root() == t.Root() })
		s.recent = append(s.recent, t)
	}
	if over := len(s.recent) - s.settings.RecentTrees - len(trees); over > 0 {
		s.recent = slices.Delete(s.recent, 0, over)
	}
}

// treeOf is the one of a root; nil is not here. It is called under the lock.
func (s *Distributor) treeOf(root string) *merkle.Tree {
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

// ChunksBetween gives what one who has a root lacks of another, top first, until so many bytes are full. Of one whose root is not known here
// that can't be said: it has to ask by name.
func (s *Distributor) ChunksBetween(has, to string, most int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if has == to {
		return nil
	}
	at := slices.IndexFunc(s.diffs, func(p cachedDiff) bool { return p.from == has && p.to == to })
	if at < 0 {
		a, b, size := s.treeOf(has), s.treeOf(to), 0
		if a == nil || b == nil {
			return nil
		}
		p := cachedDiff{from: has, to: to}
		for _, piece := range b.Lacks(a) {
			if size += len(piece); size > s.settings.MaxBytes {
				break
			}
			p.chunks = append(p.chunks, piece)
		}
		s.counters.DiffsComputed++
		s.diffs = append(s.diffs, p)
		if len(s.diffs) > maxCachedDiffs {
			s.diffs = slices.Delete(s.diffs, 0, 1)
		}
		at = len(s.diffs) - 1
	}
	p := s.diffs[at]
	if at != len(s.diffs)-1 {
		s.diffs = append(slices.Delete(s.diffs, at, at+1), p)
	}
	out, size := p.chunks, 0
	for i, piece := range out {
		if size += len(piece); size > min(most, s.settings.MaxBytes) {
			out, size = out[:i], size-len(piece)
			break
		}
	}
	s.counters.Pushed += uint64(len(out))
	s.counters.Bytes += uint64(size)
	return out
}

// ChunksByName gives pieces by name, in the order of their names, of the tree of a root or of any other that is kept, until an answer is full.
// Lacks counts names that nothing here has. If too many fetch whole policies there are none, and later says when to come back.
func (s *Distributor) ChunksByName(now time.Duration, proxy, root string, names [][]byte) (out [][]byte, lacks int, later time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(names) > s.settings.MaxNames {
		names = names[:s.settings.MaxNames]
	}
	if len(names) > s.settings.UnthrottledNames {
		if later = s.admit(now, proxy); later > 0 {
			s.counters.Deferred++
			return nil, 0, later
		}
	}
	trees := s.retained
	if t := s.treeOf(root); t != nil {
		trees = append([]*merkle.Tree{t}, trees...)
	}
	size := 0
	for _, name := range names {
		piece := findChunk(trees, name)
		if piece == nil {
			lacks++
			continue
		}
		if size += len(piece); size > s.settings.MaxBytes {
			break
		}
		out = append(out, piece)
		s.counters.Bytes += uint64(len(piece))
	}
	s.counters.Requested += uint64(len(out))
	s.counters.Missing += uint64(lacks)
	return out, lacks, 0
}

func findChunk(trees []*merkle.Tree, name []byte) []byte {
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
func (s *Distributor) admit(now time.Duration, proxy string) (later time.Duration) {
	if p := s.fetches[proxy]; p != nil && now-p.lastRequest <= s.settings.FetchIdle {
		p.lastRequest = now
		return 0
	}
	for name, p := range s.fetches {
		if now-p.lastRequest > s.settings.FetchIdle {
			s.meanFetch = (3*s.meanFetch + p.lastRequest - p.started + s.settings.FetchIdle) / 4
			delete(s.fetches, name)
		}
	}
	if len(s.fetches) < s.settings.MaxFetches {
		s.fetches[proxy] = &activeFetch{now, now}
		return 0
	}
	s.lastTurn = max(s.lastTurn, now) + max(time.Millisecond, s.meanFetch/time.Duration(s.settings.MaxFetches))
	if s.lastTurn-now > s.settings.MaxWait {
		s.lastTurn = now + s.settings.MaxWait
	}
	return max(s.lastTurn-now, s.settings.FetchIdle/4)
}

// Counters tells what was given out.
func (s *Distributor) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}
