package guard

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/internal/idempotency"
	"lapisspread/internal/idempotency/store"
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

// newGuard returns a guard whose Open has succeeded. lostAt is negative for the first process.
func newGuard(t *testing.T, path string, lostAt time.Duration) *Guard {
	t.Helper()
	clockStart := time.Now().Add(-30 * time.Hour) // the guard's clock started long before the guard
	g, err := New(Options{
		Ledger:       testSettings(lostAt),
		Path:         path,
		Now:          func() time.Duration { return time.Since(clockStart) },
		Uptime:       bubbleUptime,
		WriteTimeout: 500 * time.Millisecond,
	})
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	if err := g.Open(context.Background()); err != nil {
		t.Fatalf("Open of the store %q: %v", path, err)
	}
	return g
}

// bubbleUptime is an uptime that runs with the clock of a synctest bubble, as that of the system does not.
func bubbleUptime() store.Uptime {
	return store.Uptime{Boot: "test", Since: time.Duration(time.Now().UnixNano())}
}

func mustClose(t *testing.T, g *Guard) {
	t.Helper()
	if err := g.Close(); err != nil {
		t.Errorf("Close: %v", err)
	}
}

func key(n int) idempotency.Key { return idempotency.Key{Origin: "a", ID: uint32(n)} }

// mustNotRun returns the work of a request that must be rejected; the test fails if it is called.
func mustNotRun(t *testing.T) Work {
	return func() ([]byte, Outcome) {
		t.Error("Do called work of a request that must be rejected")
		return nil, Answered
	}
}

// A request that many callers send concurrently, and again later, runs once, and all callers get its answer.
func TestRequestsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(t, "", -1)
		var ran atomic.Int64
		var wg sync.WaitGroup
		for i := range 300 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				answer, _, v := g.Do(t.Context(), key(i%10), i >= 10, func() ([]byte, Outcome) {
					ran.Add(1)
					time.Sleep(100 * time.Millisecond)
					return fmt.Append(nil, i%10), Answered
				})
				hasAnswer := v == idempotency.Begin || v == idempotency.Join || v == idempotency.Answered
				if string(answer) != fmt.Sprint(i%10) || !hasAnswer {
					t.Errorf("Do number %d = answer %q, verdict %v; want \"%d\" and begin, join or answered",
						i, answer, v, i%10)
				}
			})
		}
		wg.Wait()
		r := g.Report()
		if ran.Load() != 10 || r.Started != 10 || r.Joined == 0 || r.Replayed == 0 || r.InFlight != 0 {
			t.Errorf("work was called %d times, want 10; Report = %+v, "+
				"want 10 started, some joined, some replayed, none in flight", ran.Load(), r)
		}
		time.Sleep(idempotency.MinWindow + time.Second)
		rejectRequest := func() ([]byte, Outcome) { return nil, NeverRan }
		if _, _, v := g.Do(t.Context(), key(1), false, rejectRequest); v != idempotency.Begin {
			t.Errorf("Do after the window = %v, want %v", v, idempotency.Begin)
		}
	})
}

// A request that never ran is new when it is sent again. A request that may have run, for example because work
// panicked, does not run again. A caller that waits for the answer of another caller returns when its client gives up.
func TestOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(t, "", -1)
		rejectRequest := func() ([]byte, Outcome) { return []byte("3004"), NeverRan }
		for range 2 {
			answer, outcome, v := g.Do(t.Context(), key(1), false, rejectRequest)
			if string(answer) != "3004" || outcome != NeverRan || v != idempotency.Begin {
				t.Errorf("Do of a request that never ran = answer %q, outcome %d, verdict %v; want \"3004\", %d, %v",
					answer, outcome, v, NeverRan, idempotency.Begin)
			}
		}
		unknown := func() ([]byte, Outcome) { return []byte("5012"), Unknown }
		answer, outcome, _ := g.Do(t.Context(), key(2), false, unknown)
		if string(answer) != "5012" || outcome != Unknown {
			t.Errorf("Do of a request that may have run = answer %q, outcome %d; want \"5012\", %d",
				answer, outcome, Unknown)
		}
		func() {
			defer func() { _ = recover() }()
			g.Do(t.Context(), key(3), false, func() ([]byte, Outcome) { panic("handler failed") })
		}()
		for _, k := range []idempotency.Key{key(2), key(3)} {
			if _, _, v := g.Do(t.Context(), k, false, rejectRequest); v != idempotency.MayHaveRun {
				t.Errorf("second Do of %v, which may have run = %v, want %v", k, v, idempotency.MayHaveRun)
			}
		}
		go g.Do(t.Context(), key(4), false, func() ([]byte, Outcome) {
			time.Sleep(time.Minute)
			return []byte("late"), Answered
		})
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		startedAt := time.Now()
		answer, _, v := g.Do(ctx, key(4), true, rejectRequest)
		if waited := time.Since(startedAt); v != idempotency.MayHaveRun || answer != nil || waited != time.Second {
			t.Errorf("Do whose context ends after 1s = answer %q, verdict %v after %v; want no answer, %v after 1s",
				answer, v, waited, idempotency.MayHaveRun)
		}
		time.Sleep(time.Minute)
		answer, _, v = g.Do(t.Context(), key(4), true, rejectRequest)
		if v != idempotency.Answered || string(answer) != "late" {
			t.Errorf("Do after the first copy ended = answer %q, verdict %v; want \"late\", %v",
				answer, v, idempotency.Answered)
		}
	})
}

