// Package enginetest is a conformance kit for what an engine works with: any front end can be run against Frontend, any
// upstream against Upstream, as connections are against golang.org/x/net/nettest. The kit causes what they must bear:
// responses, cancels and deadlines that race, streams that break off, attempts that end after their request.
package enginetest
