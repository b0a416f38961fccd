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

// register is one that a test speaks for.
type register struct {
	lists chan engine.EndpointList
	errs  []error // of its next calls; nil is an answer
	calls []time.Duration
	began time.Time
}

func (r *register) Addr() string { return "register" }
func (r *register) Close()       {}
func (r *register) call() error {
	r.calls = append(r.calls, time.Since(r.began))
	if len(r.errs) == 0 {
		return nil
	}
	err := r.errs[0]
	r.errs = r.errs[1:]
	return err
}
func (r *register) Fetch(ctx context.Context) (engine.EndpointList, error) {
	if err := r.call(); err != nil {
		return engine.EndpointList{}, err
	}
	return <-r.lists, nil
}
func (r *register) Watch(ctx context.Context, _ uint32, tell func(engine.EndpointList)) error {
	if err := r.call(); err != nil {
		return err
	}
	for {
		select {
		case l, open := <-r.lists:
			if !open {
				return errors.New("it is gone")
			}
			tell(l)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type later time.Duration

func (l later) Error() string             { return "come back later" }
func (l later) RetryAfter() time.Duration { return time.Duration(l) }

func whole(names ...string) engine.EndpointList {
	l := engine.EndpointList{Full: true, Version: 1}
	for _, n := range names {
		l.Endpoints = append(l.Endpoints, engine.Endpoint{ID: n, Addr: "at-" + n, State: decision.Ready})
	}
	return l
}

func plan(t *testing.T, text string, proxies int) *Coordinator {
	t.Helper()
	f, err := Parse("comeback.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	return NewCoordinator(f, proxies, 1, func() time.Duration { return time.Since(began) }, slog.New(slog.DiscardHandler))
}

// A list that lacks many is told with them, until time alone takes them out; and the sources of one register share what they know.
func TestServersAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := plan(t, "version = 1\n[list]\nhold = \"10s\"\n", 3)
		r := &register{lists: make(chan engine.EndpointList, 1)}
		s := p.Wrap("", r, whole("a", "b", "c"))
		ctx, cancel := context.WithCancel(t.Context())
		told := make(chan engine.EndpointList, 4)
		ended := make(chan error, 1)
		go func() { ended <- s.Watch(ctx, 0, func(l engine.EndpointList) { told <- l }) }()
		r.lists <- whole("a")
		if l := <-told; len(l.Endpoints) != 3 {
			t.Errorf("told of %v", l.Endpoints)
		}
		r.lists <- whole("a")
		if l := <-told; len(l.Endpoints) != 3 {
			t.Errorf("told of %v", l.Endpoints)
		}
		r2 := &register{lists: make(chan engine.EndpointList, 1)}
		r2.lists <- whole("a")
		if l, err := p.Wrap("", r2, engine.EndpointList{}).Fetch(ctx); err != nil || len(l.Endpoints) != 3 {
			t.Errorf("at another address: %v, %v", l.Endpoints, err)
		}
		if r := p.Report(); r.SuspectLists != 1 || r.Retained != 2 || r.Missing != 2 {
			t.Errorf("%+v", r)
		}
		if l := <-told; len(l.Endpoints) != 1 || time.Since(r.began) == 0 {
			t.Errorf("after the hold: %v", l.Endpoints)
		}
		if r := p.Report(); r.Dropped != 2 || r.Missing != 0 {
			t.Errorf("%+v", r)
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// Calls that fail are not made again before their time, and what the register says of that is kept.
func TestCallsWaitTheirTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := plan(t, "version = 1\n[calls]\nrate = 2.0\nmost = \"5s\"\n", 4)
		r := &register{lists: make(chan engine.EndpointList, 1), errs: []error{errors.New("no"), later(3 * time.Second), nil}, began: time.Now()}
		s := p.Wrap("", r, engine.EndpointList{})
		r.lists <- whole("a")
		for range 2 {
			if _, err := s.Fetch(t.Context()); err == nil {
				t.Error("a failed call is told as good")
			}
		}
		if l, err := s.Fetch(t.Context()); err != nil || len(l.Endpoints) != 1 {
			t.Errorf("%v, %v", l, err)
		}
		if c := r.calls; len(c) != 3 || c[0] > 1500*time.Millisecond || c[1]-c[0] < 50*time.Millisecond || c[2]-c[1] < 3*time.Second {
			t.Errorf("calls at %v", c)
		}
		if r := p.Report(); r.Calls != 3 || r.Failed != 2 || r.Deferred != 1 || r.ConsecutiveFailures != 0 {
			t.Errorf("%+v", r)
		}
		if h := s.WatchTimeout(time.Hour); h < 15*time.Second || h > 20*time.Second {
			t.Errorf("a watch is held for %v", h)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		r.errs = []error{errors.New("no")}
		s.Fetch(t.Context())
		if _, err := s.Fetch(ctx); !errors.Is(err, context.DeadlineExceeded) || len(r.calls) != 4 {
			t.Errorf("%v, %d calls", err, len(r.calls))
		}
	})
}

func TestFiles(t *testing.T) {
	for want, text := range map[string]string{
		`comeback.toml:3: unknown key "list.shrunk"`: "version = 1\n[list]\nshrunk = 1\n", "version: 2": "version = 2\n", "none of [list], [calls] and [memory]": "version = 1\n",
		"memory: every: 1ms": "version = 1\n[memory]\nevery = \"1ms\"\n", "memory: most: 1s is shorter": "version = 1\n[memory]\nevery = \"2s\"\nmost = \"1s\"\n",
		"list: shrink: 3": "version = 1\n[list]\nshrink = 3.0\n", "calls: rate: 0": "version = 1\n[calls]\n", "no span of time": "version = 1\n[list]\nhold = \"long\"\n",
	} {
		if _, err := Parse("comeback.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	f, err := Load("../../../deploy/comeback.toml")
	if err != nil || !strings.Contains(f.Describe(), "30 %") || !strings.Contains(f.Describe(), "20 times a second") || !strings.Contains(f.Describe(), "written down every 1s") {
		t.Errorf("%v, %v", f, err)
	}
	if _, err := Load("nowhere.toml"); err == nil || !strings.Contains(err.Error(), "nowhere.toml") {
		t.Error(err)
	}
}
