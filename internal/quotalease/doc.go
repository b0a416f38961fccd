// Package quotalease enforces quotas over a whole fleet of proxies by leasing parts of each quota to the proxies.
//
// # What is leased
//
// A quota (Quota) is a limit that all proxies share: units a second with a burst (Rate), or units in flight at once
// (InFlight). Control-plane servers lease parts of it to proxies through a replicated log. A Lease names one
// process (HolderID: a name and an incarnation), an amount, a burst and a duration. A floor (Floor) is a static
// part of a quota that belongs to a holder's name and needs no lease: it is what a proxy can spend while it is cut
// off from all servers.
//
// # The parts
//
//   - Divide computes how much each process should have: weighted max-min fairness, minimums first.
//   - StateMachine is the replicated state of the log. It rejects every command that would exceed a limit, from any
//     proposer.
//   - Allocator is the local, unreplicated state of each server: when each lease has expired for certain by the
//     server's own clock, and the latest request of each process. On the leader it plans the next commands.
//   - Holder is the lease holder in each proxy: it requests leases, accepts them, and admits or rejects each unit.
//   - Fence is for a server behind the proxies: it rejects attempts that carry a stale fencing token.
//
// # Who may spend, and when
//
// A holder may spend what its newest accepted lease permits, until that lease expires by its own clock. It may also
// spend the floors that belong to its name, while it is the only process with that name that may use them
// (Holder.SetFloorClaim). No other process may spend anything. A process that replaces another one under the same name
// is a different holder, because its incarnation differs.
//
// # The invariant
//
// At any time, the units that all processes together may still spend are at most the limit of the quota, and the levels
// of all token buckets sum to at most its burst. This holds even if messages are lost, late, repeated or reordered, and
// if processes are stopped, restarted, or restored from an older copy of their store. It follows from three steps:
//
//  1. What the state machine counts as outstanding sums to at most the limit, because it rejects any command that
//     would exceed it.
//  2. What a holder may spend is counted as outstanding. The state machine counts a holder with the largest of all
//     its leases that are neither acknowledged as replaced nor expired, because the newest one may never have
//     arrived.
//  3. A lease expires for its holder before it expires for any server. The holder counts the duration from when it
//     sent the request that the lease answers; a server counts from when it applied the log entry, which is later,
//     and extends the duration by the margin for clock drift.
//
// Units in flight outlive the lease under which they were acquired. So a lease of an InFlight quota is counted for its
// duration plus Quota.MaxHoldTime, and the units that a holder has in flight above a newer, smaller lease stay counted
// as a residual. The token bucket starts empty with the first lease after a gap, because its former content may have
// been leased to others since; so the levels of all buckets never sum to more than the burst.
//
// A lowered limit takes full effect once the last lease of the previous configuration has expired. One lease duration
// after messages arrive again, the leased amount is the smaller of the limit and the requested amount.
//
// # Epochs and fencing tokens
//
// A Token is a pair of epoch and log index, and grows strictly with the log. Each lease has a token. A holder refuses
// a lease whose token is not above the highest that it has accepted, so a late reply cannot reinstate an older lease.
// A process that was paused between admitting an attempt and sending it may send after its lease has expired;
// Holder.Revalidate rejects such an attempt, and a Fence rejects an attempt that was delayed after this check. The
// epoch increases with each bootstrap of the fleet (Command.Bootstrap). Holders refuse every epoch below the highest
// that they have received, so servers of an earlier bootstrap cannot lease the quota a second time.
//
// # Clock drift
//
// No part of this package reads a clock or compares the clocks of two machines; each process measures durations with
// its own monotonic clock. A clock may run faster or slower than true time by the fraction FleetConfig.MaxDrift, for
// example .001. Servers extend a duration by DriftMargin, so that it has also ended by the slowest clock; holders
// refill token buckets more slowly by the same drift.
//
// # Stores that lose entries
//
// A server whose store is an older copy may have lost leases that it had confirmed. After each start, and after another
// leader has overwritten entries that it had confirmed, it stays silent for StartupSilence: it does not vote, confirm
// entries or lead. After that time every lease that it may have lost has expired.
//
// # Use
//
// The package does no I/O, starts no goroutines and reads no clock. Callers pass the time, as a duration on their
// monotonic clock, and serialize all calls on a value. No call blocks. Errors that operators see have their own types,
// with a code for messages between processes (Code) and the operator's next step (Advice). The full safety argument is
// in docs/fleet-budgets-design.md. Package modelcheck checks the invariant in small systems: with all safeguards, and
// with single safeguards disabled, which must lead to a violation.
package quotalease
