package store

import (
	"cmp"
	"slices"
	"strings"
)

// DeclarationName is the Namespace of a Change of the ownership declaration. The Number of this change is 0.
const DeclarationName = "charter"

// Change is a new file of a namespace, or a new ownership declaration.
type Change struct {
	Namespace string `json:"namespace"`        // DeclarationName, and Number 0, for the declaration
	Number    uint64 `json:"number,omitempty"` // number of the file
	Author    string `json:"by,omitempty"`
}

// FailedChange is a change whose rollout was stopped. It is excluded from the head, and its number cannot be used
// again.
type FailedChange struct {
	Change
	MergeNumber uint64 `json:"at"` // number of the merge that accepted the change; identifies a declaration
	Reason      string `json:"why"`
	Advice      string `json:"help"`
}

// sameSource reports whether two failed changes are files of the same namespace, or both are declarations. A namespace
// may be named DeclarationName, so the number is compared too: only a declaration has Number 0.
func (f *FailedChange) sameSource(other *FailedChange) bool {
	return f.Namespace == other.Namespace && (f.Number == 0) == (other.Number == 0)
}

// trackedChange is a change with the number of the merge that accepted it. Declarations have no number of their own and
// are distinguished by that of their merge.
type trackedChange struct {
	Change
	MergeNumber uint64 `json:"at"`
}

func (c trackedChange) isDeclaration() bool { return c.Number == 0 }

// publicChanges returns changes without their merge numbers.
func publicChanges(tracked []trackedChange) []Change {
	var all []Change
	for _, c := range tracked {
		all = append(all, c.Change)
	}
	return all
}

// changesBetween returns the files and the declaration that policy to was merged from and policy from was not, in the
// order in which they were accepted. The declaration comes first, because files may need it. Files that a new
// declaration drops are not listed as changes.
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
