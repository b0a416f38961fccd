// Package hotrestart passes the state of a proxy from one process to the next: the clients' listening socket, which the
// platform keeps open and every process inherits, and a few files in a directory that the processes share.
//
// The files of a proxy are named lapisspread-NAME.SUFFIX, where NAME is the proxy's name in hexadecimal. The suffixes
// are:
//
//   - "out" is a sorted JSON array of the IDs of the backends that an operator has detached.
//   - "serving" contains the ID of the process that serves.
//   - "lock" is empty. It is locked while a process changes "out".
//   - "claimed-ids" is a table of the request IDs that the processes have claimed; see package sharedids.
//   - "life" is empty. It is locked for as long as a process lives.
package hotrestart
