package staleness

import (
	"fmt"
	"time"
)

// UnknownSourceError is a source that the view was not made with.
type UnknownSourceError struct{ Name string }

// Error implements error.
func (e UnknownSourceError) Error() string {
	return fmt.Sprintf("staleness: %q is no source of this view", e.Name)
}

// Advice is what an operator can do.
func (UnknownSourceError) Advice() string {
	return "The program and its settings differ about what a proxy's view is made of: report it with the log."
}

// Code is the name of the error in messages between processes.
func (UnknownSourceError) Code() string { return "staleness.UnknownSource" }

// NameTakenError is a listed entry with the name of a source on which every route depends.
type NameTakenError struct{ Name string }

// Error implements error.
func (e NameTakenError) Error() string {
	return fmt.Sprintf("staleness: entry %q has the name of a source and is left out", e.Name)
}

// Advice is what an operator can do.
func (NameTakenError) Advice() string { return "Give the server another name in the register." }

// Code is the name of the error in messages between processes.
func (NameTakenError) Code() string { return "staleness.NameTaken" }

// InvalidSettingsError is a setting out of its range. Field is its name in the file.
type InvalidSettingsError struct{ Field, Reason string }

// Error implements error.
func (e InvalidSettingsError) Error() string {
	return fmt.Sprintf("staleness: %s: %s", e.Field, e.Reason)
}

// Advice is what an operator can do.
func (InvalidSettingsError) Advice() string { return "Mend the named field of the fleet's settings." }

// Code is the name of the error in messages between processes.
func (InvalidSettingsError) Code() string { return "staleness.BadSettings" }

// RouteBlindError is a route at level Blind: nothing beyond its floor is served.
type RouteBlindError struct {
	Route string
	Age   time.Duration // bound of the list's age; without meaning if Known is false
	Known bool
}

// Error implements error.
func (e RouteBlindError) Error() string {
	if !e.Known {
		return fmt.Sprintf("route %s is blind: nobody knows how old its list is", e.Route)
	}
	return fmt.Sprintf("route %s is blind: its list may be %v old", e.Route, e.Age.Round(time.Millisecond))
}

// Advice is what an operator can do.
func (RouteBlindError) Advice() string {
	return "This proxy answers at once with Retry-After, or serves its floor. Restore its way to the register and to " +
		"one steward; if others hold the route as fresh, take this proxy out of service."
}

// Code is the name of the error in messages between processes.
func (RouteBlindError) Code() string { return "staleness.EdgeBlind" }

// RouteDoubtfulError is a route at level Doubtful: requests that are not idempotent go only to servers that answered
// since.
type RouteDoubtfulError struct {
	Route      string
	Confidence float64 // the probability that acting on the route's list is right
}

// Error implements error.
func (e RouteDoubtfulError) Error() string {
	return fmt.Sprintf("route %s is doubtful: acting on its list is right with a chance of %.2f", e.Route, e.Confidence)
}

// Advice is what an operator can do.
func (RouteDoubtfulError) Advice() string {
	return "Requests that must never run twice go only to servers that answered since. Look whether the register " +
		"answers this proxy, and whether a release is going on."
}

// Code is the name of the error in messages between processes.
func (RouteDoubtfulError) Code() string { return "staleness.ViewDoubtful" }

// ImplausibleClaimError is a claim of a proxy about its own view that the control-plane server knows to be wrong.
type ImplausibleClaimError struct {
	Proxy      string
	Source     string        // empty if the fault is in the proxy's clock
	Version    uint64        // that the proxy claims to hold
	ClaimedAge time.Duration // at most, of that version
	Excess     time.Duration // the least age of that version, or the clock's deviation
	Reason     string
}

// Error implements error.
func (e ImplausibleClaimError) Error() string {
	return fmt.Sprintf("edge %s claims %s version %d to be at most %v old, which cannot be true: %s (by %v)",
		e.Proxy, e.Source, e.Version, e.ClaimedAge, e.Reason, e.Excess.Round(time.Millisecond))
}

// Advice is what an operator can do.
func (ImplausibleClaimError) Advice() string {
	return "Look at the clock and the register of this edge: its clock jumps or stands still, its register answers " +
		"with an old list, or the process was copied. Until it is mended the map counts the edge as unknown; drain " +
		"it if it serves what must never run twice."
}

// Code is the name of the error in messages between processes.
func (ImplausibleClaimError) Code() string { return "staleness.ClaimCannotBeTrue" }
