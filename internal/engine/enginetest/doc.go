// Package enginetest has conformance tests for the front ends and upstreams that an engine works with: Frontend tests a
// front end and Upstream an upstream, as golang.org/x/net/nettest tests connections. The tests create the situations
// that an implementation must handle: races between responses, cancels and deadlines, streams that break off, and
// attempts that end after their request.
package enginetest
