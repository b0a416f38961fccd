package api

import "fmt"

// UnknownServerError is returned for a name that the file doesn't have.
type UnknownServerError struct{ Name string }

func (e UnknownServerError) Error() string { return fmt.Sprintf("the fleet has no steward %q", e.Name) }

// Advice is what an operator can do.
func (UnknownServerError) Advice() string { return "Name one of the stewards in the fleet's file." }

// MalformedMessageError is returned for a message that cannot be read.
type MalformedMessageError struct{ Reason string }

func (e MalformedMessageError) Error() string { return "a message that can't be read: " + e.Reason }

// Advice is what an operator can do.
func (MalformedMessageError) Advice() string {
	return "See that nothing but proxies and stewards of one release speaks to the stewards' addresses."
}

// ServerUnreachableError is returned when a steward gives no answer of its own.
type ServerUnreachableError struct {
	Address string
	Err     error
}

func (e ServerUnreachableError) Error() string {
	return fmt.Sprintf("steward at %s: %v", e.Address, e.Err)
}
func (e ServerUnreachableError) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (ServerUnreachableError) Advice() string {
	return "See whether the steward runs and whether the network leads to it; proxies ask the others, and go on with their leases and floors until then."
}
