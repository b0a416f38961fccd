package storage

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (DiskFull) Code() string { return "store.DiskFull" }

// Code is the name of the error in messages between processes.
func (StoreDamaged) Code() string { return "store.StoreDamaged" }

// Code is the name of the error in messages between processes.
func (StoreHeld) Code() string { return "store.StoreHeld" }

// Code is the name of the error in messages between processes.
func (StoreMissing) Code() string { return "store.StoreMissing" }

// Code is the name of the error in messages between processes.
func (StoreNewer) Code() string { return "store.StoreNewer" }

// Code is the name of the error in messages between processes.
func (StoreOfAnotherFleet) Code() string { return "store.StoreOfAnotherFleet" }

// Code is the name of the error in messages between processes.
func (StoreOfAnotherNode) Code() string { return "store.StoreOfAnotherNode" }
