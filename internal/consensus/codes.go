package consensus

// The codes that identify this package's errors in messages between processes. A code does not change when its type is
// renamed.

// Code returns the code that identifies the error in messages between processes.
func (LogConflictError) Code() string { return "consensus.LogContradicts" }

// Code returns the code that identifies the error in messages between processes.
func (NoQuorumError) Code() string { return "consensus.NotEnoughStewards" }

// Code returns the code that identifies the error in messages between processes.
func (NotLeaderError) Code() string { return "consensus.NotLeader" }

// Code returns the code that identifies the error in messages between processes.
func (FleetMismatchError) Code() string { return "consensus.OtherFleet" }

// Code returns the code that identifies the error in messages between processes.
func (QueueFullError) Code() string { return "consensus.QueueFull" }

// Code returns the code that identifies the error in messages between processes.
func (SilentError) Code() string { return "consensus.Silent" }

// Code returns the code that identifies the error in messages between processes.
func (StoreRolledBackError) Code() string { return "consensus.StoreRolledBack" }

// Code returns the code that identifies the error in messages between processes.
func (CommandTooLargeError) Code() string { return "consensus.TooLarge" }

// Code returns the code that identifies the error in messages between processes.
func (UndecidedError) Code() string { return "consensus.Undecided" }
