package consensus

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (LogContradicts) Code() string { return "consensus.LogContradicts" }

// Code is the name of the error in messages between processes.
func (NotEnoughStewards) Code() string { return "consensus.NotEnoughStewards" }

// Code is the name of the error in messages between processes.
func (NotLeader) Code() string { return "consensus.NotLeader" }

// Code is the name of the error in messages between processes.
func (OtherFleet) Code() string { return "consensus.OtherFleet" }

// Code is the name of the error in messages between processes.
func (QueueFull) Code() string { return "consensus.QueueFull" }

// Code is the name of the error in messages between processes.
func (Silent) Code() string { return "consensus.Silent" }

// Code is the name of the error in messages between processes.
func (StoreRolledBack) Code() string { return "consensus.StoreRolledBack" }

// Code is the name of the error in messages between processes.
func (TooLarge) Code() string { return "consensus.TooLarge" }

// Code is the name of the error in messages between processes.
func (Undecided) Code() string { return "consensus.Undecided" }
