package freshness

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (WorkerDiedError) Code() string { return "fleetview.DutyDied" }

// Code is the name of the error in messages between processes.
func (WorkerStuckError) Code() string { return "fleetview.DutyStuck" }

// Code is the name of the error in messages between processes.
func (TooManyListsError) Code() string { return "fleetview.TooManyRegisters" }
