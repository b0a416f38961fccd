package consensus

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another
// name.

// Code is the name of the error in messages between processes.
func (LogConflictError) Code() string { return "consensus.LogContradicts" }

// Code is the name of the error in messages between processes.
func (NoQuorumError) Code() string { return "consensus.NotEnoughStewards" }

// Code is the name of the error in messages between processes.
func (NotLeaderError) Code() string { return "consensus.NotLeader" }

// Code is the name of the error in messages between processes.
func (FleetMismatchError) Code() string { return "consensus.OtherFleet" }

// Code is the name of the error in messages between processes.
func (QueueFullError) Code() string { return "consensus.QueueFull" }

// Code is the name of the error in messages between processes.
func (SilentError) Code() string { return "consensus.Silent" }

// Code is the name of the error in messages between processes.
func (StoreRolledBackError) Code() string { return "consensus.StoreRolledBack" }

// Code is the name of the error in messages between processes.
func (CommandTooLargeError) Code() string { return "consensus.TooLarge" }

// Code is the name of the error in messages between processes.
func (UndecidedError) Code() string { return "consensus.Undecided" }
