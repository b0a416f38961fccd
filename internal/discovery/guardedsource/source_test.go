package guardedsource

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// scriptedSource is a discovery service that returns the lists and errors that a test provides.
type scriptedSource struct {
	lists   chan engine.EndpointList
	errs    []error         // results of its next calls; nil for success
	calls   []time.Duration // times of all calls since started
	started time.Time
}

func (r *scriptedSource) Addr() string { return "discovery" }
func (r *scriptedSource) Close()       {}
func (r *scriptedSource) call() error {
	r.calls = append(r.calls, time.Since(r.started))
	if len(r.errs) == 0 {
		return nil
	}
	err := r.errs[0]
	r.errs = r.errs[1:]
	return err
}
func (r *scriptedSource) Fetch(context.Context) (engine.EndpointList, error) {
	if err := r.call(); err != nil {
		return engine.EndpointList{}, err
	}
	return <-r.lists, nil
}
func (r *scriptedSource) Watch(ctx context.Context, _ uint32, deliver func(engine.EndpointList)) error {
	if err := r.call(); err != nil {
		return err
	}
	for {
		select {
		case l, open := <-r.lists:
			if !open {
				return errors.New("the watch was closed by the test")
			}
			deliver(l)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// retryLater is a RetryAfterError with the given delay.
type retryLater time.Duration

func (l retryLater) Error() string             { return "retry later" }
func (l retryLater) RetryAfter() time.Duration { return time.Duration(l) }

// fullList returns a full list with a ready endpoint for each name.
func fullList(names ...string) engine.EndpointList {
	l := engine.EndpointList{Full: true, Version: 1}
	for _, name := range names {
		l.Endpoints = append(l.Endpoints, engine.Endpoint{ID: name, Addr: "at-" + name, State: decision.Ready})
	}
	return l
}

// newCoordinator returns a coordinator with the settings file text.
func newCoordinator(t *testing.T, text string, proxies int) *Coordinator {
	t.Helper()
	f, err := Parse("comeback.toml", []byte(text))
	if err != nil {
		t.Fatalf("Parse(%q): %v", text, err)
	}
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	return NewCoordinator(f, proxies, 1, now, slog.New(slog.DiscardHandler))
}

// Endpoints that a list suddenly lacks are delivered with it until they expire, and sources with the same name share
// the retained endpoints.
func TestMissingEndpointsAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCoordinator(t, "version = 1\n[list]\nhold = \"10s\"\n", 3)
		inner := &scriptedSource{lists: make(chan engine.EndpointList, 1)}
		s := c.Wrap("", inner, fullList("a", "b", "c"))
		ctx, cancel := context.WithCancel(t.Context())
		delivered := make(chan engine.EndpointList, 4)
		watchErr := make(chan error, 1)
		go func() { watchErr <- s.Watch(ctx, 0, func(l engine.EndpointList) { delivered <- l }) }()
		inner.lists <- fullList("a")
		if l := <-delivered; len(l.Endpoints) != 3 {
			t.Errorf("after the first list without b and c, Watch delivered %v, want a, b and c", l.Endpoints)
		}
		inner.lists <- fullList("a")
		if l := <-delivered; len(l.Endpoints) != 3 {
			t.Errorf("after the second list without b and c, Watch delivered %v, want a, b and c", l.Endpoints)
		}
		moved := &scriptedSource{lists: make(chan engine.EndpointList, 1)}
		moved.lists <- fullList("a")
		if l, err := c.Wrap("", moved, engine.EndpointList{}).Fetch(ctx); err != nil || len(l.Endpoints) != 3 {
			t.Errorf("Fetch from another source with the same name = %v, %v; want a, b and c", l.Endpoints, err)
		}
		if r := c.Report(); r.SuspectLists != 1 || r.Retained != 2 || r.Missing != 2 {
			t.Errorf("Report() = %+v, want SuspectLists 1, Retained 2, Missing 2", r)
		}
		if l := <-delivered; len(l.Endpoints) != 1 || time.Since(inner.started) == 0 {
			t.Errorf("after RetainFor, Watch delivered %v, want a only", l.Endpoints)
		}
		if r := c.Report(); r.Dropped != 2 || r.Missing != 0 {
			t.Errorf("Report() after RetainFor = %+v, want Dropped 2, Missing 0", r)
		}
		cancel()
		if err := <-watchErr; !errors.Is(err, context.Canceled) {
			t.Errorf("Watch with a canceled context = %v, want context.Canceled", err)
		}
	})
}

