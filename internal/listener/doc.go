// Package listener applies the rules of package admission to the client connections of a process.
//
//   - ConnLimiter makes admission.ConnLimiter safe for concurrent use. It also closes the connections to evict, through
//     the Conn interface, and persists the blocks that operators set. All front ends of a process share one.
//   - Listener keeps accepting connections while the process has no file descriptor left.
//   - RequestLimiter makes admission.RequestLimiter safe for concurrent use. Each service has its own.
//   - File is the schema of deploy/admission.toml.
package listener
