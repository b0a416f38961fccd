package namespace

import (
	"fmt"
	"strings"
)

// FileError is a mistake in a file: where it stands, and what it is.
type FileError struct {
	Path string
	Line int    // 0 if no one line is to blame
	Key  string // as route[2].to; empty if the text is no TOML
	Err  error
}

func (e FileError) Error() string {
	at := e.Path
	if e.Line > 0 {
		at += fmt.Sprintf(":%d", e.Line)
	}
	if e.Key != "" {
		at += ": " + e.Key
	}
	return at + ": " + e.Err.Error()
}

// Unwrap gives what is wrong.
func (e FileError) Unwrap() error { return e.Err }

// Advice is what the file's team can do.
func (e FileError) Advice() string {
	return "Mend the file at the line named and offer it again; until then its last good version holds."
}

// WithheldError says that an offered file of a namespace was not taken up, and why.
type WithheldError struct {
	Namespace    string
	Submitted    uint64   // the number of the file that was held back; 0 if it could not be read
	Active       uint64   // the number that goes on; 0 is none
	RemovedRules []string // rules of what goes on that had to be left out too
	Cause        error
}

func (e WithheldError) Error() string {
	s := fmt.Sprintf("namespace %s: version %d is held back", e.Namespace, e.Submitted)
	switch {
	case e.Active == 0:
		s += ", nothing of it holds"
	default:
		s += fmt.Sprintf(", version %d holds", e.Active)
	}
	if len(e.RemovedRules) > 0 {
		s += " without " + strings.Join(e.RemovedRules, ", ")
	}
	return s + ": " + e.Cause.Error()
}

// Unwrap gives the cause.
func (e WithheldError) Unwrap() error { return e.Cause }

// Advice is what the namespace's team can do.
func (e WithheldError) Advice() string {
	return "Nobody else waits for this. The team of the namespace mends its file, or agrees with the other team that is named, " +
		"and offers a higher version."
}

// ConflictError is a conflict as an error.
type ConflictError struct{ Conflict Conflict }

func (e ConflictError) Error() string { return e.Conflict.String() }

// Advice is what the teams can do.
func (e ConflictError) Advice() string {
	switch e.Conflict.Kind {
	case Contradiction:
		return "Explain the request that is written out to see both rules. Narrow one of them, or have the charter delegate that " +
			"part to the team whose rule shall go first."
	case ContradictoryOverrides:
		return "The two teams agree on the server; one takes its order out, or ends it before the other begins."
	case CapBelowMinimum:
		return "The team that set the cap raises it, or the other lowers its minimum."
	case ServiceRemoved:
		return "Offer the service again until no route leads to it, or have the routes' teams lead them elsewhere first."
	case InconsistentDefinition:
		return "Only one team says this. The other takes it out of its file, or says the same."
	case TooManyCombinations:
		return "Write routes with fewer methods, classes and tenants in one list, or with any; the team that grew begins."
	case DomainOverlap:
		return "In the charter, narrow one of the two domains, or delegate the part from one to the other."
	case UnreachableRule:
		return "Nothing is held back. Take the rule out, or look whether the block or the route that takes its requests is meant."
	}
	return "Lower what the rules ask for together."
}

// OutsideDomainError is a rule about what its namespace has no say over.
type OutsideDomainError struct{ Namespace, Rule, Reason string }

func (e OutsideDomainError) Error() string {
	return fmt.Sprintf("%s of namespace %s is outside its domain: %s", e.Rule, e.Namespace, e.Reason)
}

// Advice is what the namespace's team can do.
func (e OutsideDomainError) Advice() string {
	return "Narrow the rule to the namespace's domain, or ask the domain's owner to delegate that part in the charter. " +
		"A rule must lie within one part of the domain; one that spans two is written twice."
}

// DelegationCycleError is delegations that lead back to where they began.
type DelegationCycleError struct{ Through []string }

func (e DelegationCycleError) Error() string {
	return "delegations run in a circle: " + strings.Join(e.Through, ", ")
}

// Advice is what the charter's keeper can do.
func (e DelegationCycleError) Advice() string {
	return "Take one of the delegations out of the charter; the charter before goes on."
}

// DelegationTooWideError is a delegation of more than its giver has.
type DelegationTooWideError struct{ From, To, Excess string }

func (e DelegationTooWideError) Error() string {
	return fmt.Sprintf("%s delegates to %s what it does not have: %s", e.From, e.To, e.Excess)
}

// Advice is what the charter's keeper can do.
func (e DelegationTooWideError) Advice() string {
	return "Narrow the delegation to one part of the giver's domain, or widen the giver's domain first."
}

// MinimumsExceedLimitError is minimums of a budget that come to more than there is.
type MinimumsExceedLimitError struct {
	Quota      string
	Sum, Limit int64
}

func (e MinimumsExceedLimitError) Error() string {
	return fmt.Sprintf("the minimums of budget %s come to %d, the whole is %d", e.Quota, e.Sum, e.Limit)
}

// Advice is what the teams can do.
func (e MinimumsExceedLimitError) Advice() string {
	return "Lower a minimum, or raise the whole in the charter if the servers can bear it."
}

// UnknownNamespaceError is a file of a namespace, or a mention of one, that the charter does not have.
type UnknownNamespaceError struct{ Namespace string }

func (e UnknownNamespaceError) Error() string {
	return fmt.Sprintf("the charter knows no namespace %q", e.Namespace)
}

// Advice is what the file's team can do.
func (e UnknownNamespaceError) Advice() string {
	return "Have the namespace entered in the charter, or mend its name."
}

// VersionTakenError is a file whose number is used already by other content, or is lower than the one that holds.
type VersionTakenError struct {
	Namespace         string
	Submitted, Active uint64
}

func (e VersionTakenError) Error() string {
	if e.Submitted < e.Active {
		return fmt.Sprintf("version %d of %s is older than version %d", e.Submitted, e.Namespace, e.Active)
	}
	return fmt.Sprintf("version %d of %s is there with other content", e.Submitted, e.Namespace)
}

// Advice is what the file's team can do.
func (e VersionTakenError) Advice() string {
	return "Give the file a number above all that were offered before. To go back, offer the old content under a new number."
}

// InvalidItemError says that one of a policy's items can't be read, or can't stand among the others.
type InvalidItemError struct {
	Key string // of the item, as "route team/name"
	Err error
}

func (e InvalidItemError) Error() string { return fmt.Sprintf("policy: item %.100q: %v", e.Key, e.Err) }

// Unwrap gives what is wrong.
func (e InvalidItemError) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (InvalidItemError) Advice() string {
	return "Whoever made this policy made it wrong, or it was made by a newer program. The one before goes on. See that stewards and " +
		"proxies run programs that know each other, and offer the policy again."
}
