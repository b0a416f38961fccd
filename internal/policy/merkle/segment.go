package merkle

import (
	"crypto/sha256"
	"slices"
)

// Bounds on segments of values, and on lists of their hashes.
const (
	minSegmentBytes = 256
	maxSegmentBytes = 4 << 10
	segmentEndMask  = 1<<10 - 1 // gives segments of some minSegmentBytes + 1 KiB
	maxListHashes   = 256
	listEndMask     = 1<<5 - 1 // gives lists of some 32 hashes
	maxListLevels   = 24       // each list but the last of a level has two hashes or more
)

// gear is the table of the rolling hash that gives the ends of segments (Gear: Xia and others, 2014): a word for each
// byte, drawn by SplitMix64 from a fixed seed. Another table would split equal values differently.
var gear = func() (table [256]uint64) {
	state := uint64(30)
	for i := range table {
		state += 0x9e3779b97f4a7c15
		word := state
		word = (word ^ word>>30) * 0xbf58476d1ce4e5b9
		word = (word ^ word>>27) * 0x94d049bb133111eb
		table[i] = word ^ word>>31
	}
	return table
}()

// segmentedValue is a value in segments.
type segmentedValue struct {
	total int  // bytes of the value
	root  Hash // of the only segment, or of the topmost list
	size  int  // bytes of all chunks
	// chunks are the segments and lists. The root is first, and each stands after the one that names it. A chunk that
	// is named twice stands there twice.
	chunks []hashedChunk
}

// hashedChunk is a chunk with its hash.
type hashedChunk struct {
	hash Hash
	data []byte
}

func newChunk(kind byte, body []byte) hashedChunk {
	data := append([]byte{kind}, body...)
	return hashedChunk{HashOf(data), data}
}

// splitValue splits a value into segments, and their hashes into lists, level by level until one hash is left. The ends
// of segments and of lists follow from their content, so a change leaves the segments away from it as they are.
func splitValue(value []byte) *segmentedValue {
	v := &segmentedValue{total: len(value)}
	var level []hashedChunk
	for len(value) > 0 {
		end := segmentEnd(value)
		level = append(level, newChunk(kindSegment, value[:end]))
		value = value[end:]
	}
	for {
		v.chunks = append(slices.Clone(level), v.chunks...)
		if len(level) <= 1 {
			break
		}
		level = listLevel(level)
	}
	v.root = level[0].hash
	for _, chunk := range v.chunks {
		v.size += len(chunk.data)
	}
	return v
}

// listLevel returns the lists of the hashes of a level.
func listLevel(level []hashedChunk) []hashedChunk {
	var lists []hashedChunk
	for len(level) > 0 {
		end := listEnd(level)
		var hashes []byte
		for _, chunk := range level[:end] {
			hashes = append(hashes, chunk.hash[:]...)
		}
		lists = append(lists, newChunk(kindSegmentList, hashes))
		level = level[end:]
	}
	return lists
}

// segmentEnd returns the length of the first segment of a value.
func segmentEnd(value []byte) int {
	if len(value) <= minSegmentBytes {
		return len(value)
	}
	limit := min(len(value), maxSegmentBytes)
	rolling := uint64(0)
	for i, b := range value[:limit] {
		rolling = rolling<<1 + gear[b]
		if i+1 >= minSegmentBytes && rolling>>32&segmentEndMask == 0 {
			return i + 1
		}
	}
	return limit
}

// listEnd returns how many hashes the first list of a level has.
func listEnd(level []hashedChunk) int {
	limit := min(len(level), maxListHashes)
	for i := 1; i < limit; i++ {
		if level[i].hash[0]&listEndMask == 0 {
			return i + 1
		}
	}
	return limit
}

// byHash returns the chunks by their hashes; nil has none.
func (v *segmentedValue) byHash() map[Hash][]byte {
	if v == nil {
		return nil
	}
	chunks := make(map[Hash][]byte, len(v.chunks))
	for _, chunk := range v.chunks {
		chunks[chunk.hash] = chunk.data
	}
	return chunks
}

// join returns the value.
func (v *segmentedValue) join() []byte {
	value := make([]byte, 0, v.total)
	for _, chunk := range v.chunks {
		if chunk.data[0] == kindSegment {
			value = append(value, chunk.data[1:]...)
		}
	}
	return value
}

// decodeList returns the hashes in a list, and false if it is malformed.
func decodeList(chunk []byte) ([]Hash, bool) {
	body := chunk[1:]
	if len(body) == 0 || len(body)%sha256.Size != 0 || len(body) > maxListHashes*sha256.Size {
		return nil, false
	}
	var hashes []Hash
	for ; len(body) > 0; body = body[sha256.Size:] {
		hashes = append(hashes, Hash(body))
	}
	return hashes, true
}

// segmentJoiner joins a value from chunks that arrived.
type segmentJoiner struct {
	chunks map[Hash][]byte
	total  int // bytes that the value must have
	value  []byte
}

// joinSegments returns the value under a root. It returns false if a chunk is missing or the value has not the total.
func joinSegments(root Hash, total int, chunks map[Hash][]byte) ([]byte, bool) {
	j := segmentJoiner{chunks: chunks, total: total, value: make([]byte, 0, min(total, MaxValueBytes))}
	ok := j.add(root, 0)
	return j.value, ok && len(j.value) == total
}

func (j *segmentJoiner) add(hash Hash, level int) bool {
	chunk, ok := j.chunks[hash]
	if !ok || level > maxListLevels {
		return false
	}
	if chunk[0] == kindSegment {
		body := chunk[1:]
		if len(body) == 0 || len(body) > j.total-len(j.value) {
			return false
		}
		j.value = append(j.value, body...)
		return true
	}
	hashes, ok := decodeList(chunk)
	if !ok {
		return false
	}
	for _, h := range hashes {
		if !j.add(h, level+1) {
			return false
		}
	}
	return true
}
