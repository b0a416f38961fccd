package enginetest

import (
	"context"
	"testing"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// endedStream is a stream that ignores its end.
type endedStream struct{}

func (endedStream) End(error) {}

// A streamed response that comes too late must not end with decision.OK: a front end would answer it as a complete and
// empty response.
func TestLateStreamIsNoSuccess(t *testing.T) {
	for _, tt := range []struct {
		name    string
		started bool  // result of StartStream: whether the engine takes the stream
		cause   error // cause with which the attempt's context ends
		want    decision.Result
	}{
		{"stream refused after the timeout", false, context.DeadlineExceeded, decision.Cancelled},
		{"stream refused after a cancel", false, context.Canceled, decision.Cancelled},
		{"stream accepted, attempt timed out", true, context.DeadlineExceeded, decision.Timeout},
		{"stream accepted and delivered", true, context.Canceled, decision.OK},
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
			t.Errorf("%s: Exchange result = %v, want %v", tt.name, got, tt.want)
		}
	}
}
