package client

// The codes identify this package's errors in messages between processes. They do not change when a type is renamed.

// Code returns the error's code in messages between processes.
func (WorkerCrashedError) Code() string { return "fleetlink.DutyDied" }

// Code returns the error's code in messages between processes.
func (WorkerStalledError) Code() string { return "fleetlink.DutyStuck" }

// Code returns the error's code in messages between processes.
func (FloorsNotPersistedError) Code() string { return "fleetlink.FloorsNotKept" }

// Code returns the error's code in messages between processes.
func (PolicyNotInstalledError) Code() string { return "fleetlink.PolicyNotTaken" }
