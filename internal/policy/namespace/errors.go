package namespace

import (
	"fmt"
	"strings"
)

// The texts, codes and advice of this package's errors are read by operators, stored, and exchanged with other
// releases, so they do not change. They use the terms of the operators' pages instead of those of the code: "charter"
// for ownership declaration, "held back" for withheld, "budget" for quota, "whole" for limit, "order" for override,
// "version" for the number of a file.

// FileError is an error in a policy file or declaration, with its position.
type FileError struct {
	Path string
	Line int    // line number, starting at 1; 0 if the error is not about a single line
	Key  string // TOML key, such as route[2].to; empty if the text is not valid TOML
	Err  error
}

// Error implements error.
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

// Unwrap returns the error without its position.
func (e FileError) Unwrap() error { return e.Err }

// Code returns the name of this error in messages between processes.
func (FileError) Code() string { return "namespace.FileError" }

// Advice returns the team's next step.
func (FileError) Advice() string {
	return "Mend the file at the line named and offer it again; until then its last good version holds."
}

// WithheldError reports that a submitted file was not accepted, or that rules of an accepted file were removed from the
// policy.
type WithheldError struct {
	Namespace    string
	Submitted    uint64   // number of the withheld file; 0 if the file could not be read
	Active       uint64   // number of the file that stays in force; 0 if there is none
	RemovedRules []string // IDs of rules that are in the file in force, but not in the policy
	Cause        error
}

