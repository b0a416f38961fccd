package storage

// The codes that identify this package's errors in messages between processes. A code does not change when its type is
// renamed.

// Code returns the code that identifies the error in messages between processes.
func (DiskFullError) Code() string { return "store.DiskFull" }

// Code returns the code that identifies the error in messages between processes.
func (DamagedError) Code() string { return "store.StoreDamaged" }

// Code returns the code that identifies the error in messages between processes.
func (LockedError) Code() string { return "store.StoreHeld" }

// Code returns the code that identifies the error in messages between processes.
func (MissingError) Code() string { return "store.StoreMissing" }

// Code returns the code that identifies the error in messages between processes.
func (NewerFormatError) Code() string { return "store.StoreNewer" }

// Code returns the code that identifies the error in messages between processes.
func (FleetMismatchError) Code() string { return "store.StoreOfAnotherFleet" }

// Code returns the code that identifies the error in messages between processes.
func (NodeMismatchError) Code() string { return "store.StoreOfAnotherNode" }
