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

func settings(lost time.Duration) idempotency.Settings {
	return idempotency.Settings{Window: idempotency.MinWindow, UncertainWindow: idempotency.MinWindow, MaxEntries: 100, MaxBytes: 1 << 20, LostAt: lost}
}

func newGuard(t *testing.T, path string, lost time.Duration) *Guard {
	t.Helper()
	began := time.Now().Add(-30 * time.Hour) // a clock that began long before
	g, err := New(Options{Ledger: settings(lost), Path: path, Now: func() time.Duration { return time.Since(began) }, WriteTimeout: 500 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Open(context.Background()); err != nil {
		t.Fatal(err)
	}
	return g
}

func key(n int) idempotency.Key { return idempotency.Key{Origin: "a", ID: uint32(n)} }

// Many who send the same at once, and after it: it runs once and all have the one answer.
func TestOnce(t *testing.T) {
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
				if string(answer) != fmt.Sprint(i%10) || v != idempotency.Begin && v != idempotency.Join && v != idempotency.Answered {
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
		if _, _, v := g.Do(t.Context(), key(1), false, func() ([]byte, Outcome) { return nil, NeverRan }); v != idempotency.Begin {
			t.Errorf("after the window: %v", v)
		}
	})
}

// What never ran may come again; of what may have run nobody runs it again, also after a panic; who waits for another's
// answer has an end when his client gives up.
func TestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(t, "", -1)
		refused := func() ([]byte, Outcome) { return []byte("3004"), NeverRan }
		for range 2 {
			if answer, end, v := g.Do(t.Context(), key(1), false, refused); string(answer) != "3004" || end != NeverRan || v != idempotency.Begin {
				t.Errorf("%q %v %v", answer, end, v)
			}
		}
		if answer, end, _ := g.Do(t.Context(), key(2), false, func() ([]byte, Outcome) { return []byte("5012"), Unknown }); string(answer) != "5012" || end != Unknown {
			t.Errorf("%q %v", answer, end)
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
		go g.Do(t.Context(), key(4), false, func() ([]byte, Outcome) { time.Sleep(time.Minute); return []byte("late"), Answered })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if answer, _, v := g.Do(ctx, key(4), true, refused); v != idempotency.MayHaveRun || answer != nil || time.Since(began) != time.Second {
			t.Errorf("%q %v after %v", answer, v, time.Since(began))
		}
		time.Sleep(time.Minute)
		if answer, _, v := g.Do(t.Context(), key(4), true, refused); v != idempotency.Answered || string(answer) != "late" {
			t.Errorf("%q %v", answer, v)
		}
	})
}

// Without a disk a process that is new can't know what the one before had in hand.
func TestMemoryAloneForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(t, "", 0)
		run := func() ([]byte, Outcome) { return []byte("x"), Answered }
		if _, _, v := g.Do(t.Context(), key(1), true, run); v != idempotency.MayHaveRun {
			t.Errorf("a repeat right after the start: %v", v)
		}
		if _, _, v := g.Do(t.Context(), key(2), false, run); v != idempotency.Begin {
			t.Errorf("a new one: %v", v)
		}
		time.Sleep(idempotency.MinWindow)
		if _, _, v := g.Do(t.Context(), key(3), true, run); v != idempotency.Begin {
			t.Errorf("a repeat after the window: %v", v)
		}
	})
}

