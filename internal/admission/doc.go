// Package admission decides which client connections a process keeps, and which requests it admits.
//
//   - ConnLimiter decides on connections: which are admitted, which are rejected, and which are evicted to make room.
//   - RequestLimiter bounds the requests in flight of one service, optionally adapting to latency.
//
// # Known and unproven connections
//
// A connection is unproven until a request on it was served. An address earns credit with each request that was
// served; credit decays with Settings.HalfLife. An address with enough credit, or in Settings.KnownPrefixes, is a
// known client. Addresses are counted twice: by themselves (an IPv4 /32 or IPv6 /64) and by their network (a /24 or
// /48), which may do NetworkFactor times as much.
//
// # Invariants of a ConnLimiter
//
// Whatever arrives in whatever order:
//
//   - It holds no more connections than Settings.MaxConns.
//   - A connection with a whole request in flight is never evicted.
//   - While more is free than what is reserved for known clients, every connection is admitted, but for blocked
//     addresses and, while connections are scarce, addresses above their rate of new connections.
//   - A known client is admitted while known clients hold less than the reserve.
//   - An address that holds no bytes of bodies may hold those of one request. While bytes are not scarce, any address
//     may hold any number.
//   - The victim of an eviction belongs to the address or network with the most unproven connections beyond its
//     credit. If all of these are within the grace period, the victim is the oldest unproven connection.
//   - Nothing is permanent: credit and rates decay, and blocks expire. An address that stops flooding is treated like
//     any other after eight half-lives at the latest.
//   - An event costs O(log MaxConns), and Settings alone bound the memory, whatever the number of addresses.
//
// The design is explained in docs/admission-design.md.
//
// # Use
//
// All of it is pure: no I/O, no goroutine, no clock. Callers pass the time, as a duration on a monotonic clock, and
// serialize all calls on one value. No call blocks. Package listener adds the lock and the sockets.
package admission
