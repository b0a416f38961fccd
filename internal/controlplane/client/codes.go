package client

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another
// name.

// Code is the name of the error in messages between processes.
func (WorkerCrashedError) Code() string { return "fleetlink.DutyDied" }

// Code is the name of the error in messages between processes.
func (WorkerStalledError) Code() string { return "fleetlink.DutyStuck" }

// Code is the name of the error in messages between processes.
func (FloorsNotPersistedError) Code() string { return "fleetlink.FloorsNotKept" }

// Code is the name of the error in messages between processes.
func (PolicyNotInstalledError) Code() string { return "fleetlink.PolicyNotTaken" }
