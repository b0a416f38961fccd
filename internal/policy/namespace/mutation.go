package namespace

// mutation is a set of bits, each of which switches a rule of Merge off. Tests use it to show that their checks detect
// the missing rule. Merge sets no bit.
type mutation uint8

const (
	acceptAll         mutation = 1 << iota // report conflicts, but withhold nothing
	withholdAll                            // withhold all submitted files of a conflict, not only one
	arrivalOrder                           // take the order in which files are given as the precedence
	noReinstatement                        // do not reinstate withheld files whose conflict no longer exists
	withholdUnchanged                      // withhold a file also for rules that it did not change
)

// hasMutation reports whether a mutation is set.
func (m *merger) hasMutation(bit mutation) bool { return m.mutations&bit != 0 }
