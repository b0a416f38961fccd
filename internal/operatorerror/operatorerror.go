// Package operatorerror finds what an operator can do about an error. Errors that operators see have types of their
// own with an Advice method. The log, the admin protocol and the operators' page take the advice from there.
package operatorerror

import (
	"errors"
	"strings"
)

// Error is an error that knows what an operator can do about it.
type Error interface {
	error
	// Advice returns the operator's next step in a sentence or two, without values of the one case.
	Advice() string
}

// AdviceOf returns the advice of an error and of all errors that it wraps, each once, in the order in which they are
// found; empty if there is none.
func AdviceOf(err error) string {
	var found []string
	seen := map[string]bool{}
	walk(err, func(err error) {
		//nolint:errorlint // walk visits each wrapped error by itself
		e, ok := err.(Error)
		if !ok {
			return
		}
		if advice := e.Advice(); !seen[advice] {
			seen[advice] = true
			found = append(found, advice)
		}
	})
	return strings.Join(found, " ")
}

// walk calls visit for an error and for all that it wraps, depth first.
func walk(err error, visit func(error)) {
	if err == nil {
		return
	}
	visit(err)
	//nolint:errorlint // this is the unwrapping itself
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, inner := range joined.Unwrap() {
			walk(inner, visit)
		}
		return
	}
	walk(errors.Unwrap(err), visit)
}
