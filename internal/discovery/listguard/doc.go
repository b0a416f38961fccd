// Package listguard decides what a proxy may believe and call after a mass restart, of proxies or of discovery itself.
// A Guard keeps backends for a while that a full list suddenly lacks many of; a Pacer says when the next call to
// discovery may be made, so that the calls of a fleet that starts in one moment are spread.
//
// The package is pure: no I/O, no goroutine, no clock. Lists and results of calls come in, lists and delays go out. A
// Guard or Pacer is not safe for concurrent use.
package listguard
