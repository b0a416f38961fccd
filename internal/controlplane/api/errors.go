package api

import "fmt"

// UnknownSteward is returned for a name that the file doesn't have.
type UnknownSteward struct{ Name string }

func (e UnknownSteward) Error() string { return fmt.Sprintf("the fleet has no steward %q", e.Name) }

// Advice is what an operator can do.
func (UnknownSteward) Advice() string { return "Name one of the stewards in the fleet's file." }

// BadMessage is returned for a message that cannot be read.
type BadMessage struct{ Why string }

func (e BadMessage) Error() string { return "a message that can't be read: " + e.Why }

// Advice is what an operator can do.
func (BadMessage) Advice() string {
	return "See that nothing but proxies and stewards of one release speaks to the stewards' addresses."
}

// Unreachable is returned when a steward gives no answer of its own.
type Unreachable struct {
	Address string
	Err     error
}

func (e Unreachable) Error() string { return fmt.Sprintf("steward at %s: %v", e.Address, e.Err) }
func (e Unreachable) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (Unreachable) Advice() string {
	return "See whether the steward runs and whether the network leads to it; proxies ask the others, and go on with their leases and floors until then."
}
