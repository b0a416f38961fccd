package quotalease

import (
	"fmt"
	"time"
)

// Each error of this package has its own type, for errors.As. The texts and codes are read by operators and by other
// releases, and use the terms of the operators' documentation: budget for quota, grant for lease, whole for limit,
// steward for control-plane server, work in hand for units in flight, founding for bootstrap, longest for
// FleetConfig.MaxLifetime, lease for Quota.LeaseDuration, life for Quota.MaxHoldTime, others for Quota.DefaultShare.

// NotBootstrappedError is returned for every command and request until an operator has bootstrapped the fleet.
type NotBootstrappedError struct{}

// Error implements error.
func (NotBootstrappedError) Error() string { return "the fleet is not founded" }

// Code returns the name of this error in messages between processes.
func (NotBootstrappedError) Code() string { return "grant.NotFounded" }

// Advice returns the operator's next step.
func (NotBootstrappedError) Advice() string {
	return "Found the fleet once, at one steward, and set its budgets; if it was founded before, find out where that " +
		"store went first."
}

// LeaseExpiredError is returned for a quota whose lease has expired, and for a lease that arrives after it expired.
type LeaseExpiredError struct {
	Quota string
	Ago   time.Duration // time since the lease expired, by the holder's clock; 0 if it is not known
}

// Error implements error.
func (e LeaseExpiredError) Error() string {
	if e.Ago == 0 {
		return fmt.Sprintf("the grant of budget %s has ended", e.Quota)
	}
	return fmt.Sprintf("the grant of budget %s ended %v ago", e.Quota, e.Ago)
}

// Code returns the name of this error in messages between processes.
func (LeaseExpiredError) Code() string { return "grant.GrantEnded" }

// Advice returns the operator's next step.
func (LeaseExpiredError) Advice() string {
	return "Look at the way from this proxy to the stewards: replies are lost or take longer than a lease."
}

// NoLeaseError is returned for a quota for which the holder has never had a lease.
type NoLeaseError struct{ Quota string }

// Error implements error.
func (e NoLeaseError) Error() string { return fmt.Sprintf("nothing is granted of budget %s", e.Quota) }

// Code returns the name of this error in messages between processes.
func (NoLeaseError) Code() string { return "grant.NoGrant" }

// Advice returns the operator's next step.
func (NoLeaseError) Advice() string {
	return "If it lasts longer than a lease, see that the budget exists, that stewards are reached, and that its " +
		"burst is at least the number of proxies."
}

// ExhaustedError is returned when all units of a lease or floor are in use or spent at the moment. It is expected under
// load and does not indicate a fault.
type ExhaustedError struct{ Quota string }

// Error implements error.
func (e ExhaustedError) Error() string {
	return fmt.Sprintf("what is granted of budget %s is spent", e.Quota)
}

// Code returns the name of this error in messages between processes.
func (ExhaustedError) Code() string { return "grant.Spent" }

// Advice returns the operator's next step.
func (ExhaustedError) Advice() string {
	return "Nothing, if the whole is meant to be the limit; else raise the budget."
}

// LimitExceededError is returned for a command that would let the fleet spend more than a quota's limit or burst.
type LimitExceededError struct {
	Quota string
	// Dimension is "whole" for the limit, or "burst".
	Dimension   string
	Limit       Amount // the quota's limit or burst
	Outstanding Amount // leases and floors that are counted; only leases if the command sets floors
	Requested   Amount // the rejected lease, or the sum of the floors that the command sets
}

// Error implements error.
func (e LimitExceededError) Error() string {
	return fmt.Sprintf("budget %s: %v units are asked for where %v of the %s of %v are counted",
		e.Quota, e.Requested.Units(), e.Outstanding.Units(), e.Dimension, e.Limit.Units())
}

// Code returns the name of this error in messages between processes.
func (LimitExceededError) Code() string { return "grant.OverWhole" }

// Advice returns the operator's next step.
func (LimitExceededError) Advice() string {
	return "Wait one lease until what is out has ended. To raise a floor first lower the whole by as much, wait a " +
		"lease, then set both."
}

// FleetMismatchError is returned for a command or message of a different fleet.
type FleetMismatchError struct{ Ours, Theirs string }

// Error implements error.
func (e FleetMismatchError) Error() string {
	return fmt.Sprintf("a message of fleet %q at one of %q", e.Theirs, e.Ours)
}

// Code returns the name of this error in messages between processes.
func (FleetMismatchError) Code() string { return "grant.OtherFleet" }

// Advice returns the operator's next step.
func (FleetMismatchError) Advice() string {
	return "Correct the addresses of the stewards in the fleet's file."
}

// HolderMismatchError is returned for a reply or lease that is addressed to a different process.
type HolderMismatchError struct {
	Ours   HolderID // of this process
	Theirs HolderID // to which the reply or lease is addressed
}

// Error implements error.
func (e HolderMismatchError) Error() string {
	return fmt.Sprintf("a reply for %s (incarnation %d) at %s (incarnation %d)", e.Theirs.Holder, e.Theirs.Incarnation,
		e.Ours.Holder, e.Ours.Incarnation)
}

