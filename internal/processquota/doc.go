// Package processquota divides what one process has among the services that it serves.
//
//   - Pool divides units that are held for a while: requests in flight, bytes of bodies, connections.
//   - RateLimiter divides units per second: attempts.
//   - Gate decides which requests of a service are admitted while its part of a pool runs short.
//
// Quotas of a whole fleet of proxies are package quotalease's; package limiter puts a lock and a clock around the
// types of this package.
//
// # Members
//
// Each service is a member with a minimum, a cap and a weight (Share). The minimum is the part that it gets whenever
// it wants it. What of a minimum is idle is lent to others, up to PoolSettings.Lend. What is above all minimums is
// divided by weight.
//
// # Invariants of a Pool
//
//   - Neither the total nor a member's cap is exceeded.
//   - A member that acquires gets the part of its minimum that is never lent at once.
//   - A member that goes on acquiring has its whole minimum after PoolSettings.Recall, if nobody holds a unit for
//     longer than that.
//   - Above the minimums, a member that waits and is under its weighted share goes before one that is above it. So
//     no member waits forever behind those above their share, under the same condition.
//
// # Use
//
// All of it is pure: no I/O, no goroutine, no clock. Callers pass the time, as a duration on a monotonic clock, and
// serialize all calls on one value. No call blocks.
package processquota
