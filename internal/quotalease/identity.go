package quotalease

import (
	"cmp"
	"fmt"
)

// Token is a fencing token. Tokens grow strictly with the log and with each bootstrap. The zero token marks units that
// come from a floor.
type Token struct {
	Epoch uint64 `json:"Epoch"`
	Index uint64 `json:"Index"`
}

// Compare returns -1 if t is older than other, 0 if they are equal, and 1 if t is newer.
func (t Token) Compare(other Token) int {
	return cmp.Or(cmp.Compare(t.Epoch, other.Epoch), cmp.Compare(t.Index, other.Index))
}

// String returns the token as epoch.index.
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Epoch, t.Index) }

// HolderID identifies one process that holds leases. A process that replaces another one under the same name is a
// different holder: no two processes with the same name may ever have the same incarnation.
type HolderID struct {
	Holder      string `json:"Holder"`
	Incarnation uint64 `json:"Incarnation"`
}

// Compare orders holders by name, then by incarnation. It returns -1, 0 or 1.
func (id HolderID) Compare(other HolderID) int {
	return cmp.Or(cmp.Compare(id.Holder, other.Holder), cmp.Compare(id.Incarnation, other.Incarnation))
}
