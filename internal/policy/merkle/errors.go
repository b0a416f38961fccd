package merkle

import "fmt"

// Operators and other releases see the texts, codes and advice of this package's errors, so they stay as they are. They
// use the words of the operators' pages: piece for chunk, name for hash, steward for control-plane server.

// UnexpectedChunkError is returned for a chunk that is not missing: it is damaged, of other content, or a duplicate.
type UnexpectedChunkError struct {
	Hash  Hash // of the chunk; zero if its length is not between 1 and MaxChunkBytes
	Bytes int  // length of the chunk
}

// Error implements error.
func (e UnexpectedChunkError) Error() string {
	return fmt.Sprintf("a piece of %d bytes comes to the name %v, which is not wanted", e.Bytes, e.Hash)
}

// Code returns the name of this error in messages between processes.
func (UnexpectedChunkError) Code() string { return "pieces.WrongPiece" }

// Advice returns the operator's next step.
func (UnexpectedChunkError) Advice() string {
	return "Nothing was taken from it; the piece is asked for again. " +
		"If it goes on, look at the link and at the steward that sent it."
}

// IncompleteError is returned while chunks are missing.
type IncompleteError struct {
	Root    Hash
	Missing int // number of missing chunks whose hashes are known; these may refer to further missing ones
}

// Error implements error.
func (e IncompleteError) Error() string {
	return fmt.Sprintf("%d or more pieces of %v are missing", e.Missing, e.Root)
}

// Code returns the name of this error in messages between processes.
func (IncompleteError) Code() string { return "pieces.Incomplete" }

// Advice returns the operator's next step.
func (IncompleteError) Advice() string {
	return "What was in force stays so; the rest is fetched from any steward. " +
		"If it goes on, see whether the stewards can be reached."
}

// MalformedChunkError is returned for a chunk that has a missing hash but is not valid in a place where it is missing,
// and for chunks that do not form the canonical tree of their content.
type MalformedChunkError struct {
	Hash   Hash // of the chunk, or of the subtree, value or tree that is malformed
	Reason string
}

// Error implements error.
func (e MalformedChunkError) Error() string { return fmt.Sprintf("piece %v: %s", e.Hash, e.Reason) }

// Code returns the name of this error in messages between processes.
func (MalformedChunkError) Code() string { return "pieces.Malformed" }

// Advice returns the operator's next step.
func (MalformedChunkError) Advice() string {
	return "Whoever made this content made it wrong, or it was made by a newer program. Nothing of it is taken. " +
		"Offer the policy again, and see that stewards and proxies run programs that know each other."
}

// TooLongError is returned for a key longer than MaxKeyBytes or a value longer than MaxValueBytes.
type TooLongError struct {
	What  string // "key" or "value"
	Key   string // cut off if it is the key that is too long
	Bytes int
	Limit int // in bytes
}

// Error implements error.
func (e TooLongError) Error() string {
	return fmt.Sprintf("%s of %q: %d bytes; %d are the most", e.What, e.Key, e.Bytes, e.Limit)
}

// Code returns the name of this error in messages between processes.
func (TooLongError) Code() string { return "pieces.TooLong" }

// Advice returns the operator's next step.
func (TooLongError) Advice() string { return "Split the rule that is named into several." }

// DuplicateKeyError is returned for a key that occurs twice in the arguments of Build or Tree.With.
type DuplicateKeyError struct{ Key string }

// Error implements error.
func (e DuplicateKeyError) Error() string { return fmt.Sprintf("%q is there twice", e.Key) }

// Code returns the name of this error in messages between processes.
func (DuplicateKeyError) Code() string { return "pieces.Twice" }

// Advice returns the operator's next step.
func (DuplicateKeyError) Advice() string { return "Take one of the two out." }

// InvalidHashError is returned for a text that is not a hash in hexadecimal.
type InvalidHashError struct{ Text string }

// Error implements error.
func (e InvalidHashError) Error() string {
	return fmt.Sprintf("%.80q names no piece: wanted 64 hexadecimal digits", e.Text)
}

// Code returns the name of this error in messages between processes.
func (InvalidHashError) Code() string { return "pieces.WrongName" }

// Advice returns the operator's next step.
func (InvalidHashError) Advice() string {
	return "See that stewards and proxies run programs that know each other."
}
