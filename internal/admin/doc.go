// Package admin serves the operators' address of a proxy.
//
// Each connection carries one command on one line, such as "DETACH s-1" or "INFO". The reply is a line that starts with
// 200 if the command was carried out, or with 400 and the reason if it was not. Commands that report answer with one JSON
// object on a line, and then a line EOF.
//
// An operator's tool waits for about a second. Each connection therefore has a goroutine of its own, no command waits for
// the proxy's event loop, and connections that stay silent are closed when their number reaches a bound.
package admin