// Without a store, a new process does not know which requests the earlier process ran. For one window it answers
// retransmissions as MayHaveRun.
func TestWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(t, "", 0)
		run := func() ([]byte, Outcome) { return []byte("x"), Answered }
		if _, _, v := g.Do(t.Context(), key(1), true, run); v != idempotency.MayHaveRun {
			t.Errorf("Do of a retransmission right after the start = %v, want %v", v, idempotency.MayHaveRun)
		}
		if _, _, v := g.Do(t.Context(), key(2), false, run); v != idempotency.Begin {
			t.Errorf("Do of a first transmission = %v, want %v", v, idempotency.Begin)
		}
		time.Sleep(idempotency.MinWindow)
		if _, _, v := g.Do(t.Context(), key(3), true, run); v != idempotency.Begin {
			t.Errorf("Do of a retransmission after the window = %v, want %v", v, idempotency.Begin)
		}
	})
}

// With a store, the next process returns the answers of the earlier process, and answers requests that were in flight
// as MayHaveRun. Its Open waits for the earlier process to close the file, and until then Do rejects all requests.
func TestNextProcessReadsTheStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects.db")
	g := newGuard(t, path, -1)
	pay := func() ([]byte, Outcome) { return []byte("paid"), Answered }
	if answer, _, v := g.Do(t.Context(), key(1), true, pay); v != idempotency.Begin || string(answer) != "paid" {
		t.Fatalf("Do of a retransmission missing in a complete ledger = answer %q, verdict %v; want \"paid\", %v",
			answer, v, idempotency.Begin)
	}
	g.Do(t.Context(), key(2), false, func() ([]byte, Outcome) { return []byte("3004"), NeverRan })
	inFlight, release := make(chan struct{}), make(chan struct{})
	go g.Do(t.Context(), key(3), false, func() ([]byte, Outcome) {
		close(inFlight)
		<-release
		return []byte("later"), Answered
	})
	<-inFlight
	clockStart := time.Now()
	now := func() time.Duration { return time.Since(clockStart) }
	next, err := New(Options{Ledger: testSettings(0), Path: path, Now: now})
	if err != nil {
		t.Fatalf("New of the next process: %v", err)
	}
	if _, _, v := next.Do(t.Context(), key(9), false, mustNotRun(t)); v != idempotency.Full || next.Report().Ready {
		t.Errorf("before Open: Do = %v and Report.Ready = %t, want %v and false",
			v, next.Report().Ready, idempotency.Full)
	}
	opened := make(chan error, 1)
	go func() { opened <- next.Open(t.Context()) }()
	time.Sleep(20 * time.Millisecond)
	// Closing the store of the old process simulates its death with a request in flight.
	if err := g.store.Close(); err != nil {
		t.Fatalf("closing the store of the old process: %v", err)
	}
	if err := <-opened; err != nil {
		t.Fatalf("Open of the next process: %v", err)
	}
	defer mustClose(t, next)
	for n, want := range map[int]idempotency.Verdict{
		1: idempotency.Answered,
		2: idempotency.Begin,
		3: idempotency.MayHaveRun,
	} {
		answer, _, v := next.Do(t.Context(), key(n), true, func() ([]byte, Outcome) { return []byte("new"), Answered })
		if v != want || n == 1 && string(answer) != "paid" {
			t.Errorf("Do of request %d in the next process = answer %q, verdict %v; want %v (request 1 with \"paid\")",
				n, answer, v, want)
		}
	}
	close(release)
}

