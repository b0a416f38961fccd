package merkle

// mutation is a set of checks of an Assembly that are switched off, one bit each. Tests set it to verify that they
// detect each missing check.
type mutation uint8

const (
	skipHashCheck     mutation = 1 << iota // an unexpected chunk is accepted as the oldest missing chunk
	skipPlaceCheck                         // keys may be in any place and in any order
	skipShapeCheck                         // leaves and nodes may have any size, and values any segments
	skipCompleteCheck                      // a tree is returned before all chunks have arrived
)

// mutated reports whether any of the given checks is switched off.
func (a *Assembly) mutated(which mutation) bool { return a.mutations&which != 0 }
