package store

import (
	"path/filepath"
	"testing"
	"time"

	"lapisspread/internal/idempotency"
)

// steppedClock is a wall clock that a test steps, beside an uptime that runs on.
type steppedClock struct {
	wall   time.Time
	uptime Uptime
}

func (c *steppedClock) pass(d time.Duration) {
	c.wall = c.wall.Add(d)
	c.uptime.Since += d
}

func (c *steppedClock) options() Options {
	return Options{Window: window, UncertainWindow: uncertainWindow, Now: func() time.Time { return c.wall },
		Uptime: func() Uptime { return c.uptime }}
}

// Guards against a request that runs twice after a step of the wall clock: the entry of a completed request is kept for its
// window of real time, in the process that wrote it and in the next one, and not longer.
func TestWindowIsRealTime(t *testing.T) {
	for name, step := range map[string]time.Duration{"none": 0, "forward": time.Hour, "back": -time.Hour} {
		for _, running := range []bool{false, true} { // whether a process runs during the step
			c := &steppedClock{wall: time.Unix(1_735_689_600, 0), uptime: Uptime{"boot", time.Hour}}
			path := filepath.Join(t.TempDir(), "ledger")
			open := func() (*Store, int) {
				s, records, err := Open(path, c.options())
				if err != nil {
					t.Fatalf("Open: %v", err)
				}
				return s, len(records)
			}
			write := func(s *Store, id uint32) {
				key := idempotency.Key{Origin: "a", ID: id}
				if err := s.Write(t.Context(), idempotency.Record{Key: key, Completed: true}); err != nil {
					t.Fatalf("Write: %v", err)
				}
			}
			s, _ := open()
			write(s, 1)
			if running {
				c.wall = c.wall.Add(step)
				write(s, 2) // also deletes what has expired
			}
			mustCloseStore(t, s)
			if !running {
				c.wall = c.wall.Add(step)
			}
			c.pass(window - time.Second)
			s, records := open()
			if want := map[bool]int{false: 1, true: 2}[running]; records != want {
				t.Errorf("step %s, running %v: %d records before the window's end, want %d", name, running, records, want)
			}
			mustCloseStore(t, s)
			c.pass(2 * time.Second)
			s, records = open()
			if records != 0 {
				t.Errorf("step %s, running %v: %d records after the window's end, want 0", name, running, records)
			}
			mustCloseStore(t, s)
		}
	}
}

// After a boot only the wall clock tells how much time has passed; it does not take the store's clock back.
func TestClockAfterABoot(t *testing.T) {
	for name, c := range map[string]struct{ passed, want time.Duration }{
		"later":   {time.Minute, time.Minute},
		"earlier": {-time.Hour, 0},
	} {
		clocks := &steppedClock{wall: time.Unix(1_735_689_600, 0), uptime: Uptime{"boot", time.Hour}}
		path := filepath.Join(t.TempDir(), "ledger")
		s, _, err := Open(path, clocks.options())
		if err != nil {
			t.Fatalf("Open: %v", err)
		}
		before := s.Now()
		mustCloseStore(t, s)
		clocks.wall = clocks.wall.Add(c.passed)
		clocks.uptime = Uptime{"next boot", 2 * time.Hour}
		if s, _, err = Open(path, clocks.options()); err != nil {
			t.Fatalf("Open after a boot: %v", err)
		}
		if got := s.Now().Sub(before); got != c.want {
			t.Errorf("wall clock %s: the store's clock went on by %v, want %v", name, got, c.want)
		}
		mustCloseStore(t, s)
	}
}

// The uptime of the system is known and does not go back.
func TestSystemUptime(t *testing.T) {
	first, second := systemUptime(), systemUptime()
	if first.Boot == "" || first.Boot != second.Boot || second.Since < first.Since {
		t.Errorf("systemUptime() = %+v and then %+v, want the same boot and no earlier time", first, second)
	}
}

func mustCloseStore(t *testing.T, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatalf("Close: %v", err)
	}
}
