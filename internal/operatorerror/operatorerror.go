// Package operatorerror returns advice on what an operator can do about an error. Errors that operators see have their
// own types with an Advice method. The log, the admin protocol and the operators' documentation take the advice from
// there.
package operatorerror

import (
	"errors"
	"strings"
)

// Error is an error with advice for operators.
type Error interface {
	error
	// Advice returns the operator's next step in one or two sentences. It is the same for all errors of a type: it
	// contains no values of the particular error.
	Advice() string
}

// AdviceOf returns the advice of err and of all errors that it wraps, joined with spaces in the order of wrapping.
// Equal advice appears once. It returns "" if there is no advice.
func AdviceOf(err error) string {
	var parts []string
	seen := map[string]bool{}
	walk(err, func(err error) {
		//nolint:errorlint // walk visits each wrapped error separately
		e, ok := err.(Error)
		if !ok {
			return
		}
		if advice := e.Advice(); !seen[advice] {
			seen[advice] = true
			parts = append(parts, advice)
		}
	})
	return strings.Join(parts, " ")
}

// walk calls visit for an error and for all errors that it wraps, depth first.
func walk(err error, visit func(error)) {
	if err == nil {
		return
	}
	visit(err)
	//nolint:errorlint // walk unwraps the error itself
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, inner := range joined.Unwrap() {
			walk(inner, visit)
		}
		return
	}
	walk(errors.Unwrap(err), visit)
}
