package grant

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (BadCommand) Code() string { return "grant.BadCommand" }

// Code is the name of the error in messages between processes.
func (FloorTaken) Code() string { return "grant.FloorTaken" }

// Code is the name of the error in messages between processes.
func (GrantEnded) Code() string { return "grant.GrantEnded" }

// Code is the name of the error in messages between processes.
func (NoBudget) Code() string { return "grant.NoBudget" }

// Code is the name of the error in messages between processes.
func (NoGrant) Code() string { return "grant.NoGrant" }

// Code is the name of the error in messages between processes.
func (NotEnoughStewards) Code() string { return "grant.NotEnoughStewards" }

// Code is the name of the error in messages between processes.
func (NotFounded) Code() string { return "grant.NotFounded" }

// Code is the name of the error in messages between processes.
func (OldBudgets) Code() string { return "grant.OldBudgets" }

// Code is the name of the error in messages between processes.
func (OldEpoch) Code() string { return "grant.OldEpoch" }

// Code is the name of the error in messages between processes.
func (OldToken) Code() string { return "grant.OldToken" }

// Code is the name of the error in messages between processes.
func (OtherFleet) Code() string { return "grant.OtherFleet" }

// Code is the name of the error in messages between processes.
func (OtherHolder) Code() string { return "grant.OtherHolder" }

// Code is the name of the error in messages between processes.
func (OverWhole) Code() string { return "grant.OverWhole" }

// Code is the name of the error in messages between processes.
func (Spent) Code() string { return "grant.Spent" }

// Code is the name of the error in messages between processes.
func (StillSilent) Code() string { return "grant.StillSilent" }
