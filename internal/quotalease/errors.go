package quotalease

import (
	"fmt"
	"time"
)

// NotFounded is returned by everything before an operator has founded the fleet.
type NotFounded struct{}

func (NotFounded) Error() string { return "the fleet is not founded" }

// Code is the name of this error in messages.
func (NotFounded) Code() string { return "grant.NotFounded" }

// Advice is what an operator can do.
func (NotFounded) Advice() string {
	return "Found the fleet once, at one steward, and set its budgets; if it was founded before, find out where that " +
		"store went first."
}

// NotEnoughStewards is returned when nothing can be committed: too few stewards are in touch or past their silence.
type NotEnoughStewards struct{ InTouch, Needed int }

func (e NotEnoughStewards) Error() string {
	return fmt.Sprintf("%d stewards are in touch, %d are needed", e.InTouch, e.Needed)
}

// Code is the name of this error in messages.
func (NotEnoughStewards) Code() string { return "grant.NotEnoughStewards" }

// Advice is what an operator can do.
func (NotEnoughStewards) Advice() string {
	return "Bring stewards back, with the stores that they had; proxies go on with their leases and floors until then."
}

// GrantEnded is returned for a budget whose grant has ended, or that came after its end.
type GrantEnded struct {
	Budget string
	Ago    time.Duration // since its end, by the holder's clock; 0 is not told
}

func (e GrantEnded) Error() string {
	if e.Ago == 0 {
		return fmt.Sprintf("the grant of budget %s has ended", e.Budget)
	}
	return fmt.Sprintf("the grant of budget %s ended %v ago", e.Budget, e.Ago)
}

// Code is the name of this error in messages.
func (GrantEnded) Code() string { return "grant.GrantEnded" }

// Advice is what an operator can do.
func (GrantEnded) Advice() string {
	return "Look at the way from this proxy to the stewards: replies are lost or take longer than a lease."
}

// NoGrant is returned for a budget that a holder has nothing of.
type NoGrant struct{ Budget string }

func (e NoGrant) Error() string { return fmt.Sprintf("nothing is granted of budget %s", e.Budget) }

// Code is the name of this error in messages.
func (NoGrant) Code() string { return "grant.NoGrant" }

// Advice is what an operator can do.
func (NoGrant) Advice() string {
	return "If it lasts longer than a lease, see that the budget exists, that stewards are reached, and that its burst is " +
		"at least the number of proxies."
}

// Spent is returned when a grant has nothing left at the moment. It is no fault.
type Spent struct{ Budget string }

func (e Spent) Error() string { return fmt.Sprintf("what is granted of budget %s is spent", e.Budget) }

// Code is the name of this error in messages.
func (Spent) Code() string { return "grant.Spent" }

// Advice is what an operator can do.
func (Spent) Advice() string {
	return "Nothing, if the whole is meant to be the limit; else raise the budget."
}

// OverWhole is returned for what would let the fleet spend more than a budget's whole, or its burst.
type OverWhole struct {
	Budget                string
	What                  string // "whole" or "burst"
	Whole, Counted, Asked Amount
}

func (e OverWhole) Error() string {
	return fmt.Sprintf("budget %s: %v units are asked for where %v of the %s of %v are counted", e.Budget, e.Asked.Units(),
		e.Counted.Units(), e.What, e.Whole.Units())
}

// Code is the name of this error in messages.
func (OverWhole) Code() string { return "grant.OverWhole" }

// Advice is what an operator can do.
func (OverWhole) Advice() string {
	return "Wait one lease until what is out has ended. To raise a floor first lower the whole by as much, wait a lease, then set both."
}

// OtherFleet is returned for a message of another fleet.
type OtherFleet struct{ Ours, Theirs string }

func (e OtherFleet) Error() string {
	return fmt.Sprintf("a message of fleet %q at one of %q", e.Theirs, e.Ours)
}

// Code is the name of this error in messages.
func (OtherFleet) Code() string { return "grant.OtherFleet" }

// Advice is what an operator can do.
func (OtherFleet) Advice() string {
	return "Correct the addresses of the stewards in the fleet's file."
}

