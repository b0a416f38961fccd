package quotalease

import (
	"cmp"
	"fmt"
)

// Token is a fencing token. Tokens grow strictly along the log and over bootstraps. The zero token marks what was
// spent from a floor.
type Token struct {
	Epoch uint64 `json:"Epoch"`
	Index uint64 `json:"Index"`
}

// Compare returns -1, 0 or 1 as t is older than other, the same or newer.
func (t Token) Compare(other Token) int {
	return cmp.Or(cmp.Compare(t.Epoch, other.Epoch), cmp.Compare(t.Index, other.Index))
}

// String returns the token as epoch.index.
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Epoch, t.Index) }

// HolderID names one process that holds leases. A process that replaces another one of the same name is another
// holder: no two processes of one name may ever have the same incarnation.
type HolderID struct {
	Holder      string `json:"Holder"`
	Incarnation uint64 `json:"Incarnation"`
}

// Compare orders by name, then by incarnation.
func (id HolderID) Compare(other HolderID) int {
	return cmp.Or(cmp.Compare(id.Holder, other.Holder), cmp.Compare(id.Incarnation, other.Incarnation))
}
