package storage

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another
// name.

// Code is the name of the error in messages between processes.
func (DiskFullError) Code() string { return "store.DiskFull" }

// Code is the name of the error in messages between processes.
func (DamagedError) Code() string { return "store.StoreDamaged" }

// Code is the name of the error in messages between processes.
func (LockedError) Code() string { return "store.StoreHeld" }

// Code is the name of the error in messages between processes.
func (MissingError) Code() string { return "store.StoreMissing" }

// Code is the name of the error in messages between processes.
func (NewerFormatError) Code() string { return "store.StoreNewer" }

// Code is the name of the error in messages between processes.
func (FleetMismatchError) Code() string { return "store.StoreOfAnotherFleet" }

// Code is the name of the error in messages between processes.
func (NodeMismatchError) Code() string { return "store.StoreOfAnotherNode" }