// OtherHolder is returned for a reply to another process.
type OtherHolder struct{ Ours, Theirs Key }

func (e OtherHolder) Error() string {
	return fmt.Sprintf("a reply for %s (incarnation %d) at %s (incarnation %d)", e.Theirs.Holder, e.Theirs.Incarnation,
		e.Ours.Holder, e.Ours.Incarnation)
}

// Code is the name of this error in messages.
func (OtherHolder) Code() string { return "grant.OtherHolder" }

// Advice is what an operator can do.
func (OtherHolder) Advice() string {
	return "Once after a restart it is no fault; else see that no two proxies have one name."
}

// OldToken is returned for a token that a newer one has replaced.
type OldToken struct {
	Holder, Budget string
	Got, Have      Token
}

func (e OldToken) Error() string {
	return fmt.Sprintf("token %v of %s for budget %s is older than %v", e.Got, e.Holder, e.Budget, e.Have)
}

// Code is the name of this error in messages.
func (OldToken) Code() string { return "grant.OldToken" }

// Advice is what an operator can do.
func (OldToken) Advice() string {
	return "A few after a stop or a restart are no fault; if they go on, look for a second process of that name or a " +
		"steward with an older store."
}

// OldEpoch is returned for a message of an earlier founding.
type OldEpoch struct{ Got, Have uint64 }

func (e OldEpoch) Error() string {
	return fmt.Sprintf("epoch %d, where %d is known", e.Got, e.Have)
}

// Code is the name of this error in messages.
func (OldEpoch) Code() string { return "grant.OldEpoch" }

// Advice is what an operator can do.
func (OldEpoch) Advice() string {
	return "A steward of an earlier founding still runs or came back: stop it for good."
}

// OldBudgets is returned by a book that has heard of newer budgets than its own: its store is an older copy.
type OldBudgets struct{ Have, Seen uint64 }

func (e OldBudgets) Error() string {
	return fmt.Sprintf("budgets are at version %d, a proxy knows version %d", e.Have, e.Seen)
}

// Code is the name of this error in messages.
func (OldBudgets) Code() string { return "grant.OldBudgets" }

// Advice is what an operator can do.
func (OldBudgets) Advice() string {
	return "A store was put back from an older copy: set the budgets anew, under a version above all that were ever used."
}

// StillSilent is returned while grants of the time before the founding may be alive.
type StillSilent struct{ Longest time.Duration }

func (e StillSilent) Error() string {
	return fmt.Sprintf("nothing is granted until %v after the founding", e.Longest)
}

// Code is the name of this error in messages.
func (StillSilent) Code() string { return "grant.StillSilent" }

// Advice is what an operator can do.
func (StillSilent) Advice() string {
	return "Wait; nothing can shorten it, for grants of the time before may still be spent."
}

// NoBudget is returned for a budget that the fleet doesn't have.
type NoBudget struct{ Budget string }

func (e NoBudget) Error() string { return fmt.Sprintf("the fleet has no budget %q", e.Budget) }

// Code is the name of this error in messages.
func (NoBudget) Code() string { return "grant.NoBudget" }

// Advice is what an operator can do.
func (NoBudget) Advice() string { return "Name one of the budgets in the fleet's file, or add it." }

// FloorTaken is returned when a floor's name is held by another process of the machine.
type FloorTaken struct{ Holder string }

func (e FloorTaken) Error() string {
	return fmt.Sprintf("another process holds the floors of %s", e.Holder)
}

// Code is the name of this error in messages.
func (FloorTaken) Code() string { return "grant.FloorTaken" }

// Advice is what an operator can do.
func (FloorTaken) Advice() string {
	return "During an upgrade it passes; else stop the second process of that name or give it a name of its own."
}

// BadCommand is returned for a command that makes no sense.
type BadCommand struct{ Why string }

func (e BadCommand) Error() string { return "bad command: " + e.Why }

// Code is the name of this error in messages.
func (BadCommand) Code() string { return "grant.BadCommand" }

// Advice is what an operator can do.
func (BadCommand) Advice() string {
	return "If a file of budgets was set, correct what is named; else a steward of another release runs beside these: make " +
		"them one release."
}