// Code returns the name of this error in messages between processes.
func (HolderMismatchError) Code() string { return "grant.OtherHolder" }

// Advice returns the operator's next step.
func (HolderMismatchError) Advice() string {
	return "Once after a restart it is no fault; else see that no two proxies have one name."
}

// StaleTokenError is returned for a fencing token or a request that is older than the last one.
type StaleTokenError struct {
	Holder, Quota string
	// Got is the refused token. Have is the newest token of this holder and quota, or the highest token that a Fence
	// has evicted. If an acknowledgement is refused because its request is not newer than the last one, Have.Index is
	// the number of that last request.
	Got, Have Token
}

// Error implements error.
func (e StaleTokenError) Error() string {
	return fmt.Sprintf("token %v of %s for budget %s is older than %v", e.Got, e.Holder, e.Quota, e.Have)
}

// Code returns the name of this error in messages between processes.
func (StaleTokenError) Code() string { return "grant.OldToken" }

// Advice returns the operator's next step.
func (StaleTokenError) Advice() string {
	return "A few after a stop or a restart are no fault; if they go on, look for a second process of that name or a " +
		"steward with an older store."
}

// StaleEpochError is returned for a command or message of an earlier epoch, and for a request or
// acknowledgement whose epoch is newer than the server's own.
type StaleEpochError struct {
	// Got is the epoch of the refused command or message, and Have the epoch of the receiver. They are swapped for a
	// request or acknowledgement whose epoch is newer than the server's, because then the server is out of date.
	Got, Have uint64
}

// Error implements error.
func (e StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d, where %d is known", e.Got, e.Have)
}

// Code returns the name of this error in messages between processes.
func (StaleEpochError) Code() string { return "grant.OldEpoch" }

// Advice returns the operator's next step.
func (StaleEpochError) Advice() string {
	return "A steward of an earlier founding still runs or came back: stop it for good."
}

// StaleConfigError is returned for a configuration that is not newer than the last one. It is also returned while a
// holder has reported a newer configuration than the state machine has, because then the store is an older copy.
type StaleConfigError struct {
	// Have is the version of the refused configuration, or the state machine's version if a lease is refused. Seen is
	// the newest version that was applied or that a holder has reported.
	Have, Seen uint64
}

// Error implements error.
func (e StaleConfigError) Error() string {
	return fmt.Sprintf("budgets are at version %d, a proxy knows version %d", e.Have, e.Seen)
}

// Code returns the name of this error in messages between processes.
func (StaleConfigError) Code() string { return "grant.OldBudgets" }

// Advice returns the operator's next step.
func (StaleConfigError) Advice() string {
	return "A store was put back from an older copy: set the budgets anew, under a version above all that were ever " +
		"used."
}

// BootstrapPendingError is returned after a bootstrap while leases of an earlier epoch may not have expired.
type BootstrapPendingError struct{ MaxLifetime time.Duration }

// Error implements error.
func (e BootstrapPendingError) Error() string {
	return fmt.Sprintf("nothing is granted until %v after the founding", e.MaxLifetime)
}

// Code returns the name of this error in messages between processes.
func (BootstrapPendingError) Code() string { return "grant.StillSilent" }

// Advice returns the operator's next step.
func (BootstrapPendingError) Advice() string {
	return "Wait; nothing can shorten it, for grants of the time before may still be spent."
}

// UnknownQuotaError is returned for a quota that is not configured.
type UnknownQuotaError struct{ Quota string }

// Error implements error.
func (e UnknownQuotaError) Error() string { return fmt.Sprintf("the fleet has no budget %q", e.Quota) }

// Code returns the name of this error in messages between processes.
func (UnknownQuotaError) Code() string { return "grant.NoBudget" }

// Advice returns the operator's next step.
func (UnknownQuotaError) Advice() string {
	return "Name one of the budgets in the fleet's file, or add it."
}

// FloorClaimedError is returned when another process on the machine has the exclusive right to use the floors that
// belong to a holder's name (see Holder.SetFloorClaim).
type FloorClaimedError struct{ Holder string }

// Error implements error.
func (e FloorClaimedError) Error() string {
	return fmt.Sprintf("another process holds the floors of %s", e.Holder)
}

// Code returns the name of this error in messages between processes.
func (FloorClaimedError) Code() string { return "grant.FloorTaken" }

// Advice returns the operator's next step.
func (FloorClaimedError) Advice() string {
	return "During an upgrade it passes; else stop the second process of that name or give it a name of its own."
}

// InvalidCommandError is returned for a command or call with invalid arguments.
type InvalidCommandError struct{ Reason string }

// Error implements error.
func (e InvalidCommandError) Error() string { return "bad command: " + e.Reason }

// Code returns the name of this error in messages between processes.
func (InvalidCommandError) Code() string { return "grant.BadCommand" }

// Advice returns the operator's next step.
func (InvalidCommandError) Advice() string {
	return "If a file of budgets was set, correct what is named; else a steward of another release runs beside " +
		"these: make them one release."
}

// invalidCommand returns an InvalidCommandError with a formatted reason.
func invalidCommand(format string, args ...any) InvalidCommandError {
	return InvalidCommandError{Reason: fmt.Sprintf(format, args...)}
}
