package merkle

import (
	"crypto/sha256"
	"slices"
)

// Bounds on chunks, in bytes, and on lists, in names.
const (
	minSegmentBytes = 256
	maxSegmentBytes = 4 << 10
	segmentEndMask  = 1<<10 - 1 // so that chunks are some chunkLeast + 1 KiB long
	maxListHashes   = 256
	maxListLevels   = 24 // of lists; each list but the last of a level has two names or more
)

// gear is a word for each byte, drawn by SplitMix64 from a fixed seed: the rolling hash that says where chunks end (Gear, Xia
// and others, 2014).
var gear = func() (out [256]uint64) {
	x := uint64(30)
	for i := range out {
		x += 0x9e3779b97f4a7c15
		z := x
		z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		out[i] = z ^ z>>31
	}
	return out
}()

// segmentedValue is a value in chunks.
type segmentedValue struct {
	total  int
	root   Hash
	size   int           // of all pieces
	chunks []hashedChunk // the top first, each after the one that names it; one that is named twice stands here twice
}

type hashedChunk struct {
	hash Hash
	data []byte
}

// splitValue puts a value into chunks, and their names into lists, level by level until there is one name. Where chunks and lists end
// follows from what stands there, so that a change within leaves the others as they are.
func splitValue(value []byte) *segmentedValue {
	l := &segmentedValue{total: len(value)}
	var level []hashedChunk
	for len(value) > 0 {
		n := segmentEnd(value)
		level = append(level, newChunk(kindSegment, value[:n]))
		value = value[n:]
	}
	for {
		l.chunks = append(slices.Clone(level), l.chunks...)
		if len(level) <= 1 {
			break
		}
		var up []hashedChunk
		for rest := level; len(rest) > 0; {
			n := listEnd(rest)
			var names []byte
			for _, p := range rest[:n] {
				names = append(names, p.hash[:]...)
			}
			up = append(up, newChunk(kindSegmentList, names))
			rest = rest[n:]
		}
		level = up
	}
	l.root = level[0].hash
	for _, p := range l.chunks {
		l.size += len(p.data)
	}
	return l
}

func newChunk(kind byte, body []byte) hashedChunk {
	piece := append([]byte{kind}, body...)
	return hashedChunk{HashOf(piece), piece}
}

// segmentEnd is where the first chunk of a value ends.
func segmentEnd(value []byte) int {
	if len(value) <= minSegmentBytes {
		return len(value)
	}
	hash := uint64(0)
	for i, b := range value[:min(len(value), maxSegmentBytes)] {
		hash = hash<<1 + gear[b]
		if i+1 >= minSegmentBytes && hash>>32&segmentEndMask == 0 {
			return i + 1
		}
	}
	return min(len(value), maxSegmentBytes)
}

// listEnd is how many names the first list of a level has.
func listEnd(level []hashedChunk) int {
	for i := range level[:min(len(level), maxListHashes)] {
		if i >= 1 && level[i].hash[0]&31 == 0 {
			return i + 1
		}
	}
	return min(len(level), maxListHashes)
}

// byHash are the pieces by their names.
func (l *segmentedValue) byHash() map[Hash][]byte {
	if l == nil {
		return nil
	}
	out := make(map[Hash][]byte, len(l.chunks))
	for _, p := range l.chunks {
		out[p.hash] = p.data
	}
	return out
}

// value joins the chunks.
func (l *segmentedValue) value() []byte {
	out := make([]byte, 0, l.total)
	for _, p := range l.chunks {
		if p.data[0] == kindSegment {
			out = append(out, p.data[1:]...)
		}
	}
	return out
}

// listHashes are the names in a list; ok is false if it is not well formed.
func listHashes(piece []byte) (names []Hash, ok bool) {
	body := piece[1:]
	if len(body) == 0 || len(body)%sha256.Size != 0 || len(body) > maxListHashes*sha256.Size {
		return nil, false
	}
	for ; len(body) > 0; body = body[sha256.Size:] {
		names = append(names, Hash(body))
	}
	return names, true
}

// joinSegments is the value that chunks come to, if they are all there and come to just as many bytes.
func joinSegments(top Hash, total int, have map[Hash][]byte) ([]byte, bool) {
	out := make([]byte, 0, min(total, MaxValueBytes))
	var walk func(n Hash, depth int) bool
	walk = func(n Hash, depth int) bool {
		piece, there := have[n]
		if !there || depth > maxListLevels {
			return false
		}
		if piece[0] == kindSegment {
			if len(piece)-1 > total-len(out) || len(piece) == 1 {
				return false
			}
			out = append(out, piece[1:]...)
			return true
		}
		names, ok := listHashes(piece)
		if !ok {
			return false
		}
		for _, n := range names {
			if !walk(n, depth+1) {
				return false
			}
		}
		return true
	}
	return out, walk(top, 0) && len(out) == total
}
