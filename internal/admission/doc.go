// Package admission decides which client connections a process accepts and keeps, and which requests it admits.
//
//   - ConnLimiter decides on connections: which are admitted, rejected, or evicted to admit others.
//   - RequestLimiter bounds the requests in flight of one service, optionally adapting to latency.
//
// # Known and unproven connections
//
// A connection is unproven until a request on it was served. An address earns credit with each served request; credit
// decays with the half-life Settings.HalfLife. An address with enough credit, or in Settings.KnownPrefixes, is a known
// client. Each connection is counted for its address (an IPv4 /32 or IPv6 /64) and for its network (a /24 or /48). The
// limits of a network are NetworkFactor times those of an address.
//
// # Invariants of a ConnLimiter
//
// For any sequence of events:
//
//   - It holds no more connections than Settings.MaxConns.
//   - A connection with a whole request in flight is never evicted.
//   - While more connections are free than are reserved for known clients, every connection is admitted, except from
//     blocked addresses and, while connections are scarce (see Settings.ScarceBelow), from addresses that exceed their
//     rate of new connections.
//   - A known client is admitted while known clients hold fewer connections than the reserve.
//   - An address that holds no body bytes may always hold one body. While body bytes are not scarce (see
//     Settings.ScarceBelow), an address may hold any number of them.
//   - The victim of an eviction belongs to the address or network with the most unproven connections beyond its
//     credit. If all connections of that address or network are within the grace period, the victim is the oldest
//     unproven connection.
//   - No credit, rate or block is permanent: credit and rates decay, and blocks expire. An address that stops flooding
//     is treated like any other after at most eight half-lives.
//   - An event takes O(log MaxConns) time. Memory is bounded by Settings, independently of the number of addresses.
//
// The design is explained in docs/admission-design.md.
//
// # Use
//
// The package is pure: no I/O, no goroutine, no clock. Callers pass the time, as a duration on a monotonic clock, and
// serialize all calls on one value. No call blocks. Package listener adds the lock and the sockets.
package admission
