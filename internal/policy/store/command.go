package store

// Limits of the state machine.
const (
	MaxFileBytes        = 256 << 10 // bytes of a declaration or of a namespace's file
	MaxTotalFileBytes   = 16 << 20  // bytes of all accepted and pending files
	MaxPolicyBytes      = 16 << 20  // bytes of all chunks of a policy
	MaxUnchunkedBytes   = 512 << 10 // bytes of a policy that is sent to proxies that do not support chunks
	MaxRetainedPolicies = 16        // policies that the fleet can be rolled back to
	maxAuthorBytes      = 128       // bytes of the name of a command's author
	maxConflicts        = 64        // conflicts that are reported
	maxFailedChanges    = 256       // failed changes that are reported; older ones are dropped
	maxReasonBytes      = 2 << 10   // bytes of a reason or an advice; longer ones are cut off
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	SetDeclaration *SetDeclaration `json:"charter,omitempty"`
	SubmitFile     *SubmitFile     `json:"offer,omitempty"`
	Rollback       *Rollback       `json:"back,omitempty"`
	RolloutResult  *RolloutResult  `json:"judge,omitempty"`
}

// SetDeclaration replaces the ownership declaration.
type SetDeclaration struct {
	Text   string `json:"text"`
	Author string `json:"by,omitempty"`
}

// SubmitFile submits the policy file of a namespace.
type SubmitFile struct {
	Text   string `json:"text"`
	Author string `json:"by,omitempty"`
}

// Rollback is an operator's command to return the fleet to a retained epoch.
type Rollback struct {
	Epoch  uint64 `json:"epoch"`
	Author string `json:"by,omitempty"`
}

// RolloutResult reports how the rollout of the candidate ended. The leader proposes it.
type RolloutResult struct {
	Generation uint64 `json:"order"`          // generation of the candidate
	Epoch      uint64 `json:"epoch"`          // epoch of the candidate
	Completed  bool   `json:"done"`           // false if the rollout was stopped
	Reason     string `json:"why,omitempty"`  // why the rollout was stopped
	Advice     string `json:"help,omitempty"` // the operator's next step if the rollout was stopped

	// ProxyCount is the number of proxies that the leader has seen; 0 if unknown.
	ProxyCount int `json:"proxies,omitempty"`
}

// setFieldCount returns how many fields of the command are set.
func (c *Command) setFieldCount() int {
	count := 0
	for _, set := range []bool{
		c.SetDeclaration != nil, c.SubmitFile != nil, c.Rollback != nil, c.RolloutResult != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

// checkSizes returns a TooLargeError if a text or the name of its author is too long. The error
// for a text has its description.
func checkSizes(description, text, author string) error {
	if len(text) > MaxFileBytes {
		return TooLargeError{description, len(text), MaxFileBytes}
	}
	return checkAuthor(author)
}

// checkAuthor returns a TooLargeError if the name of an author is too long.
func checkAuthor(author string) error {
	if len(author) > maxAuthorBytes {
		return TooLargeError{"the name of who gave it", len(author), maxAuthorBytes}
	}
	return nil
}
