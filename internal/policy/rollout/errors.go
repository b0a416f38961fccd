package rollout

import (
	"fmt"
	"time"
)

// The texts and the advice of the errors in this file are sent in replies or stored in the Raft log, so they must not
// change. In them "order" is the generation, "steward" a control-plane server, and "held" means current.

// StaleVersionError means that the offered version is older than the current one, and that no operator rolled the fleet
// back.
type StaleVersionError struct{ Offered, Current Version }

// Error implements error.
func (e StaleVersionError) Error() string {
	return fmt.Sprintf("epoch %d (order %d) is offered, epoch %d (order %d) is held",
		e.Offered.Epoch, e.Offered.Generation, e.Current.Epoch, e.Current.Generation)
}

// Code returns the identifier of this error in messages between processes.
func (StaleVersionError) Code() string { return "rollout.OldEpoch" }

// Advice implements operatorerror.Error. The offer was late or came from a partitioned server. Nothing needs to be
// done, unless the operator wants to roll the fleet back.
func (e StaleVersionError) Advice() string {
	return "A late word, or a steward that was cut off: nothing to do. To go back on purpose, tell the stewards to."
}

// EpochConflictError means that a proxy was offered its current epoch with another hash: two policies have the same
// epoch.
type EpochConflictError struct {
	Epoch          uint64
	Current, Other string // hashes of the current and of the offered policy
}

// Error implements error.
func (e EpochConflictError) Error() string {
	return fmt.Sprintf("epoch %d is held with hash %.12s, and offered with %.12s", e.Epoch, e.Current, e.Other)
}

// Code returns the identifier of this error in messages between processes.
func (EpochConflictError) Code() string { return "rollout.EpochTwice" }

// Advice implements operatorerror.Error. Two control-plane servers number policies independently, as after the
// cluster was created again. The operator has to find the fleet's own servers and offer the right policy under
// a new epoch.
func (e EpochConflictError) Advice() string {
	return "Two stewards number policies apart from each other, as after a founding anew. " +
		"Find which are the fleet's own, " +
		"and offer the right policy under a new epoch."
}

// HashMismatchError means that the content of a policy does not have the hash of its version.
type HashMismatchError struct {
	Expected string // hash in the version
	Actual   string // hash of the content
}

// Error implements error.
func (e HashMismatchError) Error() string {
	return fmt.Sprintf("the policy's hash is %.12s, %.12s was offered", e.Actual, e.Expected)
}

// Code returns the identifier of this error in messages between processes.
func (HashMismatchError) Code() string { return "rollout.WrongContent" }

// Advice implements operatorerror.Error. The policy was corrupted or truncated in transit and is fetched again. If that
// persists, the operator has to check the server that sent it.
func (e HashMismatchError) Advice() string {
	return "The policy was damaged or cut on its way; it is fetched again. If it goes on, look at the steward " +
		"that sent it."
}

// HarmDetectedError means that a rollout was stopped because proxies with the version do worse than the others.
type HarmDetectedError struct {
	Epoch uint64
	Step  int // from 0
	// WithPolicy and WithoutPolicy are the mean shares of bad requests of proxies with and without the version, 0 to 1.
	WithPolicy, WithoutPolicy float64
	// PValue is the probability of a difference at least as large if the version does no harm. It is 0 if the rollout
	// was stopped without the test because more than half of the proxies with the version exceed
	// Settings.GrossMargin.
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

// Code returns the identifier of this error in messages between processes.
func (HarmDetectedError) Code() string { return "rollout.RolloutStopped" }

// Advice implements operatorerror.Error. The rollout is stopped where it is. The operator has to roll the fleet back or
// offer a corrected policy, which the proxies with the stopped one get first.
func (e HarmDetectedError) Advice() string {
	return "Proxies that have the new policy keep it and no more get it. Tell the fleet to go back, or offer a " +
		"mended policy, which they get first."
}

// NotAdoptedError means that a rollout was stopped because most proxies that were to have the version do not adopt it.
type NotAdoptedError struct {
	Epoch    uint64
	Step     int           // from 0
	Targeted int           // proxies that were to have the version
	Pending  int           // targeted proxies that report but have not adopted it
	Waited   time.Duration // since the start of the step
}

// Error implements error.
func (e NotAdoptedError) Error() string {
	const format = "epoch %d was stopped in step %d: %d of %d proxies that were to have it did not take it up in %v"
	return fmt.Sprintf(format, e.Epoch, e.Step+1, e.Pending, e.Targeted, e.Waited.Round(time.Second))
}

// Code returns the identifier of this error in messages between processes.
func (NotAdoptedError) Code() string { return "rollout.RolloutNotTaken" }

// Advice implements operatorerror.Error. The command FLEET on the admin console of such a proxy shows the reason.
// Usually its file of services lacks a service that is a target in the policy.
func (e NotAdoptedError) Advice() string {
	return "FLEET on such a proxy's console says why. Mostly its file of services lacks a service that the policy " +
		"leads to: enter it there, and have the team offer the file again under a higher number."
}

// RegressionError means that the fleet has a higher share of bad requests after a rollout than before it.
type RegressionError struct {
	Epoch         uint64        // of the rollout after which the share rose most
	Ago           time.Duration // since that rollout was completed
	Before, After float64       // shares of bad requests, 0 to 1
	NearbyEpochs  []uint64      // other epochs whose rollouts were completed at about the same time
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

// Code returns the identifier of this error in messages between processes.
func (RegressionError) Code() string { return "rollout.WorseAfter" }

// Advice implements operatorerror.Error. The fleet is not rolled back automatically. The operator has to look for other
// causes first, then roll back to an earlier stored epoch or have the team offer a corrected file.
func (e RegressionError) Advice() string {
	return "All proxies have it, so nothing goes back by itself. See what else began then. If it is the policy, tell " +
		"the fleet to go back to an epoch before it that is kept, or have the team offer a mended file."
}
