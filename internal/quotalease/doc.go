// Package quotalease divides quotas that hold over a whole fleet of proxies by leasing parts of them.
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
//   - Divide computes who should have how much: weighted max-min fairness, minimums first.
//   - StateMachine is what the log replicates. It rejects every command that would break a limit, whoever proposes
//     it.
//   - Allocator is what each server keeps beside the log and never shares: by its own clock, when each lease has
//     certainly expired, and the latest request of each process. On the leader it plans the next commands.
//   - Holder is the lease holder, in each proxy: it requests, takes leases, and admits or rejects each unit.
//   - Fence is for a server behind the proxies: it rejects attempts that carry a stale fencing token.
//
// # Who may spend, and when
//
// A holder may spend what the newest lease that it took permits, until that lease expires by its own clock, and the
// floors of its name while it has the exclusive claim to them (Holder.SetFloorClaim). Nobody else may spend
// anything. A proxy that another one replaces under the same name is another holder, because its incarnation
// differs.
//
// # The invariant
//
// At every moment all that any process may still spend sums to no more than the limit of the quota, and the levels
// of all token buckets to no more than its burst, whatever messages are lost, late, repeated or reordered, and
// whichever process is stopped, restarted, or restored from an older copy of its store. Three steps give it:
//
//  1. What the state machine counts as outstanding sums to no more than the limit, because it rejects any command
//     after which it would not.
//  2. What a holder may spend is counted as outstanding. The state machine counts a holder with the largest of all
//     its leases that are neither acknowledged as replaced nor expired, because the newest one may never have
//     arrived.
//  3. A lease expires for its holder before it expires for any server. The holder counts the duration from when it
//     sent the request that the lease answers; a server counts from when it applied the log entry, which is later,
//     and stretches the duration by the clock drift.
//
// Units in flight outlive the lease under which they began, so a lease of them is counted for its duration and
// Quota.MaxHoldTime, and what a holder has in flight above a newer, smaller lease stays counted as a residual. A
// token bucket arrives empty with the first lease after a gap, because what it held may have been leased to others
// since; so the levels of all buckets never sum to more than the burst.
//
// A limit that is lowered holds once the last lease under the previous configuration has expired. Once messages
// arrive again and one lease duration has passed, what is leased is the smaller of the limit and of what is
// requested.
//
// # Epochs and fencing tokens
//
// A Token is a pair of epoch and log index, and grows strictly with the log. Each lease has one. A holder refuses a
// lease whose token is not above the highest that it took, so a late reply cannot bring an older lease back. A
// process that was stopped between admitting an attempt and sending it may send after its lease has expired;
// Holder.Revalidate rejects that, and a Fence catches what is stopped after the check. The epoch counts bootstraps
// of the fleet (Command.Bootstrap): holders refuse every lower epoch than they know, so servers of an earlier
// bootstrap cannot spend the quota twice.
//
// # Clock drift
//
// No part reads a clock or compares the clocks of two machines; each measures durations with its own monotonic
// clock. A clock may run faster or slower than true time by FleetConfig.MaxDrift, a part such as .001. Servers
// stretch a duration by DriftMargin, so that it is over by the slowest clock; holders fill token buckets more
// slowly by the same drift.
//
// # Stores that lose entries
//
// A server whose store is an older copy may have forgotten leases that it confirmed. After each start, and after
// another leader overwrote entries that it confirmed, it stays silent for StartupSilence: it neither votes, nor
// confirms entries, nor leads. By then every lease that it may have forgotten has expired.
//
// # Use
//
// All of it is pure: no I/O, no goroutine, no clock. Callers pass the time, as a duration on their monotonic clock,
// and serialize all calls on one value. No call blocks. Errors that operators see have types of their own, with a
// code for messages (Code) and the operator's next step (Advice). The safety argument in full is in
// docs/fleet-budgets-design.md; package modelcheck checks the invariant in small systems, with each safeguard and
// without it.
package quotalease
