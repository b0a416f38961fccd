// Package admin implements the admin server, through which operators control a proxy.
//
// Each connection carries one command on one line, such as "DETACH s-1" or "INFO". The reply is a line that starts with
// 200 if the command succeeded, or with 400 and the reason if it failed. The commands that return a report reply with a
// JSON object on one line, followed by the line EOF.
//
// An operator's tool waits about a second for the reply. Each connection therefore has its own goroutine, no command
// waits for the proxy's event loop, and if too many connections have not sent a command, the oldest of them are closed.
package admin