// Guards against a request running twice: before the store is loaded, a retransmission is not rejected as one that has not
// run. It waits for the store, which decides; if its client gives up before that, it may have run.
func TestRetransmissionWaitsForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "effects.db")
		g := newGuard(t, path, -1)
		g.Do(t.Context(), key(1), false, func() ([]byte, Outcome) { return []byte("paid"), Answered })
		mustClose(t, g)
		clockStart := time.Now()
		next, err := New(Options{Ledger: testSettings(0), Path: path, Now: func() time.Duration { return time.Since(clockStart) }})
		if err != nil {
			t.Fatalf("New of the next process: %v", err)
		}
		if next.MayReject(key(1), true) || !next.MayReject(key(1), false) {
			t.Error("before Open: MayReject of a retransmission = true, or of a first transmission = false")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, _, v := next.Do(ctx, key(1), true, mustNotRun(t)); v != idempotency.MayHaveRun {
			t.Errorf("Do of a retransmission whose client gives up before Open = %v, want %v", v, idempotency.MayHaveRun)
		}
		done := make(chan idempotency.Verdict, 1)
		go func() {
			_, _, v := next.Do(t.Context(), key(1), true, mustNotRun(t))
			done <- v
		}()
		synctest.Wait()
		if err := next.Open(t.Context()); err != nil {
			t.Fatalf("Open: %v", err)
		}
		defer mustClose(t, next)
		if v := <-done; v != idempotency.Answered {
			t.Errorf("Do of a retransmission before Open = %v, want %v", v, idempotency.Answered)
		}
	})
}

// After the ledger was deleted or restored from an older copy, a retransmission without an entry is answered as
// MayHaveRun. This holds for one window from when the loss was found, in later processes too. A first transmission is
// new.
func TestLostLedger(t *testing.T) {
	const nothingLost = "nothing lost"
	for name, loseFiles := range map[string]func(path string, olderCopy []byte) error{
		"ledger deleted": func(path string, _ []byte) error { return os.Remove(path) },
		"ledger and witness deleted": func(path string, _ []byte) error {
			return errors.Join(os.Remove(path), os.Remove(path+".seq"))
		},
		"ledger restored from an older copy": func(path string, olderCopy []byte) error {
			return os.WriteFile(path, olderCopy, 0o600)
		},
		"witness deleted": func(path string, _ []byte) error { return os.Remove(path + ".seq") },
		nothingLost:       func(string, []byte) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "effects.db")
				pay := func() ([]byte, Outcome) { return []byte("paid"), Answered }
				rejectRequest := func() ([]byte, Outcome) { return nil, NeverRan }
				// next opens the guard of the next process. Close writes nothing, so the files are as after the earlier
				// process was killed.
				next := func(lostAt time.Duration) *Guard {
					g := newGuard(t, path, lostAt)
					t.Cleanup(func() { mustClose(t, g) })
					return g
				}
				g := next(-1)
				g.Do(t.Context(), key(1), false, pay)
				mustClose(t, g)
				olderCopy, err := os.ReadFile(path)
				if err != nil {
					t.Fatalf("copying the ledger: %v", err)
				}
				g = next(0)
				g.Do(t.Context(), key(2), false, pay)
				mustClose(t, g)
				if err := loseFiles(path, olderCopy); err != nil {
					t.Fatalf("deleting or restoring files: %v", err)
				}
				wantWithoutEntry := idempotency.MayHaveRun
				if name == nothingLost {
					wantWithoutEntry = idempotency.Begin
				}
				for i := range 2 {
					g = next(0)
					if _, _, v := g.Do(t.Context(), key(2), true, pay); v == idempotency.Begin {
						t.Errorf("later process %d: Do of a completed request = %v, want any other verdict", i, v)
					}
					if _, _, v := g.Do(t.Context(), key(10+i), true, pay); v != wantWithoutEntry {
						t.Errorf("later process %d: Do of a retransmission without an entry = %v, want %v",
							i, v, wantWithoutEntry)
					}
					if _, _, v := g.Do(t.Context(), key(20+i), false, rejectRequest); v != idempotency.Begin {
						t.Errorf("later process %d: Do of a first transmission = %v, want %v", i, v, idempotency.Begin)
					}
					if _, _, v := g.Do(t.Context(), key(20+i), true, pay); v != idempotency.Begin {
						t.Errorf("later process %d: Do of a retransmission after a rejected first copy = %v, want %v",
							i, v, idempotency.Begin)
					}
					mustClose(t, g)
					time.Sleep(idempotency.MinWindow / 3)
				}
				time.Sleep(idempotency.MinWindow)
				g = next(0)
				if _, _, v := g.Do(t.Context(), key(30), true, pay); v != idempotency.Begin {
					t.Errorf("Do of a retransmission after the window = %v, want %v", v, idempotency.Begin)
				}
			})
		})
	}
}