// A call after a failed one waits for the backoff, and at least for the delay that discovery requested.
func TestCallsWaitForTheirTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCoordinator(t, "version = 1\n[calls]\nrate = 2.0\nmost = \"5s\"\n", 4)
		inner := &scriptedSource{
			lists:   make(chan engine.EndpointList, 1),
			errs:    []error{errors.New("no"), retryLater(3 * time.Second), nil},
			started: time.Now(),
		}
		s := c.Wrap("", inner, engine.EndpointList{})
		inner.lists <- fullList("a")
		for i := range 2 {
			if _, err := s.Fetch(t.Context()); err == nil {
				t.Errorf("Fetch %d returned no error although its call to the source failed", i+1)
			}
		}
		if l, err := s.Fetch(t.Context()); err != nil || len(l.Endpoints) != 1 {
			t.Errorf("the third Fetch = %v, %v; want one endpoint and no error", l, err)
		}
		if len(inner.calls) != 3 {
			t.Fatalf("the source was called at %v, want 3 calls", inner.calls)
		}
		backoff := inner.calls[1] - inner.calls[0]
		retryAfter := inner.calls[2] - inner.calls[1]
		if inner.calls[0] > 1500*time.Millisecond || backoff < 50*time.Millisecond || retryAfter < 3*time.Second {
			t.Errorf("the source was called at %v; want the first call within 1.5s, "+
				"the second at least 50ms after it, and the third at least 3s after the second", inner.calls)
		}
		if r := c.Report(); r.Calls != 3 || r.Failed != 2 || r.Deferred != 1 || r.ConsecutiveFailures != 0 {
			t.Errorf("Report() = %+v, want Calls 3, Failed 2, Deferred 1, ConsecutiveFailures 0", r)
		}
		if timeout := s.WatchTimeout(time.Hour); timeout < 15*time.Second || timeout > 20*time.Second {
			t.Errorf("WatchTimeout(1h) = %v, want 15s to 20s", timeout)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		inner.errs = []error{errors.New("no")}
		if _, err := s.Fetch(t.Context()); err == nil {
			t.Error("the fourth Fetch returned no error although its call to the source failed")
		}
		if _, err := s.Fetch(ctx); !errors.Is(err, context.DeadlineExceeded) || len(inner.calls) != 4 {
			t.Errorf("Fetch with a deadline before the end of the backoff = %v after %d calls to the source; "+
				"want context.DeadlineExceeded after 4", err, len(inner.calls))
		}
	})
}

// Errors of Parse name the invalid key, and errors of Load name the file.
func TestSettingsErrorsNameTheKey(t *testing.T) {
	for want, text := range map[string]string{
		`comeback.toml:3: unknown key "list.shrunk"`: "version = 1\n[list]\nshrunk = 1\n",
		"version: 2":                           "version = 2\n",
		"none of [list], [calls] and [memory]": "version = 1\n",
		"memory: every: 1ms":                   "version = 1\n[memory]\nevery = \"1ms\"\n",
		"memory: most: 1s is shorter":          "version = 1\n[memory]\nevery = \"2s\"\nmost = \"1s\"\n",
		"list: shrink: 3":                      "version = 1\n[list]\nshrink = 3.0\n",
		"calls: rate: 0":                       "version = 1\n[calls]\n",
		"no span of time":                      "version = 1\n[list]\nhold = \"long\"\n",
	} {
		if _, err := Parse("comeback.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse(%q) returned error %v, want one that contains %q", text, err, want)
		}
	}
	if _, err := Load("nowhere.toml"); err == nil || !strings.Contains(err.Error(), "nowhere.toml") {
		t.Errorf("Load of a missing file returned error %v, want one that contains nowhere.toml", err)
	}
}

// The deployed settings file is valid, and Describe returns its values.
func TestDeployedSettingsAreDescribed(t *testing.T) {
	f, err := Load("../../../deploy/comeback.toml")
	if err != nil {
		t.Fatalf("Load of the deployed file: %v", err)
	}
	for _, want := range []string{"30 %", "20 times a second", "written every 1s"} {
		if !strings.Contains(f.Describe(), want) {
			t.Errorf("Describe() = %q, want it to contain %q", f.Describe(), want)
		}
	}
}
