// Package freshness estimates, in a running proxy, how up to date its endpoint lists are, and lets the proxy refuse
// attempts at endpoints whose list entries may be outdated.
//
// A [Monitor] observes the sources of all endpoint lists that the process follows, and the results of attempts. One
// worker goroutine feeds both into the model of package staleness and publishes a snapshot every 100 ms. Services read
// it through a [ServiceView] without locks and without allocation; no request ever waits for the worker.
//
// The worker is supervised. If it panics or hangs, another one starts from the lists as last received. While the latest
// snapshot is too old, the state of all endpoints counts as unknown, and attempts that must not run twice are refused.
package freshness
