// Package operatorerror is the form of errors that an operator is told of: each has a type of its own, works with errors.Is and
// errors.As, and says what the operator can do. That text stands in one place, beside the type; the log, the console
// and the page for staff take it from there.
package operatorerror

import (
	"errors"
	"strings"
)

// Error is an error that says what an operator can do.
type Error interface {
	error
	// Advice is what an operator can do, in a sentence or two, without the figures of the one case.
	Advice() string
}

// AdviceOf is the advice of an error and of all that it wraps, each once, in the order in which they are found; empty if
// there is none.
func AdviceOf(err error) string {
	var all []string
	seen := map[string]bool{}
	var walk func(error)
	walk = func(err error) {
		if err == nil {
			return
		}
		if e, ok := err.(Error); ok && !seen[e.Advice()] {
			seen[e.Advice()] = true
			all = append(all, e.Advice())
		}
		switch w := err.(type) {
		case interface{ Unwrap() []error }:
			for _, inner := range w.Unwrap() {
				walk(inner)
			}
		default:
			walk(errors.Unwrap(err))
		}
	}
	walk(err)
	return strings.Join(all, " ")
}
