package store

// mutation switches safeguards off, one bit each. Tests set it to see that a check detects the missing safeguard.
type mutation uint8

const (
	allowReusedNumbers mutation = 1 << iota // the number of a file may be used again
	withholdEverything                      // one withheld file stops all others
	keepGeneration                          // a rollback does not raise the generation
	displaceCandidate                       // a submission replaces the candidate
	skipBisection                           // all changes of a stopped batch fail
	keepFailedChanges                       // a failed change stays in the head
	skipParseCache                          // files are parsed again each time
	reportOnlyFirst                         // only the first change of an inseparable batch is reported
)

// mutated reports whether a safeguard is switched off.
func (m *StateMachine) mutated(which mutation) bool { return m.mutations&which != 0 }
