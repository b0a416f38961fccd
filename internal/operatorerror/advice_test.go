package operatorerror_test

import (
	"errors"
	"fmt"
	"testing"

	"lapisspread/internal/operatorerror"
)

type cut struct{ link string }

func (e cut) Error() string { return "the link to " + e.link + " is cut" }
func (cut) Advice() string  { return "Mend the link." }

type full struct{ error }

func (full) Advice() string  { return "Make room." }
func (f full) Unwrap() error { return f.error }

func TestAdviceIsFoundOnceInAllThatIsWrapped(t *testing.T) {
	err := fmt.Errorf("both: %w", errors.Join(full{fmt.Errorf("of: %w", cut{"a"})}, cut{"b"}))
	if got, want := operatorerror.AdviceOf(err), "Make room. Mend the link."; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := operatorerror.AdviceOf(errors.New("plain")); got != "" {
		t.Errorf("a plain error gives %q", got)
	}
}
