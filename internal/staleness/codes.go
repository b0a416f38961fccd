package staleness

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (InvalidSettingsError) Code() string { return "staleness.BadSettings" }

// Code is the name of the error in messages between processes.
func (ImplausibleClaimError) Code() string { return "staleness.ClaimCannotBeTrue" }

// Code is the name of the error in messages between processes.
func (RouteBlindError) Code() string { return "staleness.EdgeBlind" }

// Code is the name of the error in messages between processes.
func (NameTakenError) Code() string { return "staleness.NameTaken" }

// Code is the name of the error in messages between processes.
func (UnknownSourceError) Code() string { return "staleness.UnknownSource" }

// Code is the name of the error in messages between processes.
func (RouteDoubtfulError) Code() string { return "staleness.ViewDoubtful" }
