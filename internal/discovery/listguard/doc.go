// Package listguard protects a proxy and its discovery service after a mass restart, of the proxies or of discovery. If
// a full endpoint list suddenly lacks many backends, a Guard retains them for a limited time. A Pacer computes when the
// next call to discovery may be made, so that proxies that start at the same time spread their calls.
//
// The package is pure: no I/O, no goroutines, no clock. Its inputs are endpoint lists and the results of
// calls; its outputs are endpoint lists and delays. A Guard or Pacer is not safe for concurrent use.
package listguard
