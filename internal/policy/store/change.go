package store

import (
	"cmp"
	"slices"
	"strings"
)

// DeclarationName stands for the ownership declaration among changes: a change of it has this Namespace and no Number.
const DeclarationName = "charter"

// Change is a new file of a namespace, or a new ownership declaration.
type Change struct {
	Namespace string `json:"namespace"`        // DeclarationName with Number 0 is the declaration
	Number    uint64 `json:"number,omitempty"` // of the file
	Author    string `json:"by,omitempty"`
}

// FailedChange is a change whose rollout was stopped. It was excluded from the head; its number stays used.
type FailedChange struct {
	Change
	MergeNumber uint64 `json:"at"` // of a declaration: the merge that accepted it
	Reason      string `json:"why"`
	Advice      string `json:"help"`
}

// sameKind reports whether two failed changes are of one namespace, or both of the declaration. A namespace may have
// the name DeclarationName.
func (f *FailedChange) sameKind(other *FailedChange) bool {
	return f.Namespace == other.Namespace && (f.Number == 0) == (other.Number == 0)
}

// trackedChange is a change with the merge that accepted it, which tells two declarations apart.
type trackedChange struct {
	Change
	MergeNumber uint64 `json:"at"`
}

func (c trackedChange) isDeclaration() bool { return c.Number == 0 }

func publicChanges(tracked []trackedChange) []Change {
	var all []Change
	for _, c := range tracked {
		all = append(all, c.Change)
	}
	return all
}

// changesBetween returns what one policy was merged from that another was not, in the order of acceptance. The
// declaration comes first, because files may need it. Files that a declaration drops are no changes of their own.
func changesBetween(from, to *retainedPolicy) []trackedChange {
	var files []trackedChange
	for name, f := range to.files {
		if from.files[name].text != f.text {
			files = append(files, trackedChange{Change{name, f.number, f.author}, f.mergeNumber})
		}
	}
	slices.SortFunc(files, func(a, b trackedChange) int {
		return cmp.Or(cmp.Compare(a.MergeNumber, b.MergeNumber), strings.Compare(a.Namespace, b.Namespace))
	})
	if from.declaration.text == to.declaration.text {
		return files
	}
	declaration := Change{DeclarationName, 0, to.declaration.author}
	return slices.Insert(files, 0, trackedChange{declaration, to.declaration.mergeNumber})
}
