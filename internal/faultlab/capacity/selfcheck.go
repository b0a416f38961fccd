package capacity

import (
	"context"
	"fmt"
	"time"
)

// Trial is one trial of the measuring: a run with a proxy that has a flaw, or none.
type Trial struct {
	Flaw  string
	Finds func(r *Result) error // nil if the summary says what it must
}

// Trials are a sound run, and one for each flaw.
func Trials() []Trial {
	return []Trial{
		{"", func(r *Result) error {
			if !r.Holds() {
				return fmt.Errorf("nothing is wrong with it, and it is said not to hold")
			}
			return nil
		}},
		{FlawNothing, func(r *Result) error {
			return found(r.LeftBehind == 1 && r.InForce == 0 && r.Wrong == 0, "left_behind 1, in_force 0")
		}},
		{FlawLate, func(r *Result) error {
			return found(r.InForce == r.Changes && r.Max >= ms(LateBy) && r.P50 >= ms(LateBy) && r.LeftBehind == 0, "in_force_max_ms "+LateBy.String()+" and more")
		}},
		{FlawWrong, func(r *Result) error { return found(r.Wrong == 1, "wrong_content 1") }},
		{FlawLies, func(r *Result) error {
			return found(r.LeftBehind == 1 && r.InForce == 0 && r.Wrong == 1, "left_behind 1, wrong_content 1, in_force 0")
		}},
	}
}

func found(is bool, what string) error {
	if is {
		return nil
	}
	return fmt.Errorf("the summary does not say %s", what)
}

// Small is a run for a trial: 12 hollow proxies and a few seconds of changes.
func Small() Settings {
	s := Defaults()
	s.Proxies, s.Real, s.Each, s.Services, s.Routes, s.Tenants = 13, 1, 4, 12, 60, 200
	s.Every, s.Duration, s.Rest, s.Settle = time.Second, 3*time.Second, time.Second, 2*time.Minute
	s.Watch, s.Enough = 200*time.Millisecond, 50 // a fleet this small has few requests
	return s
}

// Try does one.
func (t Trial) Try(ctx context.Context, s Settings) (*Result, error) {
	s.Flaws = nil
	if t.Flaw != "" {
		s.Flaws = map[int]string{s.hollow() / 2: t.Flaw}
	}
	r, err := Play(ctx, s)
	if err != nil {
		return nil, err
	}
	return r, t.Finds(r)
}
