package client

import (
	"fmt"
)

// FloorsNotPersistedError means that the floors of a proxy cannot be read from disk, locked or stored there. While
// they cannot be stored, the proxy requests no leases and uses only those that it holds.
type FloorsNotPersistedError struct{ Err error }

// Error implements error. The text is part of the admin protocol and stays as it is; "kept" means stored on disk.
func (e FloorsNotPersistedError) Error() string {
	return fmt.Sprintf("floors can't be kept: %v", e.Err)
}

// Unwrap returns the cause.
func (e FloorsNotPersistedError) Unwrap() error { return e.Err }

// Advice implements operatorerror.Error.
func (FloorsNotPersistedError) Advice() string {
	return "See that the folder that the fleet's file names as state is there, has room and may be written; " +
		"what is damaged in it may be removed while no proxy of that name runs: it is told its floors anew."
}

// WorkerCrashedError means that a worker has panicked. It was replaced.
type WorkerCrashedError struct{ Cause string }

// Error implements error. The text is part of the admin protocol and stays as it is; its "duty" is the worker goroutine
// of a QuotaClient or PolicyClient, and "died" means panicked.
func (e WorkerCrashedError) Error() string { return "a duty of the fleet's died: " + e.Cause }

// Advice implements operatorerror.Error.
func (WorkerCrashedError) Advice() string {
	return "It was begun anew; file the log line with its cause. " +
		"If it goes on, serve without --fleet until it is mended."
}

// WorkerStalledError means that a worker is stuck. It was replaced.
type WorkerStalledError struct {
	// For is the time since the worker last made progress.
	For fmt.Stringer
}

// Error implements error. The text is part of the admin protocol and stays as it is; its "duty" is the worker goroutine
// of a QuotaClient or PolicyClient, and "has not moved" means that it has sent no heartbeat.
func (e WorkerStalledError) Error() string {
	return fmt.Sprintf("a duty of the fleet's has not moved for %v", e.For)
}

// Advice implements operatorerror.Error.
func (WorkerStalledError) Advice() string {
	return "Look at the disk that holds the state folder and at the machine's load; " +
		"another duty was begun in its place."
}

// PolicyNotInstalledError means that this proxy could not fetch, install or store an offered policy, or could not
// restore a stored one. Unless it says that the policy is installed but not stored, the previous policy stays in force.
type PolicyNotInstalledError struct {
	Epoch uint64
	Err   error
}

// Error implements error. The text is part of the admin protocol and stays as it is; "taken up" means installed.
func (e PolicyNotInstalledError) Error() string {
	return fmt.Sprintf("the policy of epoch %d was not taken up: %v", e.Epoch, e.Err)
}

// Unwrap returns the cause.
func (e PolicyNotInstalledError) Unwrap() error { return e.Err }

// Advice implements operatorerror.Error.
func (PolicyNotInstalledError) Advice() string {
	return "The proxy goes on as before. If services are missing, enter them in its file of services and have it " +
		"read again; it tries by itself each time that it reports. The roll-out waits meanwhile."
}
