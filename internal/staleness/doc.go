// Package staleness estimates how old the endpoint lists and policies that a proxy holds may be, and the probability
// that acting on them now is right.
//
// # Model
//
// A View has sources, such as a discovery watch. A source lists entries (servers), or is one value on which every
// route depends. For each source the view keeps a posterior over three states: the source is followed live; the watch
// is silent (nothing arrives any more); or the source answers with stale data. The last two consist of hypotheses about
// the time at which the content was last current. An entry is as listed (unchanged) if the listed incarnation still
// runs at the entry's address. Heartbeats, updates, failed calls and the answers of servers update the
// posterior by Bayes' rule; see filter.
//
// Three estimates feed it:
//
//   - GapDetector, an accrual failure detector over the gaps between messages: the probability that a live
//     watch is silent for a given time.
//   - ChangeRate, how often entries of a kind change: the probability that an entry is unchanged after a given time.
//   - Evidence, which raises or lowers the probability of a single entry.
//
// # Results
//
// View.Confidence is the probability that an entry is as listed, View.Age an upper bound on the age of a source's
// content. View.Route condenses them into a Level for the route, which falls at once and rises after a delay, and
// PermissionFor returns what a level permits for a request. View.Tick puts all of it into a Snapshot, which many
// goroutines may read at once.
//
// A FleetMap, in a control-plane server, collects the reports of all proxies and rejects implausible claims.
//
// # Rules for callers
//
// The package is pure: no I/O, no goroutine, no clock, and nothing blocks. Callers pass the time of one monotonic
// clock, which must not go back, and call a View or FleetMap from one goroutine at a time. Rates are events per
// second and probabilities are within 0 and 1 unless the name says otherwise.
//
// docs/fleet-staleness-design.md compares the alternatives, and package calibrate tests the estimates.
package staleness
