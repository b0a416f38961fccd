package store

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (InvalidCommandError) Code() string { return "policybook.BadCommand" }

// Code is the name of the error in messages between processes.
func (EpochNotRetainedError) Code() string { return "policybook.EpochGone" }

// Code is the name of the error in messages between processes.
func (NoDeclarationError) Code() string { return "policybook.NoCharter" }

// Code is the name of the error in messages between processes.
func (TooLargeError) Code() string { return "policybook.TooMuch" }