// Error implements error.
func (e WithheldError) Error() string {
	text := fmt.Sprintf("namespace %s: version %d is held back", e.Namespace, e.Submitted)
	if e.Active == 0 {
		text += ", nothing of it holds"
	} else {
		text += fmt.Sprintf(", version %d holds", e.Active)
	}
	if len(e.RemovedRules) > 0 {
		text += " without " + strings.Join(e.RemovedRules, ", ")
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e WithheldError) Unwrap() error { return e.Cause }

// Code returns the name of this error in messages between processes.
func (WithheldError) Code() string { return "namespace.NamespaceHeld" }

// Advice returns the team's next step.
func (WithheldError) Advice() string {
	return "Nobody else waits for this. The team of the namespace mends its file, or agrees with the other team that " +
		"is named, and offers a higher version."
}

// ConflictError is the error for a conflict.
type ConflictError struct{ Conflict Conflict }

// Error implements error.
func (e ConflictError) Error() string { return e.Conflict.String() }

// Code returns the name of this error in messages between processes.
func (ConflictError) Code() string { return "namespace.Clash" }

// Advice returns the teams' next step.
func (e ConflictError) Advice() string {
	switch e.Conflict.Kind {
	case Contradiction:
		return "Explain the request that is written out to see both rules. Narrow one of them, or have the charter " +
			"delegate that part to the team whose rule shall go first."
	case ContradictoryOverrides:
		return "The two teams agree on the server; one takes its order out, or ends it before the other begins."
	case CapBelowMinimum:
		return "The team that set the cap raises it, or the other lowers its minimum."
	case ServiceRemoved:
		return "Offer the service again until no route leads to it, " +
			"or have the routes' teams lead them elsewhere first."
	case InconsistentDefinition:
		return "Only one team says this. The other takes it out of its file, or says the same."
	case TooManyCombinations:
		return "Write routes with fewer methods, classes and tenants in one list, or with any; " +
			"the team that grew begins."
	case DomainOverlap:
		return "In the charter, narrow one of the two domains, or delegate the part from one to the other."
	case UnreachableRule:
		return "Nothing is held back. Take the rule out, or look whether the block or the route that takes its " +
			"requests is meant."
	}
	return "Lower what the rules ask for together."
}

// OutsideDomainError is returned for a rule that its namespace may not set.
type OutsideDomainError struct {
	Namespace string
	Rule      string
	Reason    string
}

// Error implements error.
func (e OutsideDomainError) Error() string {
	return fmt.Sprintf("%s of namespace %s is outside its domain: %s", e.Rule, e.Namespace, e.Reason)
}

// Code returns the name of this error in messages between processes.
func (OutsideDomainError) Code() string { return "namespace.OutsideDomain" }

// Advice returns the team's next step.
func (OutsideDomainError) Advice() string {
	return "Narrow the rule to the namespace's domain, " +
		"or ask the domain's owner to delegate that part in the charter. " +
		"A rule must lie within one part of the domain; one that spans two is written twice."
}

// DelegationCycleError is returned for delegations that form a cycle. Through lists the delegators of the delegations
// that cannot be resolved because of it, sorted.
type DelegationCycleError struct{ Through []string }

// Error implements error.
func (e DelegationCycleError) Error() string {
	return "delegations run in a circle: " + strings.Join(e.Through, ", ")
}

// Code returns the name of this error in messages between processes.
func (DelegationCycleError) Code() string { return "namespace.DelegationCircle" }

// Advice returns the operator's next step.
func (DelegationCycleError) Advice() string {
	return "Take one of the delegations out of the charter; the charter before goes on."
}

// DelegationTooWideError is returned for a delegation that no single part of the delegator's domain contains.
type DelegationTooWideError struct {
	From   string
	To     string
	Excess string // describes what is outside the delegator's domain
}

// Error implements error.
func (e DelegationTooWideError) Error() string {
	return fmt.Sprintf("%s delegates to %s what it does not have: %s", e.From, e.To, e.Excess)
}

// Code returns the name of this error in messages between processes.
func (DelegationTooWideError) Code() string { return "namespace.DelegationTooWide" }

// Advice returns the operator's next step.
func (DelegationTooWideError) Advice() string {
	return "Narrow the delegation to one part of the giver's domain, or widen the giver's domain first."
}

// MinimumsExceedLimitError is returned for minimums of a quota that sum to more than its limit.
type MinimumsExceedLimitError struct {
	Quota string
	Sum   int64
	Limit int64
}

// Error implements error.
func (e MinimumsExceedLimitError) Error() string {
	return fmt.Sprintf("the minimums of budget %s come to %d, the whole is %d", e.Quota, e.Sum, e.Limit)
}

// Code returns the name of this error in messages between processes.
func (MinimumsExceedLimitError) Code() string { return "namespace.MinimumsExceedWhole" }

// Advice returns the teams' next step.
func (MinimumsExceedLimitError) Advice() string {
	return "Lower a minimum, or raise the whole in the charter if the servers can bear it."
}

// UnknownNamespaceError is returned for a namespace that the declaration does not have.
type UnknownNamespaceError struct{ Namespace string }

// Error implements error.
func (e UnknownNamespaceError) Error() string {
	return fmt.Sprintf("the charter knows no namespace %q", e.Namespace)
}

// Code returns the name of this error in messages between processes.
func (UnknownNamespaceError) Code() string { return "namespace.UnknownNamespace" }

// Advice returns the team's next step.
func (UnknownNamespaceError) Advice() string {
	return "Have the namespace entered in the charter, or mend its name."
}

// VersionTakenError is returned for a file whose number is already used for other content, or is below the number of
// the accepted file.
type VersionTakenError struct {
	Namespace string
	Submitted uint64
	Active    uint64
}

// Error implements error.
func (e VersionTakenError) Error() string {
	if e.Submitted < e.Active {
		return fmt.Sprintf("version %d of %s is older than version %d", e.Submitted, e.Namespace, e.Active)
	}
	return fmt.Sprintf("version %d of %s is there with other content", e.Submitted, e.Namespace)
}

// Code returns the name of this error in messages between processes.
func (VersionTakenError) Code() string { return "namespace.VersionTaken" }

// Advice returns the team's next step.
func (VersionTakenError) Advice() string {
	return "Give the file a number above all that were offered before. To go back, offer the old content under a new " +
		"number."
}

// InvalidItemError is returned for an item of a policy that cannot be decoded or that contradicts other items.
type InvalidItemError struct {
	Key string // key of the item, such as "team/route name"
	Err error
}

// Error implements error.
func (e InvalidItemError) Error() string { return fmt.Sprintf("policy: item %.100q: %v", e.Key, e.Err) }

// Unwrap returns the error without the key.
func (e InvalidItemError) Unwrap() error { return e.Err }

// Code returns the name of this error in messages between processes.
func (InvalidItemError) Code() string { return "namespace.WrongItem" }

// Advice returns the operator's next step.
func (InvalidItemError) Advice() string {
	return "Whoever made this policy made it wrong, or it was made by a newer program. The one before goes on. " +
		"See that stewards and proxies run programs that know each other, and offer the policy again."
}
