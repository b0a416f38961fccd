// Package api defines the control plane's interface, which all programs of a fleet share: the configuration file, the
// messages between proxies, control-plane servers and operators, and the calls that carry them.
//
// The control plane is a small, odd number of servers that agree by Raft (packages consensus and server) on two
// things: which proxy holds which quota leases (package quotalease), and which policy the proxies run (packages
// policy/store and policy/rollout). Every program of a fleet reads the same file, deploy/fleet.toml, into a [Config].
//
// Messages are CBOR over HTTP. Names of fields and paths on the wire are fixed by struct tags and constants: they stay
// as they are when Go names change, because proxies and servers of two releases run side by side. The keys of the file
// and many texts that operators read use other words, such as steward for a control-plane server and budget for a
// quota; docs/GLOSSARY.md maps them to the terms used here.
//
// A server that rejects a call answers with a [RemoteError]. Callers get that value back as an error; every other
// failure of a call is a [ServerUnreachableError].
package api
