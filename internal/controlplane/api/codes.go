package api

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (MalformedMessageError) Code() string { return "fleet.BadMessage" }

// Code is the name of the error in messages between processes.
func (UnknownServerError) Code() string { return "fleet.UnknownSteward" }

// Code is the name of the error in messages between processes.
func (ServerUnreachableError) Code() string { return "fleet.Unreachable" }
