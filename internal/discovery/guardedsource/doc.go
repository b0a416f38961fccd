// Package guardedsource applies the rules of package listguard to the discovery services of a process. A Source delays
// its calls to discovery as the pacer requires, and retains for a limited time the endpoints that a full list suddenly
// lacks. File is the schema of the settings file, deploy/comeback.toml.
package guardedsource
