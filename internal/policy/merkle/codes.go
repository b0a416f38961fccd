package merkle

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (IncompleteError) Code() string { return "pieces.Incomplete" }

// Code is the name of the error in messages between processes.
func (MalformedChunkError) Code() string { return "pieces.Malformed" }

// Code is the name of the error in messages between processes.
func (TooLongError) Code() string { return "pieces.TooLong" }

// Code is the name of the error in messages between processes.
func (DuplicateKeyError) Code() string { return "pieces.Twice" }

// Code is the name of the error in messages between processes.
func (InvalidHashError) Code() string { return "pieces.WrongName" }

// Code is the name of the error in messages between processes.
func (UnexpectedChunkError) Code() string { return "pieces.WrongPiece" }
