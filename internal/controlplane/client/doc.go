// Package client implements a proxy's clients of the control plane. There are two, each with one supervised worker
// goroutine that calls the control-plane servers:
//
//   - QuotaClient requests quota leases and holds them (quotalease.Holder). It publishes leases and floors as token
//     buckets, from which ServiceQuotas takes units for attempts without a lock.
//   - PolicyClient reports which policy the proxy runs, fetches the policy that the servers offer and has the proxy
//     install it completely or not at all.
//
// No request ever waits for these goroutines. A worker that panics or is stuck is replaced and counted. Leases that it
// published remain in force until they expire. Each worker has a generation number, and a worker of an earlier
// generation can no longer publish or install.
//
// Workers and requests share no queue. A worker publishes a bucket by replacing the previous one. Requests count their
// attempts by atomic additions, which the worker reads.
//
// # Files
//
// In its state directory a proxy stores data for the next process with the same proxy name: its floors (floorClaim),
// with a lock that only one process holds at a time, and its policy (policyStore). The formats of these files must not
// change.
package client