// When writes to disk fail, no new request runs, and a request that is running still gets its answer.
func TestFailingDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects.db")
	g := newGuard(t, path, 0)
	answer, _, v := g.Do(t.Context(), key(1), false, func() ([]byte, Outcome) {
		if err := g.store.Close(); err != nil {
			t.Errorf("closing the store: %v", err)
		}
		return []byte("paid"), Answered
	})
	if string(answer) != "paid" || v != idempotency.Begin || g.Report().DiskErrors != 1 {
		t.Errorf("Do whose work closes the store = answer %q, verdict %v, %d disk errors; want \"paid\", %v, 1",
			answer, v, g.Report().DiskErrors, idempotency.Begin)
	}
	if _, _, v := g.Do(t.Context(), key(2), false, mustNotRun(t)); v != idempotency.Full {
		t.Errorf("Do of a new request with a failed store = %v, want %v", v, idempotency.Full)
	}
	if answer, _, v := g.Do(t.Context(), key(1), false, nil); v != idempotency.Answered || string(answer) != "paid" {
		t.Errorf("Do of a completed request with a failed store = answer %q, verdict %v; want \"paid\", %v",
			answer, v, idempotency.Answered)
	}
	if err := os.WriteFile(path, []byte("no database"), 0o600); err != nil {
		t.Fatalf("writing a file that is not a database: %v", err)
	}
	broken, err := New(Options{Ledger: testSettings(0), Path: path, Now: func() time.Duration { return 0 }})
	if err != nil {
		t.Fatalf("New for a file that is not a database: %v", err)
	}
	if err := broken.Open(t.Context()); err == nil || broken.Report().Ready {
		t.Errorf("Open of a file that is not a database: error %v, ready %t; want an error, not ready",
			err, broken.Report().Ready)
	}
}

// Guards against a ledger that stays closed for the life of a process because the disk was full, or failed, for a moment at
// its start: all requests that must not run twice were rejected until the next restart.
func TestOpenTriesAgainAfterErrorsThatPass(t *testing.T) {
	for name, failure := range map[string]error{
		"full disk":         fmt.Errorf("write: %w", syscall.ENOSPC),
		"full disk as text": errors.New("file resize error: truncate x: " + syscall.ENOSPC.Error()),
		"disk error":        fmt.Errorf("fsync: %w", syscall.EIO),
		"no descriptor":     fmt.Errorf("open: %w", syscall.ENFILE),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, err := New(Options{Ledger: testSettings(-1), Path: filepath.Join(t.TempDir(), "ledger"),
				Now: func() time.Duration { return time.Hour }})
			if err != nil {
				t.Fatalf("New: %v", err)
			}
			failures := 2
			g.openStore = func(path string, o store.Options) (*store.Store, []idempotency.Record, error) {
				if failures > 0 {
					failures--
					return nil, nil, failure
				}
				return store.Open(path, o)
			}
			if err := g.Open(t.Context()); err != nil || !g.Report().Ready {
				t.Fatalf("Open after two failures = %v, ready %t; want nil, true", err, g.Report().Ready)
			}
			_, _, verdict := g.Do(t.Context(), key(1), false, func() ([]byte, Outcome) { return []byte("paid"), Answered })
			if verdict != idempotency.Begin {
				t.Errorf("Do after Open = %v, want %v", verdict, idempotency.Begin)
			}
			mustClose(t, g)
		})
	}
}
