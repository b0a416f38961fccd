package merkle

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (Incomplete) Code() string { return "pieces.Incomplete" }

// Code is the name of the error in messages between processes.
func (Malformed) Code() string { return "pieces.Malformed" }

// Code is the name of the error in messages between processes.
func (TooLong) Code() string { return "pieces.TooLong" }

// Code is the name of the error in messages between processes.
func (Twice) Code() string { return "pieces.Twice" }

// Code is the name of the error in messages between processes.
func (WrongName) Code() string { return "pieces.WrongName" }

// Code is the name of the error in messages between processes.
func (WrongPiece) Code() string { return "pieces.WrongPiece" }
