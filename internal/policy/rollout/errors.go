package rollout

import (
	"fmt"
	"time"
)

// StaleVersionError means that a proxy was offered an older version than it has, without a rollback by an operator.
type StaleVersionError struct{ Offered, Current Version }

// Error implements error.
func (e StaleVersionError) Error() string {
	return fmt.Sprintf("epoch %d (order %d) is offered, epoch %d (order %d) is held",
		e.Offered.Epoch, e.Offered.Generation, e.Current.Epoch, e.Current.Generation)
}

// Code returns the name of this error in messages between processes.
func (StaleVersionError) Code() string { return "rollout.OldEpoch" }

// Advice implements operatorerror.Error.
func (e StaleVersionError) Advice() string {
	return "A late word, or a steward that was cut off: nothing to do. To go back on purpose, tell the stewards to."
}

// EpochConflictError means that one epoch has two contents.
type EpochConflictError struct {
	Epoch          uint64
	Current, Other string // hashes
}

// Error implements error.
func (e EpochConflictError) Error() string {
	return fmt.Sprintf("epoch %d is held with hash %.12s, and offered with %.12s", e.Epoch, e.Current, e.Other)
}

// Code returns the name of this error in messages between processes.
func (EpochConflictError) Code() string { return "rollout.EpochTwice" }

// Advice implements operatorerror.Error.
func (e EpochConflictError) Advice() string {
	return "Two stewards number policies apart from each other, as after a founding anew. " +
		"Find which are the fleet's own, " +
		"and offer the right policy under a new epoch."
}

// HashMismatchError means that a policy's content is not what its version says.
type HashMismatchError struct{ Expected, Actual string }

// Error implements error.
func (e HashMismatchError) Error() string {
	return fmt.Sprintf("the policy's hash is %.12s, %.12s was offered", e.Actual, e.Expected)
}

// Code returns the name of this error in messages between processes.
func (HashMismatchError) Code() string { return "rollout.WrongContent" }

// Advice implements operatorerror.Error.
func (e HashMismatchError) Advice() string {
	return "The policy was damaged or cut on its way; it is fetched again. If it goes on, look at the steward " +
		"that sent it."
}

// HarmDetectedError is why a rollout stopped: proxies with the version do worse than the others.
type HarmDetectedError struct {
	Epoch uint64
	Step  int // from 0
	// WithPolicy and WithoutPolicy are mean shares of bad requests of proxies with and without the version, 0 to 1.
	WithPolicy, WithoutPolicy float64
	// PValue is how likely such a difference is if the version does no harm. 0 if more than half of the proxies with it
	// did grossly worse.
	PValue float64
}

// Error implements error.
func (e HarmDetectedError) Error() string {
	text := fmt.Sprintf("epoch %d was stopped in step %d: %.2f%% of requests go bad where it holds, %.2f%% elsewhere",
		e.Epoch, e.Step+1, 100*e.WithPolicy, 100*e.WithoutPolicy)
	if e.PValue > 0 {
		text += fmt.Sprintf(" (by chance: %.2g)", e.PValue)
	}
	return text
}

// Code returns the name of this error in messages between processes.
func (HarmDetectedError) Code() string { return "rollout.RolloutStopped" }

// Advice implements operatorerror.Error.
func (e HarmDetectedError) Advice() string {
	return "Proxies that have the new policy keep it and no more get it. Tell the fleet to go back, or offer a " +
		"mended policy, which they get first."
}

// NotAdoptedError is why a rollout stopped: most proxies that were to have the version first cannot adopt it.
type NotAdoptedError struct {
	Epoch    uint64
	Step     int // from 0
	Targeted int // proxies that were to have the version
	Pending  int // of them, those that report and have not adopted it
	Waited   time.Duration
}

// Error implements error.
func (e NotAdoptedError) Error() string {
	const format = "epoch %d was stopped in step %d: %d of %d proxies that were to have it did not take it up in %v"
	return fmt.Sprintf(format, e.Epoch, e.Step+1, e.Pending, e.Targeted, e.Waited.Round(time.Second))
}

// Code returns the name of this error in messages between processes.
func (NotAdoptedError) Code() string { return "rollout.RolloutNotTaken" }

// Advice implements operatorerror.Error.
func (e NotAdoptedError) Advice() string {
	return "FLEET on such a proxy's console says why. Mostly its file of services lacks a service that the policy " +
		"leads to: enter it there, and have the team offer the file again under a higher number."
}

// RegressionError means that the fleet does worse since a rollout than before it.
type RegressionError struct {
	Epoch         uint64 // of the rollout after which the difference is greatest
	Ago           time.Duration
	Before, After float64  // shares of bad requests, 0 to 1
	NearbyEpochs  []uint64 // other epochs whose rollouts ended at about that time
}

// Error implements error.
func (e RegressionError) Error() string {
	text := fmt.Sprintf("since epoch %d, %v ago, %.2f%% of all requests go bad, %.2f%% before",
		e.Epoch, e.Ago.Round(time.Second), 100*e.After, 100*e.Before)
	if len(e.NearbyEpochs) > 0 {
		text += fmt.Sprintf("; epochs %v came through at about that time", e.NearbyEpochs)
	}
	return text
}

// Code returns the name of this error in messages between processes.
func (RegressionError) Code() string { return "rollout.WorseAfter" }

// Advice implements operatorerror.Error.
func (e RegressionError) Advice() string {
	return "All proxies have it, so nothing goes back by itself. See what else began then. If it is the policy, tell " +
		"the fleet to go back to an epoch before it that is kept, or have the team offer a mended file."
}
