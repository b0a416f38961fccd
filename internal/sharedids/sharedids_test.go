package sharedids

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// open opens the table at path until the test ends.
func open(t *testing.T, path string) *Table {
	t.Helper()
	table, err := Open(path)
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	t.Cleanup(func() {
		if err := table.Close(); err != nil {
			t.Errorf("Close: %v", err)
		}
	})
	return table
}

// An ID that one process has claimed can't be claimed by another one, until it is released or its time is over.
func TestClaimsHoldForAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "ids")
		one, other := open(t, path), open(t, path)
		const id, next = uint64(1) << 40, uint64(2) << 40 // of the same slots
		if !one.Claim(id, time.Now().Add(time.Minute)) || !other.Claim(next, time.Now().Add(time.Minute)) {
			t.Fatal("first claims on two IDs = false, want true")
		}
		if other.Claim(id, time.Now().Add(time.Minute)) || one.Claim(id, time.Now().Add(time.Minute)) {
			t.Error("Claim on a claimed ID = true")
		}
		one.Release(id)
		if !other.Claim(id, time.Now().Add(time.Second)) {
			t.Error("Claim after Release = false")
		}
		other.Extend(id, time.Now().Add(time.Hour))
		time.Sleep(time.Hour)
		if one.Claim(id, time.Now()) {
			t.Error("Claim within the time of a claim that was extended = true")
		}
		time.Sleep(2 * time.Second)
		if !one.Claim(id, time.Now().Add(time.Minute)) || !one.Claim(next, time.Now().Add(time.Minute)) {
			t.Error("Claim after the time of a claim = false")
		}
	})
}

// Of many claims on the same ID at the same time, from two mappings of the file, one is granted.
func TestOneOfManyClaimsIsGranted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	tables := []*Table{open(t, path), open(t, path)}
	random := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		id := random.Uint64()
		var granted atomic.Int32
		var all sync.WaitGroup
		for i := range 4 {
			all.Go(func() {
				if tables[i%2].Claim(id, time.Now().Add(time.Minute)) {
					granted.Add(1)
				}
			})
		}
		all.Wait()
		if n := granted.Load(); n != 1 {
			t.Fatalf("%d of 4 claims on the ID %x were granted, want 1", n, id)
		}
		tables[0].Release(id)
	}
}

// Where all slots of an ID are in use, claims are granted and not remembered; a nil table does that for all.
func TestClaimsWithoutASlot(t *testing.T) {
	table := open(t, filepath.Join(t.TempDir(), "ids"))
	until := time.Now().Add(time.Hour)
	for i := range uint64(probes) {
		if !table.Claim((i+1)<<40, until) {
			t.Fatalf("claim %d = false", i)
		}
	}
	var none *Table
	for _, claim := range []func(uint64, time.Time) bool{table.Claim, none.Claim} {
		first := claim(100<<40, until)
		if second := claim(100<<40, until); !first || !second {
			t.Error("Claim without a slot = false, want true")
		}
	}
	none.Release(1)
	none.Extend(1, until)
	if err := none.Close(); err != nil {
		t.Errorf("Close of a nil table: %v", err)
	}
}

// A file that can't be opened is an error, and what another process has left in it is kept.
func TestOpen(t *testing.T) {
	dir := t.TempDir()
	if _, err := Open(dir); err == nil {
		t.Error("Open of a directory: no error")
	}
	path := filepath.Join(dir, "ids")
	first, err := Open(path)
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	first.Claim(1<<40, time.Now().Add(time.Hour))
	if err := first.Close(); err != nil {
		t.Fatalf("Close: %v", err)
	}
	if open(t, path).Claim(1<<40, time.Now()) {
		t.Error("Claim on an ID that an earlier process has claimed = true")
	}
	if info, err := os.Stat(path); err != nil || info.Size() != fileBytes || info.Mode().Perm() != fileMode {
		t.Errorf("the file is %v, %v, want %d bytes and mode %o", info, err, fileBytes, fileMode)
	}
}

// Guards against claims that end early or last too long at a step of the wall clock: their times are those of the system's
// monotonic clock, which all processes read alike.
func TestTimesAreMonotonic(t *testing.T) {
	monotonic := func() uint64 {
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
			t.Fatalf("reading the monotonic clock: %v", err)
		}
		return uint64(now.Sec)
	}
	before := monotonic()
	table := open(t, filepath.Join(t.TempDir(), "ids"))
	got := table.seconds(time.Now())
	if after := monotonic(); got < before || got > after {
		t.Errorf("seconds(now) = %d, want %d to %d, as the monotonic clock shows", got, before, after)
	}
	if later := table.seconds(time.Now().Add(time.Hour)); later < before+3600 {
		t.Errorf("seconds(in an hour) = %d, want at least %d", later, before+3600)
	}
}
