package merkle

import "fmt"

// UnexpectedChunkError says that a piece came that nothing asked for: damaged on its way, of other content, or there already.
type UnexpectedChunkError struct {
	Hash  Hash // by what came
	Bytes int
}

func (e UnexpectedChunkError) Error() string {
	return fmt.Sprintf("a piece of %d bytes comes to the name %v, which is not wanted", e.Bytes, e.Hash)
}

// Advice is what an operator can do.
func (UnexpectedChunkError) Advice() string {
	return "Nothing was taken from it; the piece is asked for again. If it goes on, look at the link and at the steward that sent it."
}

// IncompleteError says that pieces are missing still.
type IncompleteError struct {
	Root    Hash
	Missing int // whose names are known; more may follow
}

func (e IncompleteError) Error() string {
	return fmt.Sprintf("%d or more pieces of %v are missing", e.Missing, e.Root)
}

// Advice is what an operator can do.
func (IncompleteError) Advice() string {
	return "What was in force stays so; the rest is fetched from any steward. If it goes on, see whether the stewards can be reached."
}

// MalformedChunkError says that a piece has the name that was asked for, but can't stand where it was asked for.
type MalformedChunkError struct {
	Hash   Hash
	Reason string
}

func (e MalformedChunkError) Error() string { return fmt.Sprintf("piece %v: %s", e.Hash, e.Reason) }

// Advice is what an operator can do.
func (MalformedChunkError) Advice() string {
	return "Whoever made this content made it wrong, or it was made by a newer program. Nothing of it is taken. Offer the policy again, " +
		"and see that stewards and proxies run programs that know each other."
}

// TooLongError says that a key or a value is over its bound.
type TooLongError struct {
	What  string // key or value
	Key   string
	Bytes int
	Limit int
}

func (e TooLongError) Error() string {
	return fmt.Sprintf("%s of %q: %d bytes; %d are the most", e.What, e.Key, e.Bytes, e.Limit)
}

// Advice is what an operator can do.
func (TooLongError) Advice() string { return "Split the rule that is named into several." }

// DuplicateKeyError says that one key was named twice.
type DuplicateKeyError struct{ Key string }

func (e DuplicateKeyError) Error() string { return fmt.Sprintf("%q is there twice", e.Key) }

// Advice is what an operator can do.
func (DuplicateKeyError) Advice() string { return "Take one of the two out." }

// InvalidHashError says that a text names no piece.
type InvalidHashError struct{ Text string }

func (e InvalidHashError) Error() string {
	return fmt.Sprintf("%.80q names no piece: wanted 64 hexadecimal digits", e.Text)
}

// Advice is what an operator can do.
func (InvalidHashError) Advice() string {
	return "See that stewards and proxies run programs that know each other."
}
