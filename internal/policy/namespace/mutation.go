package namespace

// mutation switches rules of Merge off, one bit each. Tests set it to see that a check detects the missing rule.
type mutation uint8

const (
	acceptAll         mutation = 1 << iota // conflicts are reported and nothing is withheld
	withholdAll                            // all files in a conflict are withheld
	arrivalOrder                           // the order of arrival is the precedence
	noReinstatement                        // what was withheld stays so
	withholdUnchanged                      // a file is withheld for rules that it did not change
)

// hasMutation reports whether a rule is switched off.
func (m *merger) hasMutation(which mutation) bool { return m.mutations&which != 0 }
