// Package listener applies the rules of package admission to the client connections of a process.
//
//   - ConnLimiter is the lock around admission.ConnLimiter. It evicts connections through the Conn interface, and
//     persists the blocks that operators set. All frontends of a process share one.
//   - Listener accepts connections also while the process has no file descriptor left.
//   - RequestLimiter is the lock around admission.RequestLimiter, for one service.
//   - File is the schema of deploy/admission.toml.
package listener
