package staleness

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (BadSettings) Code() string { return "staleness.BadSettings" }

// Code is the name of the error in messages between processes.
func (ClaimCannotBeTrue) Code() string { return "staleness.ClaimCannotBeTrue" }

// Code is the name of the error in messages between processes.
func (EdgeBlind) Code() string { return "staleness.EdgeBlind" }

// Code is the name of the error in messages between processes.
func (NameTaken) Code() string { return "staleness.NameTaken" }

// Code is the name of the error in messages between processes.
func (UnknownSource) Code() string { return "staleness.UnknownSource" }

// Code is the name of the error in messages between processes.
func (ViewDoubtful) Code() string { return "staleness.ViewDoubtful" }
