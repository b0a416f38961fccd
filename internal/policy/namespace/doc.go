// Package namespace merges the policy files of many teams into one policy, and finds where they conflict.
//
// # Who may set what
//
// The ownership declaration (Declaration; the charter, in the operators' pages) gives each team a namespace, and each
// namespace a domain: the requests, quotas, zones and settings that its rules may be about. A namespace may delegate a
// part of its domain to another one. Within what was delegated, the rules of the delegate have precedence.
//
// # Merging
//
// Each namespace has one file (File) of numbered content. Merge takes the last accepted files and those that were
// submitted, and gives the policy (Policy) and the files that are accepted from now on. Each setting is merged in one
// way, named at its constant (SettingRoute and so on): the strictest value, the union, the owner's value alone, or a
// sum within a limit. Each value of the policy names the rules that it comes from.
//
// # Conflicts
//
// A conflict that cannot be merged withholds one file, of the namespace that caused it; its last accepted file stays in
// force, and nobody else waits. Other conflicts are only reported. Check finds all of them. The search is exact: where
// two rules contradict each other it gives a request that both match, and it misses none.
//
// # Invariants
//
//   - The outcome of a merge depends on the files alone, not on the order in which they are given.
//   - A policy has no conflict that withholds a file, and its routes compile.
//   - Equal rules give an equal policy, in one encoding and with one hash. Items and their changes (Policy.Tree,
//     Policy.With) give the same policy as its encoding does.
//
// # Use
//
// The package is pure: no I/O, no goroutine, no clock. Files, declarations and policies are not changed once they are
// made, so any number of goroutines may read them. Errors have types of their own, with a code for messages (Code) and
// the operator's next step (Advice). The design is in docs/fleet-ownership-design.md.
package namespace