// With a disk the next process knows: an answer is given again, what was in hand may have run. It waits for the process
// that has the file yet; until then nothing unsafe is taken.
func TestTheNextProcessKnows(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects.db")
	g := newGuard(t, path, -1)
	if answer, _, v := g.Do(t.Context(), key(1), true, func() ([]byte, Outcome) { return []byte("paid"), Answered }); v != idempotency.Begin || string(answer) != "paid" {
		t.Fatalf("%q %v: a repeat of what a whole ledger does not know is new", answer, v)
	}
	g.Do(t.Context(), key(2), false, func() ([]byte, Outcome) { return []byte("3004"), NeverRan })
	inHand, release := make(chan struct{}), make(chan struct{})
	go g.Do(t.Context(), key(3), false, func() ([]byte, Outcome) { close(inHand); <-release; return []byte("later"), Answered })
	<-inHand
	began := time.Now()
	next, err := New(Options{Ledger: settings(0), Path: path, Now: func() time.Duration { return time.Since(began) }})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, v := next.Do(t.Context(), key(9), false, func() ([]byte, Outcome) { t.Error("it ran"); return nil, Answered }); v != idempotency.Full || next.Report().Ready {
		t.Errorf("before the file is read: %v", v)
	}
	opened := make(chan error, 1)
	go func() { opened <- next.Open(t.Context()) }()
	time.Sleep(20 * time.Millisecond)
	// The old one dies with a request in hand.
	if err := g.store.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-opened; err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	for n, want := range map[int]idempotency.Verdict{1: idempotency.Answered, 2: idempotency.Begin, 3: idempotency.MayHaveRun} {
		answer, _, v := next.Do(t.Context(), key(n), true, func() ([]byte, Outcome) { return []byte("new"), Answered })
		if v != want || n == 1 && string(answer) != "paid" {
			t.Errorf("%d: %q %v, want %v", n, answer, v, want)
		}
	}
	close(release)
}

// A ledger that is gone, or that an older copy of was put back: a repeat of what it does not know may have run, for a window from when
// that was found, in later processes too; what is new begins.
func TestALedgerThatWasLost(t *testing.T) {
	for name, lose := range map[string]func(path string, old []byte) error{
		"gone":                    func(path string, _ []byte) error { return os.Remove(path) },
		"gone with all beside it": func(path string, _ []byte) error { return errors.Join(os.Remove(path), os.Remove(path+".seq")) },
		"an older copy":           func(path string, old []byte) error { return os.WriteFile(path, old, 0o600) },
		"what it is held against": func(path string, _ []byte) error { return os.Remove(path + ".seq") },
		"nothing":                 func(string, []byte) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "effects.db")
				pay := func() ([]byte, Outcome) { return []byte("paid"), Answered }
				next := func(first time.Duration) *Guard { // after a kill, for all that the files show
					g := newGuard(t, path, first)
					t.Cleanup(func() { g.Close() })
					return g
				}
				g := next(-1)
				g.Do(t.Context(), key(1), false, pay)
				g.Close()
				old, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				g = next(0)
				g.Do(t.Context(), key(2), false, pay)
				g.Close()
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
						t.Errorf("process %d: what was paid begins again", i)
					}
					if _, _, v := g.Do(t.Context(), key(10+i), true, pay); v != unknown {
						t.Errorf("process %d: a repeat of what is not known: %v, want %v", i, v, unknown)
					}
					if _, _, v := g.Do(t.Context(), key(20+i), false, func() ([]byte, Outcome) { return nil, NeverRan }); v != idempotency.Begin {
						t.Errorf("process %d: a new one: %v", i, v)
					}
					if _, _, v := g.Do(t.Context(), key(20+i), true, pay); v != idempotency.Begin {
						t.Errorf("process %d: a repeat of what this process has turned away: %v", i, v)
					}
					g.Close()
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

// A disk that fails: what is unsafe is not begun, and what was begun has its answer all the same.
func TestADiskThatFails(t *testing.T) {
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
	if _, _, v := g.Do(t.Context(), key(2), false, func() ([]byte, Outcome) { t.Error("it ran"); return nil, Answered }); v != idempotency.Full {
		t.Errorf("%v", v)
	}
	if answer, _, v := g.Do(t.Context(), key(1), false, nil); v != idempotency.Answered || string(answer) != "paid" {
		t.Errorf("%q %v", answer, v)
	}
	if err := os.WriteFile(path, []byte("no database"), 0o600); err != nil {
		t.Fatal(err)
	}
	broken, err := New(Options{Ledger: settings(0), Path: path, Now: func() time.Duration { return 0 }})
	if err != nil {
		t.Fatal(err)
	}
	if err := broken.Open(t.Context()); err == nil || broken.Report().Ready {
		t.Errorf("a broken file: %v", err)
	}
}
