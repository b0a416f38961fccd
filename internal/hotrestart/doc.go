// Package hotrestart is what one process of a proxy leaves to the next: the clients' listening socket, which the
// platform holds and every process inherits, and a few files in a directory that the processes share.
//
// The files of a proxy are named lapisspread-NAME.WHAT, with its name in hexadecimal: "out" is a JSON array of the
// backends that an operator has detached, sorted; "serving" names the process that serves; "lock" and "life" are empty
// and locked, while the first is changed and as long as a process lives.
package hotrestart
