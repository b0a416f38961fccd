package guard

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/internal/idempotency"
)

func testSettings(lostAt time.Duration) idempotency.Settings {
	return idempotency.Settings{
		Window:          idempotency.MinWindow,
		UncertainWindow: idempotency.MinWindow,
		MaxEntries:      100,
		MaxBytes:        1 << 20,
		LostAt:          lostAt,
	}
}

// newGuard returns an open guard; lostAt is below 0 for the first process.

func newGuard(t *testing.T, path string, lostAt time.Duration) *Guard {
	t.Helper()
	began := time.Now().Add(-30 * time.Hour) // the guard's clock began long before
	g, err := New(Options{
		Ledger:       testSettings(lostAt),
		Path:         path,
		Now:          func() time.Duration { return time.Since(began) },
		WriteTimeout: 500 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Open(context.Background()); err != nil {
		t.Fatal(err)
	}
	return g
}

func mustClose(t *testing.T, g *Guard) {
	t.Helper()
	if err := g.Close(); err != nil {
		t.Error(err)
	}
}

func key(n int) idempotency.Key { return idempotency.Key{Origin: "a", ID: uint32(n)} }

// mustNotRun is the work of a request that must be rejected.
func mustNotRun(t *testing.T) Work {
	return func() ([]byte, Outcome) {
		t.Error("it ran")
		return nil, Answered
	}
}

// A request that many callers send at once, and again later, runs once, and all get its answer.
func TestRequestsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(t, "", -1)
		var ran atomic.Int64
		var all sync.WaitGroup
		for i := range 300 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				answer, _, v := g.Do(t.Context(), key(i%10), i >= 10, func() ([]byte, Outcome) {
					ran.Add(1)
					time.Sleep(100 * time.Millisecond)
					return fmt.Append(nil, i%10), Answered
				})
				known := v == idempotency.Begin || v == idempotency.Join || v == idempotency.Answered
				if string(answer) != fmt.Sprint(i%10) || !known {
					t.Errorf("%d: %q, %v", i, answer, v)
				}
			})
		}
		all.Wait()
		r := g.Report()
		if ran.Load() != 10 || r.Started != 10 || r.Joined == 0 || r.Replayed == 0 || r.InFlight != 0 {
			t.Errorf("%d ran; %+v", ran.Load(), r)
		}
		time.Sleep(idempotency.MinWindow + time.Second)
		refused := func() ([]byte, Outcome) { return nil, NeverRan }
		if _, _, v := g.Do(t.Context(), key(1), false, refused); v != idempotency.Begin {
			t.Errorf("after the window: %v", v)
		}
	})
}

// A request that never ran is new when it comes again. One that may have run, also after a panic, does not run again.
// A caller that waits for another's answer returns when its client gives up.
func TestOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(t, "", -1)
		refused := func() ([]byte, Outcome) { return []byte("3004"), NeverRan }
		for range 2 {
			answer, outcome, v := g.Do(t.Context(), key(1), false, refused)
			if string(answer) != "3004" || outcome != NeverRan || v != idempotency.Begin {
				t.Errorf("%q %v %v", answer, outcome, v)
			}
		}
		unknown := func() ([]byte, Outcome) { return []byte("5012"), Unknown }
		answer, outcome, _ := g.Do(t.Context(), key(2), false, unknown)
		if string(answer) != "5012" || outcome != Unknown {
			t.Errorf("%q %v", answer, outcome)
		}
		func() {
			defer func() { _ = recover() }()
			g.Do(t.Context(), key(3), false, func() ([]byte, Outcome) { panic("a wrong handler") })
		}()
		for _, k := range []idempotency.Key{key(2), key(3)} {
			if _, _, v := g.Do(t.Context(), k, false, refused); v != idempotency.MayHaveRun {
				t.Errorf("%v again: %v", k, v)
			}
		}
		go g.Do(t.Context(), key(4), false, func() ([]byte, Outcome) {
			time.Sleep(time.Minute)
			return []byte("late"), Answered
		})
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		answer, _, v := g.Do(ctx, key(4), true, refused)
		if v != idempotency.MayHaveRun || answer != nil || time.Since(began) != time.Second {
			t.Errorf("%q %v after %v", answer, v, time.Since(began))
		}
		time.Sleep(time.Minute)
		answer, _, v = g.Do(t.Context(), key(4), true, refused)
		if v != idempotency.Answered || string(answer) != "late" {
			t.Errorf("%q %v", answer, v)
		}
	})
}

// Without a store a new process does not know what the one before had in flight.
func TestWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(t, "", 0)
		run := func() ([]byte, Outcome) { return []byte("x"), Answered }
		if _, _, v := g.Do(t.Context(), key(1), true, run); v != idempotency.MayHaveRun {
			t.Errorf("a retransmission right after the start: %v", v)
		}
		if _, _, v := g.Do(t.Context(), key(2), false, run); v != idempotency.Begin {
			t.Errorf("a first transmission: %v", v)
		}
		time.Sleep(idempotency.MinWindow)
		if _, _, v := g.Do(t.Context(), key(3), true, run); v != idempotency.Begin {
			t.Errorf("a retransmission after the window: %v", v)
		}
	})
}

