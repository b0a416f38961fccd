// Package calibrate tests the estimates of package staleness against a simulation whose true state is known: servers
// that leave, restart and move, a discovery service that lists them, and proxies whose connections to it fail in many
// ways. The simulation runs in virtual time and is a pure function of its seed.
//
// Run runs one simulation and adds its outcome to a Result, which compares the estimates with the true state. A simple
// baseline is scored on the same attempts: it uses the true mean change rate, which no proxy would know, and the time
// since the last message.
package calibrate
