package freshness

import "fmt"

// WorkerDiedError means that the worker has panicked. It was restarted.
type WorkerDiedError struct{ Reason string }

// Error implements error.
func (e WorkerDiedError) Error() string { return "freshness worker panicked: " + e.Reason }

// Code returns the name of this error in messages between processes.
func (WorkerDiedError) Code() string { return "fleetview.DutyDied" }

// Advice implements operatorerror.Error.
func (WorkerDiedError) Advice() string {
	return "It was begun anew on the list as last heard; file the log line with its cause. If it goes on, take " +
		"the table view out of the fleet's file until it is mended."
}

// WorkerStuckError means that the worker has sent no heartbeat for the time For. Another one was started.
type WorkerStuckError struct{ For fmt.Stringer }

// Error implements error.
func (e WorkerStuckError) Error() string {
	return fmt.Sprintf("freshness worker has sent no heartbeat for %v", e.For)
}

// Code returns the name of this error in messages between processes.
func (WorkerStuckError) Code() string { return "fleetview.DutyStuck" }

// Advice implements operatorerror.Error.
func (WorkerStuckError) Advice() string {
	return "Look at the machine's load; another duty was begun in its place."
}

// TooManyListsError means that an endpoint list is used but not monitored, because Max lists are monitored already.
type TooManyListsError struct {
	Name string
	Max  int
}

// Error implements error.
func (e TooManyListsError) Error() string {
	return fmt.Sprintf("endpoint list %q is not monitored: the maximum of %d lists is reached", e.Name, e.Max)
}

// Code returns the name of this error in messages between processes.
func (TooManyListsError) Code() string { return "fleetview.TooManyRegisters" }

// Advice implements operatorerror.Error.
func (TooManyListsError) Advice() string {
	return "Have services share registers, or start the process anew: it keeps the views of all that it ever followed."
}