// With a store the next process replays answers, and what was in flight may have run. It waits for the process that
// still has the file open, and rejects all requests until then.
func TestNextProcessReadsTheStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects.db")
	g := newGuard(t, path, -1)
	pay := func() ([]byte, Outcome) { return []byte("paid"), Answered }
	if answer, _, v := g.Do(t.Context(), key(1), true, pay); v != idempotency.Begin || string(answer) != "paid" {
		t.Fatalf("%q %v: a retransmission that a complete ledger does not know is new", answer, v)
	}
	g.Do(t.Context(), key(2), false, func() ([]byte, Outcome) { return []byte("3004"), NeverRan })
	inFlight, release := make(chan struct{}), make(chan struct{})
	go g.Do(t.Context(), key(3), false, func() ([]byte, Outcome) {
		close(inFlight)
		<-release
		return []byte("later"), Answered
	})
	<-inFlight
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	next, err := New(Options{Ledger: testSettings(0), Path: path, Now: now})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, v := next.Do(t.Context(), key(9), false, mustNotRun(t)); v != idempotency.Full || next.Report().Ready {
		t.Errorf("before the file is read: %v", v)
	}
	opened := make(chan error, 1)
	go func() { opened <- next.Open(t.Context()) }()
	time.Sleep(20 * time.Millisecond)
	// The old process dies with a request in flight.
	if err := g.store.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-opened; err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, next)
	for n, want := range map[int]idempotency.Verdict{
		1: idempotency.Answered,
		2: idempotency.Begin,
		3: idempotency.MayHaveRun,
	} {
		answer, _, v := next.Do(t.Context(), key(n), true, func() ([]byte, Outcome) { return []byte("new"), Answered })
		if v != want || n == 1 && string(answer) != "paid" {
			t.Errorf("%d: %q %v, want %v", n, answer, v, want)
		}
	}
	close(release)
}

// After the ledger was deleted or restored from an older copy, an unknown retransmission may have run. That holds for
// one window from when the loss was found, in later processes too. A first transmission is new.
func TestLostLedger(t *testing.T) {
	for name, lose := range map[string]func(path string, old []byte) error{
		"gone": func(path string, _ []byte) error { return os.Remove(path) },
		"gone with all beside it": func(path string, _ []byte) error {
			return errors.Join(os.Remove(path), os.Remove(path+".seq"))
		},
		"an older copy":           func(path string, old []byte) error { return os.WriteFile(path, old, 0o600) },
		"what it is held against": func(path string, _ []byte) error { return os.Remove(path + ".seq") },
		"nothing":                 func(string, []byte) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "effects.db")
				pay := func() ([]byte, Outcome) { return []byte("paid"), Answered }
				refused := func() ([]byte, Outcome) { return nil, NeverRan }
				next := func(lostAt time.Duration) *Guard { // its files are those after a kill
					g := newGuard(t, path, lostAt)
					t.Cleanup(func() { mustClose(t, g) })
					return g
				}
				g := next(-1)
				g.Do(t.Context(), key(1), false, pay)
				mustClose(t, g)
				old, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				g = next(0)
				g.Do(t.Context(), key(2), false, pay)
				mustClose(t, g)
				if err := lose(path, old); err != nil {
					t.Fatal(err)
				}
				unknown := idempotency.MayHaveRun
				if name == "nothing" {
					unknown = idempotency.Begin
				}
				for i := range 2 {
					g = next(0)
					if _, _, v := g.Do(t.Context(), key(2), true, pay); v == idempotency.Begin {
						t.Errorf("process %d: a paid request begins again", i)
					}
					if _, _, v := g.Do(t.Context(), key(10+i), true, pay); v != unknown {
						t.Errorf("process %d: an unknown retransmission: %v, want %v", i, v, unknown)
					}
					if _, _, v := g.Do(t.Context(), key(20+i), false, refused); v != idempotency.Begin {
						t.Errorf("process %d: a first transmission: %v", i, v)
					}
					if _, _, v := g.Do(t.Context(), key(20+i), true, pay); v != idempotency.Begin {
						t.Errorf("process %d: a retransmission of a request that this process rejected: %v", i, v)
					}
					mustClose(t, g)
					time.Sleep(idempotency.MinWindow / 3)
				}
				time.Sleep(idempotency.MinWindow)
				g = next(0)
				if _, _, v := g.Do(t.Context(), key(30), true, pay); v != idempotency.Begin {
					t.Errorf("after the window: %v", v)
				}
			})
		})
	}
}

// When the disk fails, no request begins, and one that has begun still gets its answer.
func TestFailingDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects.db")
	g := newGuard(t, path, 0)
	answer, _, v := g.Do(t.Context(), key(1), false, func() ([]byte, Outcome) {
		if err := g.store.Close(); err != nil {
			t.Error(err)
		}
		return []byte("paid"), Answered
	})
	if string(answer) != "paid" || v != idempotency.Begin || g.Report().DiskErrors != 1 {
		t.Errorf("%q %v %+v", answer, v, g.Report())
	}
	if _, _, v := g.Do(t.Context(), key(2), false, mustNotRun(t)); v != idempotency.Full {
		t.Errorf("%v", v)
	}
	if answer, _, v := g.Do(t.Context(), key(1), false, nil); v != idempotency.Answered || string(answer) != "paid" {
		t.Errorf("%q %v", answer, v)
	}
	if err := os.WriteFile(path, []byte("no database"), 0o600); err != nil {
		t.Fatal(err)
	}
	broken, err := New(Options{Ledger: testSettings(0), Path: path, Now: func() time.Duration { return 0 }})
	if err != nil {
		t.Fatal(err)
	}
	if err := broken.Open(t.Context()); err == nil || broken.Report().Ready {
		t.Errorf("a broken file: %v", err)
	}
}
