// Package freshness judges, in a running proxy, how old its endpoint lists may be, and lets the proxy refuse attempts
// at endpoints that may no longer be what the list says.
//
// A [Monitor] observes the sources of all endpoint lists that the process follows, and the results of attempts. One
// worker goroutine feeds both into the model of package staleness and publishes a snapshot every 100 ms. Services read
// it through a [ServiceView] without locks and without allocation; no request ever waits for the worker.
//
// The worker is supervised. If it panics or hangs, another one starts from the lists as last heard. A snapshot that is
// too old then counts as unknown: attempts that must not run twice are refused until there is a new one.
package freshness
