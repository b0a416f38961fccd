package operatorerror_test

import (
	"errors"
	"fmt"
	"testing"

	"lapisspread/internal/operatorerror"
)

type linkDownError struct{ link string }

func (e linkDownError) Error() string { return "the link to " + e.link + " is down" }
func (linkDownError) Advice() string  { return "Repair the link." }

type diskFullError struct{ error }

func (diskFullError) Advice() string  { return "Free some space." }
func (e diskFullError) Unwrap() error { return e.error }

func TestAdviceOfFindsEachAdviceOnceInAllWrappedErrors(t *testing.T) {
	wrapped := diskFullError{fmt.Errorf("writing: %w", linkDownError{"a"})}
	err := fmt.Errorf("two errors: %w", errors.Join(wrapped, linkDownError{"b"}))
	if got, want := operatorerror.AdviceOf(err), "Free some space. Repair the link."; got != want {
		t.Errorf("AdviceOf(%q) = %q, want %q", err, got, want)
	}
	if got := operatorerror.AdviceOf(errors.New("plain")); got != "" {
		t.Errorf("AdviceOf of an error without advice = %q, want \"\"", got)
	}
}
