// Package discovery lets the services of a process share one watch of a discovery service. A Registry has one shared
// watch for each address; it keeps the full endpoint list as it is now, so that a subscriber which joins late gets it
// at once, and a poll while the watch is healthy needs no call.
//
// A Subscription promises its engine what an engine.Source does: every change in the discovery service's order, the
// full list before changes that depend on one it does not have, and an error once the watch has failed. The Registry
// promises the discovery service one watch and one poll at a time, however many subscribe, and after failures a backoff
// that doubles.
package discovery
