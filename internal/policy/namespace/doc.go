// Package namespace merges the policy files of many teams into one policy, and finds the conflicts between them.
//
// # Who may set what
//
// The ownership declaration (Declaration; operators call it the charter) gives each team a namespace, and each
// namespace a domain: the requests, quotas, zones and settings that its rules may be about. A namespace (the delegator)
// may delegate a part of its domain to another one (the delegate). Within the delegated part, the rules of the delegate
// have precedence. The root of a delegation is the namespace whose own domain the delegated part belongs to.
//
// # Merging
//
// Each namespace has one policy file (File). A new version of the file has a higher number. Merge takes the last
// accepted file of each namespace and the newly submitted files, and returns the policy (Policy) and the files that are
// accepted from then on. Each setting has one way of merging, described at its constant (SettingRoute and so on): the
// strictest value, the union, the owner's value alone, or a sum within a limit. Each value of the policy names the
// rules that it comes from.
//
// # Conflicts
//
// If rules of several files conflict and cannot be merged, the file of the namespace that caused the conflict is
// withheld: it is not accepted, and the namespace's last accepted file stays in force. Files of other namespaces are
// not delayed. Other conflicts are only reported. Check finds both kinds. The search is exact: if two rules contradict
// each other, it returns a request that both match, and it misses no contradiction.
//
// # Invariants
//
//   - The outcome of a merge depends on the files alone, not on the order in which they are given.
//   - A policy has no conflict that withholds a file, and its routes compile.
//   - Equal rules give an equal policy, with a single encoding and hash. A policy that is built from items, or by
//     changes of items (Policy.Tree, FromTree, Policy.With), equals the one that is decoded from the encoding.
//
// # Use
//
// The package is pure: it does no I/O, starts no goroutines and reads no clock. Files, declarations and policies do not
// change after they are built, so any number of goroutines may read them. Each error type has a code for messages
// between processes (Code) and a next step for the operator or team (Advice). The design is in
// docs/fleet-ownership-design.md.
package namespace
