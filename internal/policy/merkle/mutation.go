package merkle

// mutation switches checks of an Assembly off, one bit each. Tests set it to see that the missing check is detected.
type mutation uint8

const (
	skipHashCheck     mutation = 1 << iota // a chunk is taken for the oldest missing one, whatever its hash
	skipPlaceCheck                         // keys may stand anywhere
	skipShapeCheck                         // leaves and nodes may be of any size
	skipCompleteCheck                      // a tree is returned before all chunks have arrived
)

// mutated reports whether any of some checks is switched off.
func (a *Assembly) mutated(which mutation) bool { return a.mutations&which != 0 }
