// Package client is a proxy's side of the control plane. It has two clients, each with one supervised goroutine
// that talks to the servers:
//
//   - QuotaClient requests quota leases and holds them (quotalease.Holder). What it holds is published as token
//     buckets, from which the attempts of requests take units without a lock (ServiceQuotas).
//   - PolicyClient reports which policy the proxy decides by, fetches the one that the servers offer and has the
//     proxy install it, all of it or nothing.
//
// No request ever waits for these goroutines. One that has panicked or is stuck is replaced by another, and
// counted; what it published stays in force until it expires. A generation number tells a worker from those before
// it, so that one that was given up can't publish any more.
//
// The workers and the requests share no queue. Buckets go one way: a new one takes the place of the one before.
// Counts of attempts go the other way by atomic additions.
//
// # Files
//
// With a state directory a proxy keeps, for the next process of its name: its floors (floorClaim), with a lock that
// only one process holds at a time, and its policy (policyStore). The forms of these files must not change.
package client
