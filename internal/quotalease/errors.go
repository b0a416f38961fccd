package quotalease

import (
	"fmt"
	"time"
)

// NotBootstrappedError is returned by everything before an operator has founded the fleet.
type NotBootstrappedError struct{}

func (NotBootstrappedError) Error() string { return "the fleet is not founded" }

// Code is the name of this error in messages.
func (NotBootstrappedError) Code() string { return "grant.NotFounded" }

// Advice is what an operator can do.
func (NotBootstrappedError) Advice() string {
	return "Found the fleet once, at one steward, and set its budgets; if it was founded before, find out where that " +
		"store went first."
}

// NotEnoughServersError is returned when nothing can be committed: too few stewards are in touch or past their silence.
type NotEnoughServersError struct{ InTouch, Needed int }

func (e NotEnoughServersError) Error() string {
	return fmt.Sprintf("%d stewards are in touch, %d are needed", e.InTouch, e.Needed)
}

// Code is the name of this error in messages.
func (NotEnoughServersError) Code() string { return "grant.NotEnoughStewards" }

// Advice is what an operator can do.
func (NotEnoughServersError) Advice() string {
	return "Bring stewards back, with the stores that they had; proxies go on with their leases and floors until then."
}

// LeaseExpiredError is returned for a budget whose grant has ended, or that came after its end.
type LeaseExpiredError struct {
	Quota string
	Ago   time.Duration // since its end, by the holder's clock; 0 is not told
}

func (e LeaseExpiredError) Error() string {
	if e.Ago == 0 {
		return fmt.Sprintf("the grant of budget %s has ended", e.Quota)
	}
	return fmt.Sprintf("the grant of budget %s ended %v ago", e.Quota, e.Ago)
}

// Code is the name of this error in messages.
func (LeaseExpiredError) Code() string { return "grant.GrantEnded" }

// Advice is what an operator can do.
func (LeaseExpiredError) Advice() string {
	return "Look at the way from this proxy to the stewards: replies are lost or take longer than a lease."
}

// NoLeaseError is returned for a budget that a holder has nothing of.
type NoLeaseError struct{ Quota string }

func (e NoLeaseError) Error() string { return fmt.Sprintf("nothing is granted of budget %s", e.Quota) }

// Code is the name of this error in messages.
func (NoLeaseError) Code() string { return "grant.NoGrant" }

// Advice is what an operator can do.
func (NoLeaseError) Advice() string {
	return "If it lasts longer than a lease, see that the budget exists, that stewards are reached, and that its burst is " +
		"at least the number of proxies."
}

// ExhaustedError is returned when a grant has nothing left at the moment. It is no fault.
type ExhaustedError struct{ Quota string }

func (e ExhaustedError) Error() string {
	return fmt.Sprintf("what is granted of budget %s is spent", e.Quota)
}

// Code is the name of this error in messages.
func (ExhaustedError) Code() string { return "grant.Spent" }

// Advice is what an operator can do.
func (ExhaustedError) Advice() string {
	return "Nothing, if the whole is meant to be the limit; else raise the budget."
}

// LimitExceededError is returned for what would let the fleet spend more than a budget's whole, or its burst.
type LimitExceededError struct {
	Quota                         string
	Dimension                     string // "whole" or "burst"
	Limit, Outstanding, Requested Amount
}

func (e LimitExceededError) Error() string {
	return fmt.Sprintf("budget %s: %v units are asked for where %v of the %s of %v are counted", e.Quota, e.Requested.Units(),
		e.Outstanding.Units(), e.Dimension, e.Limit.Units())
}

// Code is the name of this error in messages.
func (LimitExceededError) Code() string { return "grant.OverWhole" }

// Advice is what an operator can do.
func (LimitExceededError) Advice() string {
	return "Wait one lease until what is out has ended. To raise a floor first lower the whole by as much, wait a lease, then set both."
}

// FleetMismatchError is returned for a message of another fleet.
type FleetMismatchError struct{ Ours, Theirs string }

func (e FleetMismatchError) Error() string {
	return fmt.Sprintf("a message of fleet %q at one of %q", e.Theirs, e.Ours)
}

// Code is the name of this error in messages.
func (FleetMismatchError) Code() string { return "grant.OtherFleet" }

// Advice is what an operator can do.
func (FleetMismatchError) Advice() string {
	return "Correct the addresses of the stewards in the fleet's file."
}

