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

// NamespaceHeld says that an offered file of a namespace was not taken up, and why.
type NamespaceHeld struct {
	Namespace string
	Offered   uint64   // the number of the file that was held back; 0 if it could not be read
	Holds     uint64   // the number that goes on; 0 is none
	Cut       []string // rules of what goes on that had to be left out too
	Why       error
}

func (e NamespaceHeld) Error() string {
	s := fmt.Sprintf("namespace %s: version %d is held back", e.Namespace, e.Offered)
	switch {
	case e.Holds == 0:
		s += ", nothing of it holds"
	default:
		s += fmt.Sprintf(", version %d holds", e.Holds)
	}
	if len(e.Cut) > 0 {
		s += " without " + strings.Join(e.Cut, ", ")
	}
	return s + ": " + e.Why.Error()
}

// Unwrap gives the cause.
func (e NamespaceHeld) Unwrap() error { return e.Why }

// Advice is what the namespace's team can do.
func (e NamespaceHeld) Advice() string {
	return "Nobody else waits for this. The team of the namespace mends its file, or agrees with the other team that is named, " +
		"and offers a higher version."
}

// Clash is a conflict as an error.
type Clash struct{ Conflict Conflict }

func (e Clash) Error() string { return e.Conflict.String() }

// Advice is what the teams can do.
func (e Clash) Advice() string {
	switch e.Conflict.Kind {
	case Contradiction:
		return "Explain the request that is written out to see both rules. Narrow one of them, or have the charter delegate that " +
			"part to the team whose rule shall go first."
	case Orders:
		return "The two teams agree on the server; one takes its order out, or ends it before the other begins."
	case CapUnderMin:
		return "The team that set the cap raises it, or the other lowers its minimum."
	case Removed:
		return "Offer the service again until no route leads to it, or have the routes' teams lead them elsewhere first."
	case Said:
		return "Only one team says this. The other takes it out of its file, or says the same."
	case Crowded:
		return "Write routes with fewer methods, classes and tenants in one list, or with any; the team that grew begins."
	case Overlap:
		return "In the charter, narrow one of the two domains, or delegate the part from one to the other."
	case Unmatched:
		return "Nothing is held back. Take the rule out, or look whether the block or the route that takes its requests is meant."
	}
	return "Lower what the rules ask for together."
}

// OutsideDomain is a rule about what its namespace has no say over.
type OutsideDomain struct{ Namespace, Rule, What string }

func (e OutsideDomain) Error() string {
	return fmt.Sprintf("%s of namespace %s is outside its domain: %s", e.Rule, e.Namespace, e.What)
}

// Advice is what the namespace's team can do.
func (e OutsideDomain) Advice() string {
	return "Narrow the rule to the namespace's domain, or ask the domain's owner to delegate that part in the charter. " +
		"A rule must lie within one part of the domain; one that spans two is written twice."
}

// DelegationCircle is delegations that lead back to where they began.
type DelegationCircle struct{ Through []string }

func (e DelegationCircle) Error() string {
	return "delegations run in a circle: " + strings.Join(e.Through, ", ")
}

// Advice is what the charter's keeper can do.
func (e DelegationCircle) Advice() string {
	return "Take one of the delegations out of the charter; the charter before goes on."
}

// DelegationTooWide is a delegation of more than its giver has.
type DelegationTooWide struct{ From, To, What string }

func (e DelegationTooWide) Error() string {
	return fmt.Sprintf("%s delegates to %s what it does not have: %s", e.From, e.To, e.What)
}

// Advice is what the charter's keeper can do.
func (e DelegationTooWide) Advice() string {
	return "Narrow the delegation to one part of the giver's domain, or widen the giver's domain first."
}

// MinimumsExceedWhole is minimums of a budget that come to more than there is.
type MinimumsExceedWhole struct {
	Budget     string
	Sum, Whole int64
}

func (e MinimumsExceedWhole) Error() string {
	return fmt.Sprintf("the minimums of budget %s come to %d, the whole is %d", e.Budget, e.Sum, e.Whole)
}

// Advice is what the teams can do.
func (e MinimumsExceedWhole) Advice() string {
	return "Lower a minimum, or raise the whole in the charter if the servers can bear it."
}

// UnknownNamespace is a file of a namespace, or a mention of one, that the charter does not have.
type UnknownNamespace struct{ Namespace string }

func (e UnknownNamespace) Error() string {
	return fmt.Sprintf("the charter knows no namespace %q", e.Namespace)
}

// Advice is what the file's team can do.
func (e UnknownNamespace) Advice() string {
	return "Have the namespace entered in the charter, or mend its name."
}

// VersionTaken is a file whose number is used already by other content, or is lower than the one that holds.
type VersionTaken struct {
	Namespace      string
	Offered, Holds uint64
}

func (e VersionTaken) Error() string {
	if e.Offered < e.Holds {
		return fmt.Sprintf("version %d of %s is older than version %d", e.Offered, e.Namespace, e.Holds)
	}
	return fmt.Sprintf("version %d of %s is there with other content", e.Offered, e.Namespace)
}

// Advice is what the file's team can do.
func (e VersionTaken) Advice() string {
	return "Give the file a number above all that were offered before. To go back, offer the old content under a new number."
}

// WrongItem says that one of a policy's items can't be read, or can't stand among the others.
type WrongItem struct {
	Key string // of the item, as "route team/name"
	Err error
}

func (e WrongItem) Error() string { return fmt.Sprintf("policy: item %.100q: %v", e.Key, e.Err) }

// Unwrap gives what is wrong.
func (e WrongItem) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (WrongItem) Advice() string {
	return "Whoever made this policy made it wrong, or it was made by a newer program. The one before goes on. See that stewards and " +
		"proxies run programs that know each other, and offer the policy again."
}
