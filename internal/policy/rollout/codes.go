package rollout

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (EpochTwice) Code() string { return "rollout.EpochTwice" }

// Code is the name of the error in messages between processes.
func (OldEpoch) Code() string { return "rollout.OldEpoch" }

// Code is the name of the error in messages between processes.
func (RolloutNotTaken) Code() string { return "rollout.RolloutNotTaken" }

// Code is the name of the error in messages between processes.
func (RolloutStopped) Code() string { return "rollout.RolloutStopped" }

// Code is the name of the error in messages between processes.
func (WorseAfter) Code() string { return "rollout.WorseAfter" }

// Code is the name of the error in messages between processes.
func (WrongContent) Code() string { return "rollout.WrongContent" }
