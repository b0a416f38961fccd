// Package processquota divides the limits of one process among the services that it serves.
//
//   - Pool divides units that are held for some time: requests in flight, bytes of request bodies, connections.
//   - RateLimiter divides units per second: attempts.
//   - Gate decides which requests of a service are admitted when its share of a pool is nearly used up.
//
// Package quotalease implements the quotas of a whole fleet of proxies. Package limiter adds a lock and a clock to the
// types of this package.
//
// # Members
//
// Each service is a member with a minimum, a cap and a weight (Share). The minimum is guaranteed to the member. The
// unused units of a minimum are lent to other members, up to the fraction PoolSettings.Lend of the minimum. The units
// above all minimums are divided by weight.
//
// # Invariants of a Pool
//
//   - Acquire never makes the units in use exceed the total or a member's cap.
//   - A member can always acquire the part of its minimum that is never lent, without waiting.
//   - A member that keeps acquiring holds its whole minimum after PoolSettings.Recall, provided that no unit is held
//     for longer than that.
//   - For units above the minimums, a waiting member below its weighted share has precedence over a member above its
//     own weighted share. Under the same condition, no member therefore waits forever behind members above theirs.
//
// # Use
//
// The package does no I/O, starts no goroutine and reads no clock. Callers pass the time, as a duration on a monotonic
// clock, and serialize all calls on one value. No call blocks.
package processquota
