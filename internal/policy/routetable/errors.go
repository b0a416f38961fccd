package routetable

import (
	"fmt"
	"strings"
)

// maxNamedServices is the maximum number of services that the text of a MissingServicesError names.
const maxNamedServices = 20

// The texts and the advice of the errors in this file are sent to the control-plane servers, so they must not change.

// MissingServicesError means that routes have target services that the proxy does not have.
type MissingServicesError struct {
	// Names are the missing services in ascending order.
	Names []string
}

// Error implements error.
func (e MissingServicesError) Error() string {
	const text = "the file of services does not have "
	if more := len(e.Names) - maxNamedServices; more > 0 {
		return fmt.Sprintf("%s%s, and %d more", text, strings.Join(e.Names[:maxNamedServices], ", "), more)
	}
	return text + strings.Join(e.Names, ", ")
}

// Code returns the identifier of this error in messages between processes.
func (MissingServicesError) Code() string { return "policyroutes.MissingServices" }

// Advice implements operatorerror.Error. The operator has to add the services to the proxy's file of services and
// reload it. Until then the proxy uses its previous routes.
func (MissingServicesError) Advice() string {
	return "Enter the services in the proxy's file of services and have it read again; " +
		"until then the routes before go on."
}

// InvalidRulesError means that the rules of a policy cannot be compiled.
type InvalidRulesError struct {
	Kind string // which rules: "routes" or "blocks"
	Err  error  // cause
}

// Error implements error.
func (e InvalidRulesError) Error() string { return fmt.Sprintf("the policy's %s: %v", e.Kind, e.Err) }

// Unwrap returns the cause.
func (e InvalidRulesError) Unwrap() error { return e.Err }

// Code returns the identifier of this error in messages between processes.
func (InvalidRulesError) Code() string { return "policyroutes.BadRoutes" }

// Advice implements operatorerror.Error. The proxy uses its previous routes until the teams whose rules are named offer
// corrected files.
func (InvalidRulesError) Advice() string {
	return "The routes before go on. Have the teams whose rules are named mend them, and offer their files again."
}
