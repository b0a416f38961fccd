package store

// mutation is a set of deliberate faults, one bit each. Tests set them to verify that their checks detect each fault.
type mutation uint8

const (
	allowReusedNumbers mutation = 1 << iota // a namespace may use a file number again
	withholdEverything                      // one withheld file blocks all other submitted files
	keepGeneration                          // a rollback does not increase the generation
	displaceCandidate                       // a submission replaces the candidate during its rollout
	skipBisection                           // all changes of a stopped batch are reported as failed
	keepFailedChanges                       // a failed change stays in the head
	skipParseCache                          // files are parsed again for each merge
	reportOnlyFirst                         // of several changes that fail together, only the first is reported
)

// mutated reports whether a deliberate fault is enabled.
func (m *StateMachine) mutated(which mutation) bool { return m.mutations&which != 0 }
