package merkle

import (
	"crypto/sha256"
	"slices"
)

// Bounds on chunks, in bytes, and on lists, in names.
const (
	chunkLeast = 256
	chunkMost  = 4 << 10
	chunkMask  = 1<<10 - 1 // so that chunks are some chunkLeast + 1 KiB long
	listMost   = 256
	mostLevels = 24 // of lists; each list but the last of a level has two names or more
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

// long is a value in chunks.
type long struct {
	total  int
	top    Name
	size   int          // of all pieces
	pieces []namedPiece // the top first, each after the one that names it; one that is named twice stands here twice
}

type namedPiece struct {
	name  Name
	piece []byte
}

// cut puts a value into chunks, and their names into lists, level by level until there is one name. Where chunks and lists end
// follows from what stands there, so that a change within leaves the others as they are.
func cut(value []byte) *long {
	l := &long{total: len(value)}
	var level []namedPiece
	for len(value) > 0 {
		n := chunkEnd(value)
		level = append(level, pieceOf(kindChunk, value[:n]))
		value = value[n:]
	}
	for {
		l.pieces = append(slices.Clone(level), l.pieces...)
		if len(level) <= 1 {
			break
		}
		var up []namedPiece
		for rest := level; len(rest) > 0; {
			n := listEnd(rest)
			var names []byte
			for _, p := range rest[:n] {
				names = append(names, p.name[:]...)
			}
			up = append(up, pieceOf(kindList, names))
			rest = rest[n:]
		}
		level = up
	}
	l.top = level[0].name
	for _, p := range l.pieces {
		l.size += len(p.piece)
	}
	return l
}

func pieceOf(kind byte, body []byte) namedPiece {
	piece := append([]byte{kind}, body...)
	return namedPiece{NameOf(piece), piece}
}

// chunkEnd is where the first chunk of a value ends.
func chunkEnd(value []byte) int {
	if len(value) <= chunkLeast {
		return len(value)
	}
	hash := uint64(0)
	for i, b := range value[:min(len(value), chunkMost)] {
		hash = hash<<1 + gear[b]
		if i+1 >= chunkLeast && hash>>32&chunkMask == 0 {
			return i + 1
		}
	}
	return min(len(value), chunkMost)
}

// listEnd is how many names the first list of a level has.
func listEnd(level []namedPiece) int {
	for i := range level[:min(len(level), listMost)] {
		if i >= 1 && level[i].name[0]&31 == 0 {
			return i + 1
		}
	}
	return min(len(level), listMost)
}

// byName are the pieces by their names.
func (l *long) byName() map[Name][]byte {
	if l == nil {
		return nil
	}
	out := make(map[Name][]byte, len(l.pieces))
	for _, p := range l.pieces {
		out[p.name] = p.piece
	}
	return out
}

// value joins the chunks.
func (l *long) value() []byte {
	out := make([]byte, 0, l.total)
	for _, p := range l.pieces {
		if p.piece[0] == kindChunk {
			out = append(out, p.piece[1:]...)
		}
	}
	return out
}

// listed are the names in a list; ok is false if it is not well formed.
func listed(piece []byte) (names []Name, ok bool) {
	body := piece[1:]
	if len(body) == 0 || len(body)%sha256.Size != 0 || len(body) > listMost*sha256.Size {
		return nil, false
	}
	for ; len(body) > 0; body = body[sha256.Size:] {
		names = append(names, Name(body))
	}
	return names, true
}

// joined is the value that chunks come to, if they are all there and come to just as many bytes.
func joined(top Name, total int, have map[Name][]byte) ([]byte, bool) {
	out := make([]byte, 0, min(total, MostValue))
	var walk func(n Name, depth int) bool
	walk = func(n Name, depth int) bool {
		piece, there := have[n]
		if !there || depth > mostLevels {
			return false
		}
		if piece[0] == kindChunk {
			if len(piece)-1 > total-len(out) || len(piece) == 1 {
				return false
			}
			out = append(out, piece[1:]...)
			return true
		}
		names, ok := listed(piece)
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
