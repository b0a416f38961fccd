package enginetest

import (
	"context"
	"testing"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

type endedStream struct{}

func (endedStream) End(error) {}

// A streamed response that comes too late is no success: a front end would answer it as complete and empty.
func TestLateStreamIsNoSuccess(t *testing.T) {
	for _, tt := range []struct {
		name    string
		started bool // the engine takes the stream at first
		cause   error
		want    decision.Result
	}{
		{"refused after the timeout", false, context.DeadlineExceeded, decision.Cancelled},
		{"refused after a cancel", false, context.Canceled, decision.Cancelled},
		{"timed out before the engine took it", true, context.DeadlineExceeded, decision.Timeout},
		{"taken to its end", true, context.Canceled, decision.OK},
	} {
		script := &Script{Next: func(int, engine.Attempt) Step {
			return Step{Stream: func() engine.Stream { return endedStream{} }}
		}}
		ctx, cancel := context.WithCancelCause(context.Background())
		attempt := engine.Attempt{StartStream: func(engine.Stream) bool {
			cancel(tt.cause)
			return tt.started
		}}
		if got, _ := script.Exchange(ctx, attempt); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
