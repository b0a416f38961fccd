package rollout

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (EpochConflictError) Code() string { return "rollout.EpochTwice" }

// Code is the name of the error in messages between processes.
func (StaleVersionError) Code() string { return "rollout.OldEpoch" }

// Code is the name of the error in messages between processes.
func (NotAdoptedError) Code() string { return "rollout.RolloutNotTaken" }

// Code is the name of the error in messages between processes.
func (HarmDetectedError) Code() string { return "rollout.RolloutStopped" }

// Code is the name of the error in messages between processes.
func (RegressionError) Code() string { return "rollout.WorseAfter" }

// Code is the name of the error in messages between processes.
func (HashMismatchError) Code() string { return "rollout.WrongContent" }
