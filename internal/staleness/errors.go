package staleness

import (
	"fmt"
	"time"
)

// UnknownSourceError reports a source name that is not in the settings of the view.
type UnknownSourceError struct{ Name string }

// Error implements error.
func (e UnknownSourceError) Error() string {
	return fmt.Sprintf("staleness: %q is not a source of this view", e.Name)
}

// Advice says what an operator can do about the error.
func (UnknownSourceError) Advice() string {
	return "The program and its settings differ about what a proxy's view is made of: report it with the log."
}

// Code returns the name of the error in messages between processes.
func (UnknownSourceError) Code() string { return "staleness.UnknownSource" }

// NameTakenError reports a listed entry that has the name of a source on which every route depends.
type NameTakenError struct{ Name string }

// Error implements error.
func (e NameTakenError) Error() string {
	return fmt.Sprintf("staleness: entry %q has the name of a source and is left out", e.Name)
}

// Advice says what an operator can do about the error.
func (NameTakenError) Advice() string { return "Give the server another name in the register." }

// Code returns the name of the error in messages between processes.
func (NameTakenError) Code() string { return "staleness.NameTaken" }

// InvalidSettingsError reports a setting that is out of range. Field is its name in the settings file.
type InvalidSettingsError struct{ Field, Reason string }

// Error implements error.
func (e InvalidSettingsError) Error() string {
	return fmt.Sprintf("staleness: %s: %s", e.Field, e.Reason)
}

// Advice says what an operator can do about the error.
func (InvalidSettingsError) Advice() string {
	return "Correct the named field of the fleet's settings."
}

// Code returns the name of the error in messages between processes.
func (InvalidSettingsError) Code() string { return "staleness.BadSettings" }

// RouteBlindError reports a route at level Blind: only its floor is served.
type RouteBlindError struct {
	Route string
	Age   time.Duration // upper bound of the list's age; meaningless if Known is false
	Known bool          // whether Age is known
}

// Error implements error.
func (e RouteBlindError) Error() string {
	if !e.Known {
		return fmt.Sprintf("route %s is blind: nobody knows how old its list is", e.Route)
	}
	return fmt.Sprintf("route %s is blind: its list may be %v old", e.Route, e.Age.Round(time.Millisecond))
}

// Advice says what an operator can do about the error.
func (RouteBlindError) Advice() string {
	return "This proxy answers at once with Retry-After, or serves its floor. Restore its way to the register and to " +
		"one steward; if others hold the route as fresh, take this proxy out of service."
}

// Code returns the name of the error in messages between processes.
func (RouteBlindError) Code() string { return "staleness.EdgeBlind" }

// RouteDoubtfulError reports a route at level Doubtful: requests that are not idempotent go only to servers that
// answered as listed since the route became doubtful.
type RouteDoubtfulError struct {
	Route      string
	Confidence float64 // the probability that acting on the route's list is right
}

// Error implements error.
func (e RouteDoubtfulError) Error() string {
	return fmt.Sprintf("route %s is doubtful: acting on its list is right with a chance of %.2f", e.Route, e.Confidence)
}

// Advice says what an operator can do about the error.
func (RouteDoubtfulError) Advice() string {
	return "Requests that must never run twice go only to servers that answered since. Look whether the register " +
		"answers this proxy, and whether a release is going on."
}

// Code returns the name of the error in messages between processes.
func (RouteDoubtfulError) Code() string { return "staleness.ViewDoubtful" }

// ImplausibleClaimError reports a claim of a proxy about its own view that contradicts the versions or the clock of the
// control-plane server.
type ImplausibleClaimError struct {
	Proxy      string
	Source     string        // empty if the proxy's clock is wrong
	Version    uint64        // the version that the proxy claims to hold
	ClaimedAge time.Duration // the maximum age that the proxy claims for that version
	Excess     time.Duration // the actual minimum age of that version, or the clock's deviation
	Reason     string
}

// Error implements error.
func (e ImplausibleClaimError) Error() string {
	return fmt.Sprintf("edge %s claims %s version %d to be at most %v old, which cannot be true: %s (by %v)",
		e.Proxy, e.Source, e.Version, e.ClaimedAge, e.Reason, e.Excess.Round(time.Millisecond))
}

// Advice says what an operator can do about the error.
func (ImplausibleClaimError) Advice() string {
	return "Look at the clock and the register of this edge: its clock jumps or stands still, its register answers " +
		"with an old list, or the process was copied. Until it is fixed the map counts the edge as unknown; drain " +
		"it if it serves what must never run twice."
}

// Code returns the name of the error in messages between processes.
func (ImplausibleClaimError) Code() string { return "staleness.ClaimCannotBeTrue" }
