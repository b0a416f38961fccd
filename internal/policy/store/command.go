package store

// Bounds on what the state machine holds.
const (
	MaxFileBytes        = 256 << 10 // bytes of a declaration or of a namespace's file
	MaxTotalFileBytes   = 16 << 20  // bytes of all accepted and pending files
	MaxPolicyBytes      = 16 << 20  // bytes of all chunks of a policy
	MaxUnchunkedBytes   = 512 << 10 // bytes of a policy that is sent unchunked, to proxies that take no chunks
	MaxRetainedPolicies = 16        // policies that the fleet can be rolled back to
	maxAuthorBytes      = 128       // bytes of the author of a command
	maxConflicts        = 64        // conflicts that are reported
	maxFailedChanges    = 256       // failed changes that are reported, the newest
	maxReasonBytes      = 2 << 10   // bytes of one reason or advice
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

// RolloutResult says how the rollout of the candidate ended. The leader proposes it.
type RolloutResult struct {
	Generation uint64 `json:"order"`
	Epoch      uint64 `json:"epoch"`
	Completed  bool   `json:"done"`           // false: the rollout was stopped
	Reason     string `json:"why,omitempty"`  // why it was stopped
	Advice     string `json:"help,omitempty"` // the operator's next step, if it was stopped

	ProxyCount int `json:"proxies,omitempty"` // proxies that the leader knows; 0 is unknown
}

// fields returns how many fields of the command are set.
func (c *Command) fields() int {
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

// checkSizes returns a TooLargeError if a text or the name of its author is over its bound.
func checkSizes(what, text, author string) error {
	if len(text) > MaxFileBytes {
		return TooLargeError{what, len(text), MaxFileBytes}
	}
	return checkAuthor(author)
}

func checkAuthor(author string) error {
	if len(author) > maxAuthorBytes {
		return TooLargeError{"the name of who gave it", len(author), maxAuthorBytes}
	}
	return nil
}
