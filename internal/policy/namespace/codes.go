package namespace

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (Clash) Code() string { return "namespace.Clash" }

// Code is the name of the error in messages between processes.
func (DelegationCircle) Code() string { return "namespace.DelegationCircle" }

// Code is the name of the error in messages between processes.
func (DelegationTooWide) Code() string { return "namespace.DelegationTooWide" }

// Code is the name of the error in messages between processes.
func (FileError) Code() string { return "namespace.FileError" }

// Code is the name of the error in messages between processes.
func (MinimumsExceedWhole) Code() string { return "namespace.MinimumsExceedWhole" }

// Code is the name of the error in messages between processes.
func (NamespaceHeld) Code() string { return "namespace.NamespaceHeld" }

// Code is the name of the error in messages between processes.
func (OutsideDomain) Code() string { return "namespace.OutsideDomain" }

// Code is the name of the error in messages between processes.
func (UnknownNamespace) Code() string { return "namespace.UnknownNamespace" }

// Code is the name of the error in messages between processes.
func (VersionTaken) Code() string { return "namespace.VersionTaken" }

// Code is the name of the error in messages between processes.
func (WrongItem) Code() string { return "namespace.WrongItem" }