// HolderMismatchError is returned for a reply to another process.
type HolderMismatchError struct{ Ours, Theirs HolderID }

func (e HolderMismatchError) Error() string {
	return fmt.Sprintf("a reply for %s (incarnation %d) at %s (incarnation %d)", e.Theirs.Holder, e.Theirs.Incarnation,
		e.Ours.Holder, e.Ours.Incarnation)
}

// Code is the name of this error in messages.
func (HolderMismatchError) Code() string { return "grant.OtherHolder" }

// Advice is what an operator can do.
func (HolderMismatchError) Advice() string {
	return "Once after a restart it is no fault; else see that no two proxies have one name."
}

// StaleTokenError is returned for a token that a newer one has replaced.
type StaleTokenError struct {
	Holder, Quota string
	Got, Have     Token
}

func (e StaleTokenError) Error() string {
	return fmt.Sprintf("token %v of %s for budget %s is older than %v", e.Got, e.Holder, e.Quota, e.Have)
}

// Code is the name of this error in messages.
func (StaleTokenError) Code() string { return "grant.OldToken" }

// Advice is what an operator can do.
func (StaleTokenError) Advice() string {
	return "A few after a stop or a restart are no fault; if they go on, look for a second process of that name or a " +
		"steward with an older store."
}

// StaleEpochError is returned for a message of an earlier founding.
type StaleEpochError struct{ Got, Have uint64 }

func (e StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d, where %d is known", e.Got, e.Have)
}

// Code is the name of this error in messages.
func (StaleEpochError) Code() string { return "grant.OldEpoch" }

// Advice is what an operator can do.
func (StaleEpochError) Advice() string {
	return "A steward of an earlier founding still runs or came back: stop it for good."
}

// StaleConfigError is returned by a book that has heard of newer budgets than its own: its store is an older copy.
type StaleConfigError struct{ Have, Seen uint64 }

func (e StaleConfigError) Error() string {
	return fmt.Sprintf("budgets are at version %d, a proxy knows version %d", e.Have, e.Seen)
}

// Code is the name of this error in messages.
func (StaleConfigError) Code() string { return "grant.OldBudgets" }

// Advice is what an operator can do.
func (StaleConfigError) Advice() string {
	return "A store was put back from an older copy: set the budgets anew, under a version above all that were ever used."
}

// BootstrapPendingError is returned while grants of the time before the founding may be alive.
type BootstrapPendingError struct{ MaxLifetime time.Duration }

func (e BootstrapPendingError) Error() string {
	return fmt.Sprintf("nothing is granted until %v after the founding", e.MaxLifetime)
}

// Code is the name of this error in messages.
func (BootstrapPendingError) Code() string { return "grant.StillSilent" }

// Advice is what an operator can do.
func (BootstrapPendingError) Advice() string {
	return "Wait; nothing can shorten it, for grants of the time before may still be spent."
}

// UnknownQuotaError is returned for a budget that the fleet doesn't have.
type UnknownQuotaError struct{ Quota string }

func (e UnknownQuotaError) Error() string { return fmt.Sprintf("the fleet has no budget %q", e.Quota) }

// Code is the name of this error in messages.
func (UnknownQuotaError) Code() string { return "grant.NoBudget" }

// Advice is what an operator can do.
func (UnknownQuotaError) Advice() string {
	return "Name one of the budgets in the fleet's file, or add it."
}

// FloorClaimedError is returned when a floor's name is held by another process of the machine.
type FloorClaimedError struct{ Holder string }

func (e FloorClaimedError) Error() string {
	return fmt.Sprintf("another process holds the floors of %s", e.Holder)
}

// Code is the name of this error in messages.
func (FloorClaimedError) Code() string { return "grant.FloorTaken" }

// Advice is what an operator can do.
func (FloorClaimedError) Advice() string {
	return "During an upgrade it passes; else stop the second process of that name or give it a name of its own."
}

// InvalidCommandError is returned for a command that makes no sense.
type InvalidCommandError struct{ Reason string }

func (e InvalidCommandError) Error() string { return "bad command: " + e.Reason }

// Code is the name of this error in messages.
func (InvalidCommandError) Code() string { return "grant.BadCommand" }

// Advice is what an operator can do.
func (InvalidCommandError) Advice() string {
	return "If a file of budgets was set, correct what is named; else a steward of another release runs beside these: make " +
		"them one release."
}
