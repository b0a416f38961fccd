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

// scriptedSource is a discovery service whose lists and errors a test gives.
type scriptedSource struct {
	lists chan engine.EndpointList
	errs  []error // of its next calls; nil is success
	calls []time.Duration
	began time.Time
}

func (r *scriptedSource) Addr() string { return "discovery" }
func (r *scriptedSource) Close()       {}
func (r *scriptedSource) call() error {
	r.calls = append(r.calls, time.Since(r.began))
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
				return errors.New("it is gone")
			}
			deliver(l)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// retryLater is an error with a time after which to retry.
type retryLater time.Duration

func (l retryLater) Error() string             { return "come back later" }
func (l retryLater) RetryAfter() time.Duration { return time.Duration(l) }

// fullList makes a full list of ready endpoints.
func fullList(names ...string) engine.EndpointList {
	l := engine.EndpointList{Full: true, Version: 1}
	for _, n := range names {
		l.Endpoints = append(l.Endpoints, engine.Endpoint{ID: n, Addr: "at-" + n, State: decision.Ready})
	}
	return l
}

// newCoordinator makes a coordinator from the text of a settings file.
func newCoordinator(t *testing.T, text string, proxies int) *Coordinator {
	t.Helper()
	f, err := Parse("comeback.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	return NewCoordinator(f, proxies, 1, now, slog.New(slog.DiscardHandler))
}

// A list that lacks many endpoints is delivered with them until they expire, and the sources of one discovery service
// share what they know.
func TestMissingEndpointsAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCoordinator(t, "version = 1\n[list]\nhold = \"10s\"\n", 3)
		r := &scriptedSource{lists: make(chan engine.EndpointList, 1)}
		s := c.Wrap("", r, fullList("a", "b", "c"))
		ctx, cancel := context.WithCancel(t.Context())
		delivered := make(chan engine.EndpointList, 4)
		ended := make(chan error, 1)
		go func() { ended <- s.Watch(ctx, 0, func(l engine.EndpointList) { delivered <- l }) }()
		r.lists <- fullList("a")
		if l := <-delivered; len(l.Endpoints) != 3 {
			t.Errorf("delivered %v after the first list that lacks two of three, want all three", l.Endpoints)
		}
		r.lists <- fullList("a")
		if l := <-delivered; len(l.Endpoints) != 3 {
			t.Errorf("delivered %v after the second list that lacks two of three, want all three", l.Endpoints)
		}
		moved := &scriptedSource{lists: make(chan engine.EndpointList, 1)}
		moved.lists <- fullList("a")
		if l, err := c.Wrap("", moved, engine.EndpointList{}).Fetch(ctx); err != nil || len(l.Endpoints) != 3 {
			t.Errorf("at another address: %v, %v", l.Endpoints, err)
		}
		if r := c.Report(); r.SuspectLists != 1 || r.Retained != 2 || r.Missing != 2 {
			t.Errorf("%+v, want one suspect list, two endpoints retained and missing", r)
		}
		if l := <-delivered; len(l.Endpoints) != 1 || time.Since(r.began) == 0 {
			t.Errorf("after the retention: %v", l.Endpoints)
		}
		if r := c.Report(); r.Dropped != 2 || r.Missing != 0 {
			t.Errorf("%+v after the retention, want two endpoints dropped and none missing", r)
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("a cancelled watch ended with %v", err)
		}
	})
}

// A call after one that failed waits for its turn, and as long as discovery says.
func TestCallsWaitForTheirTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCoordinator(t, "version = 1\n[calls]\nrate = 2.0\nmost = \"5s\"\n", 4)
		r := &scriptedSource{
			lists: make(chan engine.EndpointList, 1),
			errs:  []error{errors.New("no"), retryLater(3 * time.Second), nil},
			began: time.Now(),
		}
		s := c.Wrap("", r, engine.EndpointList{})
		r.lists <- fullList("a")
		for range 2 {
			if _, err := s.Fetch(t.Context()); err == nil {
				t.Error("a failed call is reported as good")
			}
		}
		if l, err := s.Fetch(t.Context()); err != nil || len(l.Endpoints) != 1 {
			t.Errorf("the third call returned %v, %v, want one endpoint", l, err)
		}
		if len(r.calls) != 3 {
			t.Fatalf("calls at %v", r.calls)
		}
		backoff := r.calls[1] - r.calls[0]
		retryAfter := r.calls[2] - r.calls[1]
		if r.calls[0] > 1500*time.Millisecond || backoff < 50*time.Millisecond || retryAfter < 3*time.Second {
			t.Errorf("calls at %v", r.calls)
		}
		if r := c.Report(); r.Calls != 3 || r.Failed != 2 || r.Deferred != 1 || r.ConsecutiveFailures != 0 {
			t.Errorf("%+v, want three calls, two failed and one of them deferred", r)
		}
		if h := s.WatchTimeout(time.Hour); h < 15*time.Second || h > 20*time.Second {
			t.Errorf("a watch is held for %v", h)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		r.errs = []error{errors.New("no")}
		if _, err := s.Fetch(t.Context()); err == nil {
			t.Error("a failed call is reported as good")
		}
		if _, err := s.Fetch(ctx); !errors.Is(err, context.DeadlineExceeded) || len(r.calls) != 4 {
			t.Errorf("a call whose turn comes after its deadline ended with %v; %d calls were made, want 4", err, len(r.calls))
		}
	})
}

// An error names the key, or the file, that makes no sense.
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
			t.Errorf("%q: got error %v, want one with %q", text, err, want)
		}
	}
	if _, err := Load("nowhere.toml"); err == nil || !strings.Contains(err.Error(), "nowhere.toml") {
		t.Errorf("a file that is not there: got error %v, want one with its name", err)
	}
}

// The settings file that is deployed is valid, and Describe says what it comes to.
func TestDeployedSettingsAreDescribed(t *testing.T) {
	f, err := Load("../../../deploy/comeback.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"30 %", "20 times a second", "written down every 1s"} {
		if !strings.Contains(f.Describe(), want) {
			t.Errorf("%q lacks %q", f.Describe(), want)
		}
	}
}
