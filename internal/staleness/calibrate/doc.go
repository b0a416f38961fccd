// Package calibrate tests the estimates of package staleness against a simulation whose truth is known: servers that
// leave, restart and move, a discovery service that lists them, and proxies whose connections to it fail in many ways.
// The simulation runs in virtual time and is a pure function of its seed.
//
// Run plays one simulation and adds to a Result, which compares what the estimate said with the truth. A second,
// simple rule is scored on the same attempts as a baseline: it knows the mean change rate, which no proxy would know,
// and the time since the last message.
package calibrate
