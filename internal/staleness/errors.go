package staleness

import (
	"fmt"
	"time"
)

// UnknownSourceError is a source or route that the view was not made with.
type UnknownSourceError struct{ Name string }

func (e UnknownSourceError) Error() string {
	return fmt.Sprintf("staleness: %q is no source of this view", e.Name)
}

// Advice is what an operator can do.
func (UnknownSourceError) Advice() string {
	return "The program and its settings differ about what a proxy's view is made of: report it with the log."
}

// NameTakenError is a listed entry with the name of a source that bears on all routes.
type NameTakenError struct{ Name string }

func (e NameTakenError) Error() string {
	return fmt.Sprintf("staleness: entry %q has the name of a source and is left out", e.Name)
}

// Advice is what an operator can do.
func (NameTakenError) Advice() string { return "Give the server another name in the register." }

// InvalidSettingsError are settings that make no sense.
type InvalidSettingsError struct{ Field, Reason string }

func (e InvalidSettingsError) Error() string {
	return fmt.Sprintf("staleness: %s: %s", e.Field, e.Reason)
}

// Advice is what an operator can do.
func (InvalidSettingsError) Advice() string { return "Mend the named field of the fleet's settings." }

// RouteBlindError is a route of which so little is known that nothing beyond its floor is served.
type RouteBlindError struct {
	Route string
	Age   time.Duration // bound of age of the list; without meaning if Known is false
	Known bool
}

func (e RouteBlindError) Error() string {
	if !e.Known {
		return fmt.Sprintf("route %s is blind: nobody knows how old its list is", e.Route)
	}
	return fmt.Sprintf("route %s is blind: its list may be %v old", e.Route, e.Age.Round(time.Millisecond))
}

// Advice is what an operator can do.
func (RouteBlindError) Advice() string {
	return "This proxy answers at once with Retry-After, or serves its floor. Restore its way to the register and to one steward; " +
		"if others hold the route as fresh, take this proxy out of service."
}

// RouteDoubtfulError is a route on which requests that must never run twice go only to servers confirmed since the doubt began.
type RouteDoubtfulError struct {
	Route      string
	Confidence float64 // that acting on it now is right
}

func (e RouteDoubtfulError) Error() string {
	return fmt.Sprintf("route %s is doubtful: acting on its list is right with a chance of %.2f", e.Route, e.Confidence)
}

// Advice is what an operator can do.
func (RouteDoubtfulError) Advice() string {
	return "Requests that must never run twice go only to servers that answered since. Look whether the register answers this proxy, " +
		"and whether a release is going on."
}

// ImplausibleClaimError is an edge's claim about its own view that the steward knows to be wrong.
type ImplausibleClaimError struct {
	Proxy, Source string
	Version       uint64        // that the edge says it confirmed
	ClaimedAge    time.Duration // of age that it claims
	Excess        time.Duration // its view is at least that old, or the claim is from the future by that
	Reason        string
}

func (e ImplausibleClaimError) Error() string {
	return fmt.Sprintf("edge %s claims %s version %d to be at most %v old, which cannot be true: %s (by %v)",
		e.Proxy, e.Source, e.Version, e.ClaimedAge, e.Reason, e.Excess.Round(time.Millisecond))
}

// Advice is what an operator can do.
func (ImplausibleClaimError) Advice() string {
	return "Look at the clock and the register of this edge: its clock jumps or stands still, its register answers with an old list, or " +
		"the process was copied. Until it is mended the map counts the edge as unknown; drain it if it serves what must never run twice."
}
