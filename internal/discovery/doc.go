// Package discovery lets the services of a process share one watch of a discovery service. A Registry has one shared
// watch for each address. The shared watch keeps the current full endpoint list: a late subscriber gets the list at
// once, and a poll while the watch is healthy needs no call to the discovery service.
//
// A Subscription gives its engine the guarantees of an engine.Source: every change arrives, changes arrive in the
// discovery service's order, the full list arrives before any change that depends on it, and a failed watch returns an
// error. A Registry makes at most one watch call and one poll at a time to each discovery service, however many
// subscriptions there are. After each failed call it doubles the backoff.
package discovery
