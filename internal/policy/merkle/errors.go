package merkle

import "fmt"

// WrongPiece says that a piece came that nothing asked for: damaged on its way, of other content, or there already.
type WrongPiece struct {
	Name  Name // by what came
	Bytes int
}

func (e WrongPiece) Error() string {
	return fmt.Sprintf("a piece of %d bytes comes to the name %v, which is not wanted", e.Bytes, e.Name)
}

// Advice is what an operator can do.
func (WrongPiece) Advice() string {
	return "Nothing was taken from it; the piece is asked for again. If it goes on, look at the link and at the steward that sent it."
}

// Incomplete says that pieces are missing still.
type Incomplete struct {
	Root    Name
	Missing int // whose names are known; more may follow
}

func (e Incomplete) Error() string {
	return fmt.Sprintf("%d or more pieces of %v are missing", e.Missing, e.Root)
}

// Advice is what an operator can do.
func (Incomplete) Advice() string {
	return "What was in force stays so; the rest is fetched from any steward. If it goes on, see whether the stewards can be reached."
}

// Malformed says that a piece has the name that was asked for, but can't stand where it was asked for.
type Malformed struct {
	Name Name
	Why  string
}

func (e Malformed) Error() string { return fmt.Sprintf("piece %v: %s", e.Name, e.Why) }

// Advice is what an operator can do.
func (Malformed) Advice() string {
	return "Whoever made this content made it wrong, or it was made by a newer program. Nothing of it is taken. Offer the policy again, " +
		"and see that stewards and proxies run programs that know each other."
}

// TooLong says that a key or a value is over its bound.
type TooLong struct {
	What  string // key or value
	Key   string
	Bytes int
	Most  int
}

func (e TooLong) Error() string {
	return fmt.Sprintf("%s of %q: %d bytes; %d are the most", e.What, e.Key, e.Bytes, e.Most)
}

// Advice is what an operator can do.
func (TooLong) Advice() string { return "Split the rule that is named into several." }

// Twice says that one key was named twice.
type Twice struct{ Key string }

func (e Twice) Error() string { return fmt.Sprintf("%q is there twice", e.Key) }

// Advice is what an operator can do.
func (Twice) Advice() string { return "Take one of the two out." }

// WrongName says that a text names no piece.
type WrongName struct{ Text string }

func (e WrongName) Error() string {
	return fmt.Sprintf("%.80q names no piece: wanted 64 hexadecimal digits", e.Text)
}

// Advice is what an operator can do.
func (WrongName) Advice() string {
	return "See that stewards and proxies run programs that know each other."
}
