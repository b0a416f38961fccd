package namespace

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (ConflictError) Code() string { return "namespace.Clash" }

// Code is the name of the error in messages between processes.
func (DelegationCycleError) Code() string { return "namespace.DelegationCircle" }

// Code is the name of the error in messages between processes.
func (DelegationTooWideError) Code() string { return "namespace.DelegationTooWide" }

// Code is the name of the error in messages between processes.
func (FileError) Code() string { return "namespace.FileError" }

// Code is the name of the error in messages between processes.
func (MinimumsExceedLimitError) Code() string { return "namespace.MinimumsExceedWhole" }

// Code is the name of the error in messages between processes.
func (WithheldError) Code() string { return "namespace.NamespaceHeld" }

// Code is the name of the error in messages between processes.
func (OutsideDomainError) Code() string { return "namespace.OutsideDomain" }

// Code is the name of the error in messages between processes.
func (UnknownNamespaceError) Code() string { return "namespace.UnknownNamespace" }

// Code is the name of the error in messages between processes.
func (VersionTakenError) Code() string { return "namespace.VersionTaken" }

// Code is the name of the error in messages between processes.
func (InvalidItemError) Code() string { return "namespace.WrongItem" }
